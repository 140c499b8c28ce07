"""A daemon that restarts while a backend drains reads a list whose pages are of different age."""
import asyncio
import os
import sys
import tempfile
import traceback

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'standins-2'))
from standins import Record, World, desired_state, now  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ROUTE = ('198.18.0.1', 443)
DRAIN_BOUND, STABLE = 6.0, 6.0  # drainTimeoutMs and stabilityMs of tdm-edge-large, the longest of all sites
STALE_S = 2.0  # age of the second page; "data that is seconds old"
DRAINING_S = 14.0  # from the report to the exit: drainTimeoutMs and "at times many seconds" more
OTHERS = 505  # backends of a service without traffic; their names fill the first page


async def flow(world, client, number, results):
    flow = client.open(ROUTE)
    if await flow.handshake():
        name = 'q%d' % number
        answer = await flow.ask(name)
        results.append((now(), answer is not None))
        world.record.write('request %s: %s' % (name, 'answered' if answer else 'no answer, ' + str(flow.reason)))
        flow.close()
    else:
        results.append((now(), False))


async def load(world, results):
    number = 0
    while True:
        number += 1
        asyncio.create_task(flow(world, world.clients[number % len(world.clients)], number, results))
        await asyncio.sleep(0.025)


async def main(world):
    record = world.record
    await world.start_store()
    store = world.store
    await store.put('config', 'main', desired_state(7, [(*ROUTE, 'lotes', 'non_idempotent'),
                                                        ('198.18.0.2', 443, 'fotos', 'download')]))
    for index in range(OTHERS):
        await store.put('servers', 'i-%010x' % (0x1000000000 + index), {
            'service': 'fotos', 'address': '%s.200.%d:%d' % (world.net, 1 + index % 250, 9000 + index // 250),
            'zone': 'bogota-b', 'version': 'v1', 'maxConcurrency': 3, 'state': 'ready', 'warmupLeftMs': 0,
            'born': 1700000000000 + index})
    leaving = await world.add_backend('i-f000000001', 'lotes', 'bogota-a', '3.1')
    await world.add_backend('i-f000000002', 'lotes', 'bogota-a', '3.2')
    await world.add_backend('i-f000000003', 'lotes', 'bogota-a', '3.3')
    world.add_daemon('edge-bogota-a-1', 'bogota-a', '1.11')
    world.add_daemon('edge-bogota-a-2', 'bogota-a', '1.12')
    world.add_daemon('edge-bogota-a-3', 'bogota-a', '1.13')
    for daemon in world.daemons:
        daemon.start()
    for index in range(8):
        await world.add_client('bogota-a', '2.%d' % (index + 1))
    tasks = [asyncio.create_task(world.probe_readiness())]
    if not await world.all_ready():
        record.write('the daemons did not become ready')
        return 2
    results = []
    tasks.append(asyncio.create_task(load(world, results)))
    await asyncio.sleep(5.0)

    follower = [daemon for daemon in world.daemons if await daemon.follows()]
    restarted = [daemon for daemon in world.daemons if daemon not in follower][0]
    record.write('follows the store: %s; is restarted: %s' % ([daemon.name for daemon in follower], restarted.name))
    restarted.terminate()  # planned: the machines of the system are stopped and started in turn
    await restarted.wait()
    await leaving.drain()
    drained = now()
    await asyncio.sleep(0.3)
    if TROUBLE:
        store.age_of_stale_page = lambda kind, after: STALE_S if kind == 'servers' and after else 0.0
    restarted.start()
    await asyncio.sleep(2.0)
    store.age_of_stale_page = lambda kind, after: 0.0
    await asyncio.sleep(drained + DRAINING_S - now())
    before = len(results)
    await leaving.end()
    ended = now()
    await asyncio.sleep(3.0)
    for task in tasks:
        task.cancel()

    late = []
    for at, daemon, client in leaving.openings:
        sender = next(d for d in world.daemons if d.ip == daemon[0])
        in_touch = at - sender.started >= STABLE
        if at > drained + DRAIN_BOUND and in_touch:
            late.append((at - drained, sender.name))
    for age, name in late[:10]:
        record.write('opening packet at the draining backend %.3f s after the confirmation, from %s' % (age, name))
    by_daemon = {name: sum(1 for entry in late if entry[1] == name) for name in sorted({entry[1] for entry in late})}
    lost = sum(1 for at, answered in results[before:] if not answered and at < ended + 3.0)
    record.write('opening packets later than %.1f s: %d %s; requests without an answer after the exit: %d of %d' % (
        DRAIN_BOUND, len(late), by_daemon, lost, len(results) - before))
    if not results or sum(answered for _, answered in results) < len(results) / 2:
        record.write('too few requests were answered')
        return 2
    record.write('rule DRAIN: %s' % ('broken' if late else 'held'))
    world.close()
    return 1 if late else 0


def run():
    record = Record(os.path.join(FOLDER, 'record.txt'))
    record.write('TROUBLE=%d' % TROUBLE)
    with tempfile.TemporaryDirectory() as folder:
        world = World(ROOT, folder, record)
        try:
            return asyncio.run(asyncio.wait_for(main(world), 110))
        except Exception:
            record.write(traceback.format_exc())
            return 2
        finally:
            world.stop()


sys.exit(run())

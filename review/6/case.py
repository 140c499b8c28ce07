"""A rolling restart while a backend has just joined: the balancer that takes over has a list with pages of different age."""
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
STALE_S = 3.0  # age of the second page; "data that is seconds old"
ROLL_GAP_S = 1.2  # from the start of one daemon to the stop of the next, as in the days of the small sites
OTHERS = 505  # backends of a service without traffic; their names fill the first page
MAX_FLOW_S = 50.0


def routes():
    return [(*ROUTE, 'lotes', 'non_idempotent'), ('198.18.0.2', 443, 'fotos', 'download')]


async def use_flow(world, client, number, ended):
    """Opens a flow and asks one request after the other on it, with pauses."""
    flow, opened = client.open(ROUTE), now()
    if not await flow.handshake():
        world.record.write('flow %s: not opened, %s' % (flow.address, flow.reason))
        return
    backend = next((b for b in world.backends.values() if (flow.address, ROUTE) in b.flows), None)
    count = 0
    while not flow.reason and now() - opened < MAX_FLOW_S:
        count += 1
        await flow.ask('q%d-%d' % (number, count))
        await asyncio.sleep(0.15)
    if flow.reason and backend:
        held = backend.flows.get((flow.address, ROUTE))
        ended.append((now(), flow, backend.name, backend.alive, bool(held and held['open']), flow.request))
        world.record.write('flow %s at %s ends after %.1f s: %s%s%s' % (
            flow.address, backend.name, now() - opened, flow.reason,
            ' (%s)' % flow.reset_by[0] if flow.reset_by else '',
            '; no answer to ' + flow.request if flow.request else ''))


async def load(world, ended):
    number = 0
    while True:
        number += 1
        asyncio.create_task(use_flow(world, world.clients[number % len(world.clients)], number, ended))
        await asyncio.sleep(0.15)


async def main(world):
    record, store = world.record, world.store
    await world.start_store()
    await store.put('config', 'main', desired_state(7, routes()))
    for index in range(OTHERS):
        await store.put('servers', 'i-%010x' % (0x1000000000 + index), {
            'service': 'fotos', 'address': '%s.200.%d:%d' % (world.net, 1 + index % 250, 9000 + index // 250),
            'zone': 'bogota-b', 'version': 'v1', 'maxConcurrency': 3, 'state': 'ready', 'warmupLeftMs': 0,
            'born': 1700000000000 + index})
    await world.add_backend('i-f000000001', 'lotes', 'bogota-b', '3.1', work_s=0.1)
    await world.add_backend('i-f000000002', 'lotes', 'bogota-b', '3.2', work_s=0.1)
    world.add_daemon('edge-bogota-b-1', 'bogota-b', '1.11')
    world.add_daemon('edge-bogota-b-2', 'bogota-b', '1.12')
    world.add_daemon('edge-bogota-a-1', 'bogota-a', '1.21')
    world.add_daemon('edge-bogota-a-2', 'bogota-a', '1.22')
    world.daemons[3].start()
    await asyncio.sleep(0.28)  # "All machines start within 0.3 s of each other, in any order"
    for daemon in world.daemons[:3]:
        daemon.start()
    for index in range(8):
        await world.add_client('bogota-b', '2.%d' % (index + 1))
    tasks = [asyncio.create_task(world.probe_readiness())]
    if not await world.all_ready():
        record.write('the daemons did not become ready')
        return 2
    for attempt in range(4):
        await asyncio.sleep(5.0)
        following = [daemon for daemon in world.daemons if await daemon.follows()]
        record.write('follows the store: %s' % [daemon.name for daemon in following])
        if len(following) == 1 and following[0].zone == 'bogota-a':
            break
        # Before the case begins: the other zone hands the store over, so that the follower is in bogota-a.
        others = [daemon for daemon in world.daemons if daemon.zone != 'bogota-a']
        for daemon in others:
            daemon.terminate()
        for daemon in others:
            await daemon.wait()
            daemon.start()
        await asyncio.sleep(1.5)
        await world.all_ready()
    else:
        record.write('no daemon of bogota-a follows the store')
        return 2
    follower = following[0]
    other = next(daemon for daemon in world.daemons if daemon.zone == 'bogota-a' and daemon != follower)

    # Planned work: a rolling restart of the machines of bogota-a, a new backend, and a change of the desired state.
    ended = []
    other.terminate()
    await asyncio.sleep(0.3)
    joined = await world.add_backend('i-f000000003', 'lotes', 'bogota-b', '3.3', warmup_s=2.0, work_s=0.1)
    since = now()
    record.write('backend %s joins' % joined.name)
    tasks.append(asyncio.create_task(load(world, ended)))
    await other.wait()
    await asyncio.sleep(since + 2.45 - now())
    await store.put('config', 'main', desired_state(8, routes(), timeout_ms=1600))
    record.write('desired state 8 is confirmed')
    await asyncio.sleep(since + 2.6 - now())
    if TROUBLE:
        store.age_of_stale_page = lambda kind, after: STALE_S if kind == 'servers' and after else 0.0
    other.start()
    await asyncio.sleep(ROLL_GAP_S)
    store.age_of_stale_page = lambda kind, after: 0.0
    follower.terminate()
    await follower.wait()
    await asyncio.sleep(0.3)
    follower.start()
    await asyncio.sleep(since + 22.0 - now())
    for task in tasks:
        task.cancel()

    wrong = [entry for entry in ended if entry[1].reset_by and entry[3] and entry[4]]
    record.write('flows reset by the system while their backend was alive and held them: %d; requests cut off: %d; by %s'
                 % (len(wrong), sum(1 for entry in wrong if entry[5]), sorted({e[1].reset_by[0] for e in wrong})))
    if not any(backend.ran for backend in world.backends.values()) or not joined.ran:
        record.write('too few requests ran')
        return 2
    record.write('rule FLOW: %s' % ('broken' if wrong else 'held'))
    world.close()
    return 1 if wrong else 0


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
            if os.environ.get('KEEP_LOGS'):
                os.system('cp %s/*.log %s' % (folder, os.environ['KEEP_LOGS']))
            world.stop()


sys.exit(run())

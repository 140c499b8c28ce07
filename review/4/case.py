"""Case 4: the store is silent to the following machine for 0.4 s; then a backend drains."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins  # noqa: E402

SILENCE_S = 0.4
EXTRA_S = 0.5  # how long the backend serves after drainTimeoutMs


async def load(world, client, route, method, period_s):
    """Opens a new flow for each request, so that the placement of new flows shows."""
    async def one():
        flow = client.flow(route)
        if await flow.connect():
            await flow.request(method)
        flow.close()
    while True:
        world.spawn(one())
        await asyncio.sleep(period_s)


async def align(world, watches, aligned, version):
    """Changes the routes, which shifts the phase of their watch, until a watch of the backends follows one of theirs."""
    while not aligned.is_set():
        seen = watches["servers"]
        while watches["servers"] == seen and not aligned.is_set():
            await asyncio.sleep(0.001)
        if aligned.is_set():
            return
        # The next watch of the routes begins 0.15 s after a change.
        version += 3
        target = watches["servers"] + 2 * 2.006 - 0.1 - 0.16 - 3 * 1.006
        await asyncio.sleep(max(0.0, target - time.monotonic()))
        await world.configure(version, 1500 + version)
        await asyncio.sleep(2.0)


async def case(world, trouble):
    net = world.net
    routes = [standins.Route(f"127.{net}.7.1", 8080, "lotes", "idempotent", 2),
              standins.Route(f"127.{net}.7.1", 8443, "lotes", "non_idempotent", 1)]
    for number, (name, zone) in enumerate([("i-7f3a91c2", "bogota-a"), ("i-51b0d2e4", "bogota-a"),
                                           ("i-2c81aa07", "bogota-b"), ("i-660f4d19", "bogota-c")]):
        await world.add_backend(name, number + 1, zone, "lotes", work_s=0.052)
    await world.start(routes)
    if not await world.wait_ready():
        world.record.write("the machines did not get ready")
        return 2
    for number, zone in enumerate(world.ZONES):
        client = await world.add_client(number + 1, zone)
        world.spawn(load(world, client, routes[0], "GET", 0.06))
        world.spawn(load(world, client, routes[1], "POST", 0.04))
    await asyncio.sleep(standins.STABILITY_S + 3.0)

    watches = {"config": 0.0, "servers": 0.0}

    aligned = asyncio.Event()

    def on_watch(kind):
        now = time.monotonic()
        watches[kind] = now
        if kind == "servers" and 0.03 <= now - watches["config"] <= 0.2 and not aligned.is_set():
            aligned.set()
            if trouble:  # this watch is the first call in the silence
                world.store.silent_until = now + SILENCE_S

    world.store.on_watch = on_watch
    followers = world.followers()
    if len(followers) != 1:
        world.record.write(f"no single follower: {followers}")
        return 2
    try:
        world.spawn(align(world, watches, aligned, 1))
        await asyncio.wait_for(aligned.wait(), 60)
    except asyncio.TimeoutError:
        world.record.write("the watches did not align")
        return 2
    silenced = next(edge for edge in world.edges if edge.name == followers[0])
    if world.followers() != followers:
        return 2
    if trouble:
        world.record.write(f"store: silent to {silenced.name} for {SILENCE_S} s")
    await asyncio.sleep(SILENCE_S + 0.02)
    leaving = world.backends[0]
    await leaving.drain()
    await asyncio.sleep(standins.DRAIN_S + EXTRA_S)
    leaving.exit()
    await world.store.remove("servers", leaving.name)
    await asyncio.sleep(3.0)

    late = []
    for at, backend, key, edge in world.openings:
        if backend.drained_at is None or at - backend.drained_at <= standins.DRAIN_S:
            continue
        calm = edge and edge is not silenced and at - edge.started >= standins.STABILITY_S
        if calm:
            late.append((at - backend.drained_at, edge.name))
    unanswered = [identity for identity, result in world.results if result != "answered"]
    world.record.write(f"followers at the end: {world.followers()}")
    world.record.write(f"requests: {len(world.results)}, not answered: {unanswered}")
    world.record.write(f"other violations: {world.violations}")
    for delay, name in late:
        world.record.write(f"DRAIN: an opening packet reached the backend {delay:.3f} s after the confirmation, "
                           f"through {name}")
    print(f"opening packets later than drainTimeoutMs through machines in touch: {len(late)}")
    return 1 if late else 0


sys.exit(standins.main(case, os.path.dirname(os.path.abspath(__file__))))

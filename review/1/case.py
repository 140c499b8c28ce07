"""Case 1: a large entry of another writer with a long name stands in the store when all processes are killed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins  # noqa: E402

NAME = "export-" + "-".join(["inventory", "of", "reclaimed", "sleepers", "by", "grade", "and", "yard"] * 3)
RECOVERY_S = 12.0
DOWN_S = 1.2


async def short_flows(world, client, route, method, sent):
    """Opens a new flow for each request."""
    async def one():
        flow = client.flow(route)
        at = world.record.now()
        served = await flow.connect() and await flow.request(method) == "answered"
        flow.close()
        sent.append((at, served))
    while True:
        world.spawn(one())
        await asyncio.sleep(0.1)


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
    sent = []
    for number, zone in enumerate(world.ZONES):
        client = await world.add_client(number + 1, zone)
        for route, method in zip(routes, ("GET", "POST")):
            world.spawn(short_flows(world, client, route, method, sent))
    await asyncio.sleep(standins.STABILITY_S)

    if trouble and os.environ.get("TROUBLE") != "kill":
        await world.store.put("servers", NAME, {"rows": "x" * 1_048_000})
        world.record.write(f"another writer: entry of 1,048,000 bytes with a name of {len(NAME)} bytes is in the store")
    await asyncio.sleep(4.0)
    killed_at = world.record.now()
    await world.configure(4, 1600)
    if trouble:
        for edge in world.edges:
            edge.process.kill()
            edge.process.wait()
        world.record.write("all processes are killed")
        await asyncio.sleep(DOWN_S)
        for edge in world.edges:
            edge.start()
    back_at = world.record.now()
    await asyncio.sleep(RECOVERY_S + 8.0)

    before = [served for at, served in sent if at < killed_at - 1.5]
    after = [served for at, served in sent if at > back_at + RECOVERY_S]
    world.record.write(f"requests before: {len(before)}, served: {sum(before)}")
    world.record.write(f"requests later than recoveryS after the machines are back: {len(after)}, served: {sum(after)}")
    print(f"served before: {sum(before)} of {len(before)}; later than recoveryS: {sum(after)} of {len(after)}")
    if not before or not after or sum(before) * 4 < len(before):
        return 2
    return 1 if sum(after) * 4 < len(after) else 0


sys.exit(standins.main(case, os.path.dirname(os.path.abspath(__file__))))

"""Backends lose the store, their entries are removed, and new flows still reach them; rule DRAIN."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import standins as s  # noqa: E402

LOTES = ("198.18.0.1", 8443)
FOTOS = ("198.18.0.2", 8443)
SECONDS = 24
CUT_AT = 6
BETWEEN = 2.0
DRAIN = 3.0


async def load(world, client, route, per_second, until):
    while s.now() < until:
        asyncio.ensure_future(client.one(route))
        await asyncio.sleep(1 / per_second)


async def scenario():
    world = s.World(HERE, ["bogota-a", "bogota-b"])
    removed = {}
    world.store.on_removal = lambda kind, name, at: removed.setdefault(name, at)
    proxies = []
    backends = []
    for index, (service, zone, work) in enumerate(
            [("lotes", "bogota-a", 0.04), ("lotes", "bogota-b", 0.04), ("fotos", "bogota-a", 0.005),
             ("fotos", "bogota-b", 0.005)], 1):
        proxy = s.Proxy(world.store_address)
        address = (f"127.{world.net}.201.{index}", world.store_port)
        proxies.append(proxy)
        await asyncio.start_server(proxy.handle, *address)
        backends.append(s.Backend(world, f"i-7f3a91{index:02x}", service, zone, (f"127.{world.net}.100.{index}", 8080 + index),
                                  work=work, via=address))
    state = s.config(7, [(*LOTES, "lotes", "non_idempotent", 1500, 250, 1), (*FOTOS, "fotos", "download", 3000, 500, 2)],
                     ["lotes", "fotos"])
    try:
        if not await world.start(state, backends):
            return 2
        client = s.Client(world, f"127.{world.net}.150.1")
        await client.start()
        start = s.now()
        jobs = [asyncio.ensure_future(load(world, client, LOTES, 20, start + SECONDS)),
                asyncio.ensure_future(load(world, client, FOTOS, 40, start + SECONDS))]
        await asyncio.sleep(CUT_AT)
        if s.trouble():
            for proxy in proxies[2:]:
                proxy.cut = True
                world.record.line("a backend's link to the store is cut")
                await asyncio.sleep(BETWEEN)
        await asyncio.gather(*jobs)
        await asyncio.sleep(1.5)
        late = []
        for at, backend, key, balancer in world.openings:
            if backend.name in removed:
                after = world.opened_at[key] - removed[backend.name]
                if after > DRAIN:
                    late.append((after, backend.name, balancer, key[1]))
        lasts = {name: max((world.opened_at[key] - at for _, b, key, _ in world.openings if b.name == name), default=None)
                 for name, at in removed.items()}
        for after, name, balancer, port in late:
            world.record.line(f"DRAIN broken: flow port {port} was opened at {name} {after:.3f} s after its entry was removed, "
                              f"through {balancer}")
        print(f"requests run {len(world.runs)}; last new flow after the removal of each entry, in s: "
              f"{ {k: round(v, 3) for k, v in lasts.items() if v} }; later than {DRAIN}: {len(late)}")
        if len(world.runs) < 200 or world.broken or (s.trouble() and len(removed) < 2):
            return 2
        return 1 if late else 0
    finally:
        for backend in backends:
            await backend.stop(erase=False)
        await world.stop()


s.main(scenario)

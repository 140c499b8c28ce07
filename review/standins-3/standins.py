"""Small stand-ins for the platform, the backends and the clients of poplarroad-edge, on loopback addresses.

All of them run in one asyncio loop; the balancers are separate processes. Nothing here is part of the product.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT = 1.2  # heartbeatMs of the small deployments
SYN, FIN, RST, ACK = 1, 8, 32, 16
HEAD = struct.Struct(">IIIB5s4sH4sHIH")
KEY = 0x5EED


def now():
    return time.monotonic()


# ---------------------------------------------------------------- record


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="ascii", errors="replace")
        self.start = now()

    def line(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- the platform's store


class Store:
    """The metadata store: lists, watches, conditional writes. Linearizable; it answers at once or `delay` later."""

    def __init__(self, record, page=500):
        self.record = record
        self.page = page
        self.revision = 100
        self.kinds = {}
        self.history = []  # (revision, kind, object text, deleted)
        self.changed = asyncio.Event()
        self.delay = 0.0
        self.reports = {}  # name -> time of the last status report
        self.seqs = {}
        self.on_write = lambda kind, name, spec, at: None
        self.on_removal = lambda kind, name, at: None

    def _publish(self, kind, obj, deleted):
        self.history.append((self.revision, kind, json.dumps({"object": obj, "deleted": deleted}), deleted))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, kind, name, spec, significant=None):
        """Creates or replaces an object. `significant` is what decides whether the entry changes."""
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old and significant is not None and old.get("_significant") == significant:
            return old["meta"]["revision"]
        if old and significant is None and old["spec"] == spec:
            return old["meta"]["revision"]
        self.revision += 1
        obj = {
            "meta": {"name": name, "revision": self.revision, "createRev": old["meta"]["createRev"] if old else self.revision,
                     "finalizers": [], "deleting": False},
            "spec": spec, "status": None, "_significant": significant,
        }
        objects[name] = obj
        self._publish(kind, self.plain(obj), False)
        self.on_write(kind, name, spec, now())
        return self.revision

    def erase(self, kind, name):
        obj = self.kinds.get(kind, {}).pop(name, None)
        if obj:
            self.revision += 1
            obj["meta"]["revision"] = self.revision
            self._publish(kind, self.plain(obj), True)
            self.on_removal(kind, name, now())

    @staticmethod
    def plain(obj):
        return {key: value for key, value in obj.items() if not key.startswith("_")}

    def report(self, name, spec):
        """A backend's status report: the entry changes when more than `seq` changes."""
        self.reports[name] = now()
        self.put("servers", name, spec, json.dumps({k: v for k, v in spec.items() if k != "seq"}, sort_keys=True))

    async def expire(self):
        """Removes entries after three status report intervals of silence."""
        while True:
            await asyncio.sleep(0.05)
            for name, at in list(self.reports.items()):
                if now() - at > 3 * HEARTBEAT:
                    del self.reports[name]
                    self.record.line(f"store removes servers/{name} after three intervals without a report")
                    self.erase("servers", name)

    def listing(self, kind, after):
        names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
        items = [self.plain(self.kinds[kind][name]) for name in names[: self.page]]
        return {"items": items, "truncated": len(names) > self.page, "currentRev": self.revision}

    def events(self, kind, after):
        return [text for revision, of, text, _ in self.history if of == kind and revision > after]

    async def handle(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, text = await self.answer(method, target, body)
                if self.delay:
                    await asyncio.sleep(self.delay)
                keep = headers.get("connection", "").lower() != "close"
                data = text.encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                              f"Connection: {'keep-alive' if keep else 'close'}\r\n\r\n").encode() + data)
                await writer.drain()
                if not keep:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        params = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        parts = path.split("/")[3:]
        kind = parts[0]
        if method == "PUT" and kind == "servers":
            self.report(parts[1], json.loads(body)["spec"])
            return 200, "{}"
        if method == "DELETE" and kind == "servers":
            self.reports.pop(parts[1], None)
            self.erase("servers", parts[1])
            return 200, "{}"
        if method != "GET":
            return 404, "{}"
        if "watch" not in params:
            return 200, json.dumps(self.listing(kind, params.get("after", "")))
        after = int(params["watch"])
        end = now() + int(params.get("waitMs", 0)) / 1000
        while not self.events(kind, after) and now() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - now())
            except asyncio.TimeoutError:
                break
        return 200, '{"events":[' + ",".join(self.events(kind, after)) + f'],"currentRev":{self.revision}}}'


class Proxy:
    """TCP proxy in front of the store for some callers; while `cut`, it passes nothing on in either direction."""

    def __init__(self, to):
        self.to = to
        self.cut = False

    async def handle(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, far_writer), self.copy(far_reader, writer))

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if not self.cut:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


async def http(address, method, path, body=None, timeout=1.0):
    """One call; returns the status, or None without an answer."""

    async def call():
        reader, writer = await asyncio.open_connection(*address)
        data = json.dumps(body).encode() if body is not None else b""
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                     + data)
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])

    try:
        return await asyncio.wait_for(call(), timeout)
    except (asyncio.TimeoutError, OSError, IndexError, ValueError):
        return None


# ---------------------------------------------------------------- packets


class Packet:
    def __init__(self, src, sport, dst, dport, flags=0, seq=0, ack=0, echo=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq, ack, echo, data

    def sum(self):
        head = HEAD.pack(0, self.seq, self.ack, self.flags & ~128, b"\0" * 5, socket.inet_aton(self.dst), self.sport,
                         socket.inet_aton(self.src), self.dport, 0, len(self.data))
        return (zlib.crc32(head + self.data) ^ KEY) & 0xFFFFFFFF

    def bytes(self):
        return HEAD.pack(self.echo, self.seq, self.ack, self.flags, b"\0" * 5, socket.inet_aton(self.dst), self.sport,
                         socket.inet_aton(self.src), self.dport, self.sum(), len(self.data)) + self.data


def parse(data):
    """Returns the packet and its sum as received."""
    echo, seq, ack, flags, _, dst, sport, src, dport, total, length = HEAD.unpack(data[:36])
    packet = Packet(socket.inet_ntoa(src), sport, socket.inet_ntoa(dst), dport, flags, seq, ack, echo, data[36:])
    return packet, total, length == len(data) - 36


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data, addr)


async def udp(address, handler):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: Udp(handler), local_addr=address)
    return transport


class End:
    """One end of an open flow: a byte stream over packets, with retransmissions after 200 ms and longer."""

    def __init__(self, send, seq, expected):
        self.send, self.next, self.expected = send, seq, expected
        self.unacked, self.unsent, self.early = [], [], {}
        self.closed = self.remote_closed = False
        self.timeout, self.due, self.tries = 0.2, None, 0

    def write(self, data, fin=False):
        for at in range(0, len(data), 1200):
            part = data[at:at + 1200]
            self.unsent.append((self.next, 0, part))
            self.next = (self.next + len(part)) & 0xFFFFFFFF
        if fin and not self.closed:
            self.closed = True
            self.unsent.append((self.next, FIN, b""))
            self.next = (self.next + 1) & 0xFFFFFFFF
        self.flush()

    def flush(self):
        while self.unsent and len(self.unacked) < 16:
            if not self.unacked:
                self.due = now() + self.timeout
            segment = self.unsent.pop(0)
            self.unacked.append(segment)
            self.emit(segment)

    def emit(self, segment):
        self.send(ACK | segment[1], segment[0], self.expected, segment[2])

    def receive(self, packet):
        """Returns the bytes that are in order now."""
        if packet.flags & ACK:
            before = len(self.unacked)
            while self.unacked:
                seq, fin, data = self.unacked[0]
                size = len(data) + (1 if fin else 0)
                if (packet.ack - seq - size) & 0xFFFFFFFF < 0x80000000:
                    self.unacked.pop(0)
                else:
                    break
            if len(self.unacked) < before:
                self.timeout, self.tries = 0.2, 0
                self.due = now() + 0.2 if self.unacked else None
        out = b""
        if packet.data or packet.flags & FIN:
            if (packet.seq - self.expected) & 0xFFFFFFFF < 0x80000000:
                self.early[packet.seq] = packet
            while self.expected in self.early:
                each = self.early.pop(self.expected)
                out += each.data
                fin = 1 if each.flags & FIN else 0
                self.expected = (self.expected + len(each.data) + fin) & 0xFFFFFFFF
                self.remote_closed = self.remote_closed or bool(fin)
            self.send(ACK, self.next, self.expected, b"")
        self.flush()
        return out

    def tick(self):
        """Retransmits; returns whether the end gives up."""
        if not self.unacked or self.due is None or now() < self.due:
            return False
        self.tries += 1
        self.timeout = min(self.timeout * 2, 1.6)
        self.due = now() + self.timeout
        if self.tries > 8:
            return True
        self.emit(self.unacked[0])
        return False

    def done(self):
        return self.closed and self.remote_closed and not self.unacked and not self.unsent


# ---------------------------------------------------------------- backends


class Backend:
    """A backend: packets with its id or 0, a handshake, `slots` requests at a time, status reports to the store."""

    def __init__(self, world, name, service, zone, address, slots=3, work=0.04, via=None):
        self.world, self.name, self.service, self.zone, self.address = world, name, service, zone, address
        self.id = int(name.rsplit("-", 1)[1], 16)
        self.slots, self.work, self.state, self.seq, self.alive = slots, work, "ready", 0, True
        self.flows, self.running, self.queue = {}, 0, []
        self.via = via or world.store_address
        self.drain_confirmed = None
        self.tasks = []

    async def start(self):
        self.transport = await udp(self.address, self.on_datagram)
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.ticks())]

    def spec(self):
        return {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone, "version": "v1",
                "maxConcurrency": self.slots, "state": self.state, "warmupLeftMs": 0, "seq": self.seq}

    async def report(self):
        self.seq += 1
        state = self.state
        status = await http(self.via, "PUT", f"/api/objects/servers/{self.name}",
                            {"meta": {"name": self.name}, "spec": self.spec()})
        if status == 200 and state == "draining" and self.drain_confirmed is None:
            self.drain_confirmed = now()
            self.world.record.line(f"store accepts that {self.name} is draining")

    async def beat(self):
        await asyncio.sleep(random.uniform(0, 0.3))
        while self.alive:
            await self.report()
            await asyncio.sleep(HEARTBEAT * random.uniform(0.95, 1.0))

    async def ticks(self):
        while self.alive:
            await asyncio.sleep(0.02)
            for key, flow in list(self.flows.items()):
                if flow["end"] and flow["end"].tick():
                    del self.flows[key]

    def send(self, key, flags, seq, ack, data=b""):
        flow = self.flows.get(key)
        packet = Packet(key[2], key[3], key[0], key[1], flags, seq, ack, flow["echo"] if flow else 0, data)
        self.transport.sendto(packet.bytes(), (key[0], self.world.data_port))

    def on_datagram(self, data, addr):
        if not self.alive or len(data) < 44:
            return
        number = int.from_bytes(data[:8], "big")
        packet, total, sound = parse(data[8:])
        if not sound or total != packet.sum():
            self.world.broken.append(f"{self.name} got a changed packet")
            return
        if number not in (0, self.id):
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if packet.flags & ACK:
                return
            if not flow:
                flow = self.flows[key] = {"seq": random.getrandbits(32), "expected": (packet.seq + 1) & 0xFFFFFFFF, "end": None,
                                          "echo": packet.echo, "buffer": b"", "from": addr[0], "number": number}
                self.world.on_opening(self, key, addr[0], number)
            flow["echo"] = packet.echo
            self.send(key, SYN | ACK, flow["seq"], flow["expected"])
            return
        if not flow:
            if not packet.flags & RST:
                reset = Packet(key[2], key[3], key[0], key[1], RST, packet.ack, packet.seq, packet.echo)
                self.transport.sendto(reset.bytes(), (key[0], self.world.data_port))
            return
        flow["echo"] = packet.echo
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow["end"]:
            if packet.ack != (flow["seq"] + 1) & 0xFFFFFFFF:
                return
            flow["end"] = End(lambda *args: self.send(key, *args), (flow["seq"] + 1) & 0xFFFFFFFF, flow["expected"])
        flow["buffer"] += flow["end"].receive(packet)
        while b"\r\n\r\n" in flow["buffer"]:
            head, _, rest = flow["buffer"].partition(b"\r\n\r\n")
            length = re.search(rb"Content-Length: (\d+)", head)
            length = int(length.group(1)) if length else 0
            if len(rest) < length:
                break
            flow["buffer"] = rest[length:]
            self.accept(key, head.decode("latin-1"))
        if flow["end"].remote_closed:
            flow["end"].write(b"", fin=True)
        if flow["end"].done():
            self.flows.pop(key, None)

    def accept(self, key, head):
        request = re.search(r"Poplarroad-Request-Id: (\S+)", head).group(1)
        if self.running >= self.slots:
            if len(self.queue) < 12:
                self.queue.append((key, request))
            else:
                self.reply(key, f"HTTP/1.1 503 X\r\nPoplarroad-Request-Id: {request}\r\nPoplarroad-Not-Executed: 1\r\n", b"")
            return
        self.run(key, request)

    def run(self, key, request):
        self.running += 1
        self.world.on_run(self, key, request)
        asyncio.get_running_loop().call_later(self.work * random.uniform(0.6, 1.4), self.finish, key, request)

    def finish(self, key, request):
        self.running -= 1
        if not self.alive:
            return
        self.reply(key, f"HTTP/1.1 200 OK\r\nPoplarroad-Request-Id: {request}\r\nPoplarroad-Backend-Signature: {self.name}\r\n",
                   b"x" * 600)
        if self.queue:
            self.run(*self.queue.pop(0))

    def reply(self, key, head, body):
        flow = self.flows.get(key)
        if flow and flow["end"]:
            flow["end"].write(head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body,
                              fin=self.state == "draining")

    async def stop(self, erase=True):
        self.alive = False
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        if erase:
            await http(self.via, "DELETE", f"/api/objects/servers/{self.name}")


# ---------------------------------------------------------------- clients and the platform's routers


class Client:
    """A client address: opens flows, sends one request after the other on each, and records the answers."""

    def __init__(self, world, ip):
        self.world, self.ip, self.flows, self.port = world, ip, {}, random.randint(20000, 40000)

    async def start(self):
        self.transport = await udp((self.ip, self.world.data_port), self.on_datagram)
        self.task = asyncio.ensure_future(self.ticks())

    def open(self, route, requests=1, on_reset=None):
        """Opens a flow; returns it. Requests are sent by request()."""
        self.port += 1
        flow = {"key": (self.ip, self.port, *route), "seq": random.getrandbits(32), "echo": 0, "end": None, "copies": 0,
                "opened": now(), "open": asyncio.get_running_loop().create_future(), "answer": None, "buffer": b"",
                "ended": None, "last_ack": 0}
        self.flows[self.port] = flow
        self.world.opened_at[flow["key"]] = now()
        self.syn(flow)
        return flow

    def syn(self, flow):
        self.out(flow, SYN, flow["seq"], flow["copies"], b"")

    def out(self, flow, flags, seq, ack, data=b""):
        key = flow["key"]
        flow["last_ack"] = ack
        self.world.route(Packet(key[0], key[1], key[2], key[3], flags, seq, ack, flow["echo"], data), self.transport)

    def end_flow(self, flow, reason):
        if flow["ended"]:
            return
        flow["ended"] = reason
        self.flows.pop(flow["key"][1], None)
        for future in (flow["open"], flow["answer"]):
            if future and not future.done():
                future.set_result(reason)

    def on_datagram(self, data, addr):
        packet, total, sound = parse(data)
        own_reset = total == 0 and packet.flags == RST and not packet.data
        if not sound or (total != packet.sum() and not own_reset):
            self.world.broken.append("a client got a changed packet")
            return
        flow = self.flows.get(packet.dport)
        if not flow or (packet.src, packet.sport) != flow["key"][2:]:
            return
        if packet.flags & RST:
            if own_reset and flow["end"]:
                distance = min((packet.seq - flow["last_ack"]) & 0xFFFFFFFF, (flow["last_ack"] - packet.seq) & 0xFFFFFFFF)
                self.world.on_reset(flow, addr[0], distance)
                if distance > 76800:
                    return
            self.end_flow(flow, "reset by the system" if own_reset else "reset by a backend")
            return
        if packet.flags & SYN:
            if flow["end"] or packet.ack != (flow["seq"] + 1) & 0xFFFFFFFF:
                return
            flow["echo"] = packet.echo
            flow["end"] = End(lambda *args: self.out(flow, *args), (flow["seq"] + 1) & 0xFFFFFFFF, (packet.seq + 1) & 0xFFFFFFFF)
            flow["end"].send(ACK, flow["end"].next, flow["end"].expected, b"")
            if not flow["open"].done():
                flow["open"].set_result(None)
            return
        if not flow["end"]:
            return
        flow["echo"] = packet.echo
        flow["buffer"] += flow["end"].receive(packet)
        head, mark, rest = flow["buffer"].partition(b"\r\n\r\n")
        if mark:
            length = int(re.search(rb"Content-Length: (\d+)", head).group(1))
            if len(rest) >= length:
                flow["buffer"] = rest[length:]
                if flow["answer"] and not flow["answer"].done():
                    flow["answer"].set_result(head.decode("latin-1"))
        if flow["end"].remote_closed:
            flow["end"].write(b"", fin=True)
            self.end_flow(flow, "closed by the backend")

    async def ticks(self):
        while True:
            await asyncio.sleep(0.01)
            for flow in list(self.flows.values()):
                if flow["end"]:
                    flow["end"].tick()
                    continue
                waited = now() - flow["opened"]
                if flow["copies"] < 2 and waited >= (0.2, 0.6)[flow["copies"]]:
                    flow["copies"] += 1
                    self.syn(flow)
                if waited > 1.4:
                    self.end_flow(flow, "not opened")

    async def request(self, flow, timeout):
        """Sends a request on a flow; returns the head of the answer or why there is none."""
        request = f"{random.getrandbits(64):016x}"
        self.world.sent[request] = (now(), flow["key"])
        self.world.record.line(f"request {request} to {flow['key'][2]}:{flow['key'][3]} port {flow['key'][1]}")
        flow["answer"] = asyncio.get_running_loop().create_future()
        flow["end"].write(f"GET /lot HTTP/1.1\r\nHost: x\r\nPoplarroad-Request-Id: {request}\r\n\r\n".encode())
        try:
            answer = await asyncio.wait_for(asyncio.shield(flow["answer"]), timeout)
        except asyncio.TimeoutError:
            answer = "no answer in time"
        short = answer.split("\r\n")[0]
        self.world.record.line(f"answer {request}: {short}")
        return short

    async def one(self, route, timeout=1.2):
        """A request on a flow of its own."""
        flow = self.open(route)
        reason = await flow["open"]
        if reason:
            return reason
        answer = await self.request(flow, timeout)
        if flow["ended"] is None:
            flow["end"].write(b"", fin=True)
            await asyncio.sleep(0.05)
            self.end_flow(flow, "closed")
        return answer


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, zones, per_zone=2):
        self.folder = pathlib.Path(folder)
        self.record = Record(folder)
        self.zones, self.per_zone = zones, per_zone
        self.temp = tempfile.TemporaryDirectory(prefix="review-3-")
        self.net = random.randint(30, 250)
        self.data_port, self.ready_port, self.peer_port, self.store_port = self.free_ports(4)
        self.store_address = (f"127.{self.net}.200.1", self.store_port)
        self.store = Store(self.record)
        self.backends, self.balancers, self.ready = [], {}, {}
        self.sent, self.opened_at, self.runs, self.openings, self.resets, self.broken = {}, {}, [], [], [], []
        self.tasks = []

    def free_ports(self, count):
        ports = []
        while len(ports) < count:
            port = random.randint(21000, 31000)
            with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
                try:
                    tcp.bind(("0.0.0.0", port))
                    datagrams.bind(("0.0.0.0", port))
                except OSError:
                    continue
            if port not in ports:
                ports.append(port)
        return ports

    # what is seen
    def on_opening(self, backend, key, balancer, number):
        self.openings.append((now(), backend, key, balancer))
        self.record.line(f"flow port {key[1]} to {key[2]}:{key[3]} opens at {backend.name} through {balancer}")

    def on_run(self, backend, key, request):
        self.runs.append((now(), backend, key, request))
        self.record.line(f"run {request} by {backend.name} ({backend.service})")

    def on_reset(self, flow, balancer, distance):
        self.resets.append((now(), flow, balancer, distance))
        self.record.line(f"system reset of flow port {flow['key'][1]} from {balancer}, {distance} from the last ack")

    # routers
    def route(self, packet, transport):
        up = [name for name, misses in self.ready.items() if misses < 2]
        names = up if 2 * len(up) >= len(self.ready) else list(self.ready)
        if not names:
            return
        flow = f"{packet.src}:{packet.sport}:{packet.dst}:{packet.dport}"
        name = max(names, key=lambda each: zlib.crc32(f"{flow}|{each}".encode()) * 2654435761 & 0xFFFFFFFF)
        transport.sendto(packet.bytes(), (self.balancers[name]["ip"], self.data_port))

    async def check_ready(self):
        while True:
            for name in list(self.ready):
                asyncio.ensure_future(self.check_one(name))
            await asyncio.sleep(0.5)

    async def check_one(self, name):
        ok = await http((self.balancers[name]["ip"], self.ready_port), "GET", "/api/ready", timeout=0.4) == 200
        self.ready[name] = 0 if ok else self.ready[name] + 1

    # balancers
    def settings(self, ip, zone):
        """The settings template of the deploy file, filled in for a small deployment without optional bounds."""
        text = (ROOT / "platform" / "edge.ini").read_text()
        text = re.sub(r"\{\{#bounds\.\w+\}\}.*?\{\{/bounds\.\w+\}\}\n?", "", text, flags=re.S)
        values = {"zone": zone, "listen.datagramAddr": f"{ip}:{self.data_port}", "ip": ip, "portRange.0": str(self.peer_port),
                  "listen.readinessAddr": f"{ip}:{self.ready_port}", "limits.cpuShare": "0.055", "limits.linkMbps": "1000.0",
                  "seeds": ",".join(f"{each}:{self.store_port}" for each in self.seeds), "platform.address":
                  f"{self.store_address[0]}:{self.store_address[1]}"}
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: values[match.group(1)], text)

    def start_balancer(self, name):
        balancer = self.balancers[name]
        path = pathlib.Path(self.temp.name) / f"{name}.ini"
        path.write_text(self.settings(balancer["ip"], balancer["zone"]))
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        command = re.search(r'^run = "(.*)"', deploy, re.M).group(1).split()
        log = open(pathlib.Path(self.temp.name) / f"{name}.log", "ab")
        balancer["process"] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                               env={"PATH": os.environ["PATH"], "POPLARROAD_BOOT": str(path)})
        log.close()
        self.record.line(f"{name} starts")

    def log_of(self, name):
        return (pathlib.Path(self.temp.name) / f"{name}.log").read_text(errors="replace")

    def signal(self, name, number):
        self.record.line(f"{name} gets signal {number}")
        self.balancers[name]["process"].send_signal(number)

    async def start(self, config, backends):
        self.store.put("config", "main", config)
        servers = [await asyncio.start_server(self.store.handle, *self.store_address)]
        self.tasks += [asyncio.ensure_future(self.store.expire())]
        self.servers = servers
        for backend in backends:
            self.backends.append(backend)
            await backend.start()
        names = [(f"edge-{zone}-{i + 1}", zone, f"127.{self.net}.{z + 1}.{i + 10}") for z, zone in enumerate(self.zones)
                 for i in range(self.per_zone)]
        self.seeds = [ip for _, _, ip in names][:3]
        for name, zone, ip in names:
            self.balancers[name] = {"ip": ip, "zone": zone}
            self.ready[name] = 2
            self.start_balancer(name)
        self.tasks.append(asyncio.ensure_future(self.check_ready()))
        end = now() + 10
        while any(self.ready.values()) and now() < end:
            await asyncio.sleep(0.1)
        return not any(self.ready.values())

    async def stop(self):
        for balancer in self.balancers.values():
            process = balancer.get("process")
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for task in self.tasks:
            task.cancel()
        self.record.close()
        self.temp.cleanup()


def config(version, routes, services, idle_ms=15000):
    """A desired state; routes are (ip, port, service, type, time limit in ms, aim in ms, priority)."""
    return {"version": version,
            "routes": [{"name": f"r-{index}", "hostname": ip, "pathPrefix": f"/{port}/", "type": kind, "timeoutMs": limit,
                        "targetLatencyMs": aim, "priority": priority, "service": service, "maxAttempts": 2}
                       for index, (ip, port, service, kind, limit, aim, priority) in enumerate(routes)],
            "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 2000, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idle_ms}}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(scenario):
    """Runs a scenario: 0 the rule held, 1 it was broken, 2 the case could not run."""

    async def run():
        # A stop from outside ends the processes too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await scenario()

    try:
        code = asyncio.run(run())
    except asyncio.CancelledError:
        code = 2
    except Exception as error:  # the case could not run
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)

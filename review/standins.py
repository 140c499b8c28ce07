"""Stand-ins for the platform, the backends and the clients of poplarroad-edge, in one asyncio process.

They follow the users' pages on the loopback network and the real clock. Every edge process is started with the command
and the template of deploy/system.toml. The routers send each flow to one ready edge process of the client's zone
(rendezvous hash, as with hashPolicy "steady"); the store serves lists and watches of objects; backends answer their
clients directly (encap "echo").
"""

import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEAD = struct.Struct(">IIIB5sIHIHIH")  # echo seq ack flags pad dst sport src dport sum len
SYN, FIN, ACK, RST, BOUNCED = 1, 8, 16, 32, 128
DRAIN_S = 3.0  # drainTimeoutMs of both small sites
STABILITY_S = 4.0  # stabilityMs of both small sites
HEARTBEAT_S = 1.2  # heartbeatMs of both small sites
PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20  # of an answer with a list


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Record:
    """What was sent, answered and run, with seconds since the start; written to record.txt."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def checksum(flags, seq, ack, dst, sport, src, dport, data):
    body = struct.pack(">BIIIHIH", flags & ~BOUNCED, seq, ack, dst, sport, src, dport) + data
    return struct.unpack(">I", hashlib.blake2b(body, digest_size=4, key=b"between clients and backends").digest())[0]


def packet(echo, seq, ack, flags, dst, sport, src, dport, data=b""):
    total = checksum(flags, seq, ack, dst, sport, src, dport, data)
    return HEAD.pack(echo, seq, ack, flags, b"\0" * 5, dst, sport, src, dport, total, len(data)) + data


class Packet:
    def __init__(self, datagram):
        (self.echo, self.seq, self.ack, self.flags, _, self.dst, self.sport, self.src, self.dport, self.sum,
         length) = HEAD.unpack_from(datagram)
        self.data = datagram[HEAD.size:]
        self.valid = len(self.data) == length and self.sum == checksum(
            self.flags, self.seq, self.ack, self.dst, self.sport, self.src, self.dport, self.data)
        self.own_reset = self.flags == RST and self.sum == 0 and not self.data


class Store:
    """The platform's store: objects, lists and watches. Only what the edge processes call."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.objects = {"config": {}, "servers": {}}
        self.events = []  # (revision, kind, object, deleted)
        self.changed = asyncio.Event()  # set, and replaced, at each change
        self.down = False  # refuses every call with 503
        self.beats = {}  # name of a backend's entry: monotonic time of its last accepted write
        self.silent_until = 0.0  # monotonic; until then the machine that watches gets no answers
        self.on_watch = None  # called with the kind when a watch that may wait arrives

    async def listen(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    async def put(self, kind, name, spec):
        self.revision += 1
        known = self.objects[kind].get(name)
        created = known["meta"]["createRev"] if known else self.revision
        item = {"meta": {"name": name, "revision": self.revision, "createRev": created, "finalizers": [],
                         "deleting": False}, "spec": spec, "status": None}
        self.objects[kind][name] = item
        await self.add_event(kind, item, False)

    async def remove(self, kind, name):
        item = self.objects[kind].pop(name, None)
        if item:
            self.revision += 1
            item = {**item, "meta": {**item["meta"], "revision": self.revision}}
            await self.add_event(kind, item, True)

    async def beat(self, name, spec):
        """A backend's regular write; changes nothing unless the entry is missing or differs."""
        if self.down:
            return False
        self.beats[name] = time.monotonic()
        known = self.objects["servers"].get(name)
        if not known or known["spec"] != spec:
            await self.put("servers", name, spec)
        return True

    async def expire(self):
        """Removes entries after three status report intervals of silence, also while the store is down."""
        while True:
            await asyncio.sleep(0.05)
            for name, at in list(self.beats.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S and name in self.objects["servers"]:
                    del self.beats[name]
                    self.record.write(f"store: entry {name} expires")
                    await self.remove("servers", name)

    async def add_event(self, kind, item, deleted):
        self.events.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def silent(self):
        return time.monotonic() < self.silent_until

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                target = head.split(" ", 2)[1]
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                kind = url.path.rsplit("/", 1)[1]
                status, body = await self.answer(kind, query)
                if status is None:  # silence: this connection returns nothing further
                    await reader.read()
                    return
                keep = "connection: close" not in head.lower()
                text = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n"
                             f"Connection: {'keep-alive' if keep else 'close'}\r\n\r\n".encode() + text)
                await writer.drain()
                if not keep:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, kind, query):
        await asyncio.sleep(0.004)
        if self.down:
            return 503, {}
        if "watch" not in query:
            names = sorted(name for name in self.objects[kind] if name > query.get("after", ""))
            page, size = [], 0
            for name in names:
                size += len(json.dumps(self.objects[kind][name]))
                if page and (len(page) >= PAGE_ITEMS or size > PAGE_BYTES):
                    break
                page.append(self.objects[kind][name])
            return 200, {"items": page, "truncated": len(page) < len(names), "currentRev": self.revision}
        after = int(query["watch"])
        wait = int(query.get("waitMs", "0")) / 1000
        if wait > 0 and self.on_watch:
            self.on_watch(kind)
        if wait > 0 and self.silent():
            self.record.write(f"store: watch of {kind} from {after} arrives in the silence and gets no answer")
            return None, None
        deadline = time.monotonic() + wait
        while True:
            events = [{"deleted": deleted, "object": item} for revision, of, item, deleted in self.events
                      if of == kind and revision > after]
            left = deadline - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if self.down:
                return 503, {}
        if wait > 0 and self.silent():
            self.record.write(f"store: answer to a watch of {kind} falls into the silence and is not sent")
            return None, None
        return 200, {"events": events, "currentRev": self.revision}


class Flow:
    """A flow at a backend."""

    def __init__(self, seq, peer_seq, opened_by):
        self.seq = seq  # next sequence number to send
        self.received = peer_seq  # next expected byte of the client
        self.opened_by = opened_by
        self.open = False
        self.closing = False
        self.echo = 0
        self.buffer = b""
        self.unacked = []  # [seq, flags, data]


class Backend(asyncio.DatagramProtocol):
    """A backend: holds flows, runs requests, answers its clients directly."""

    def __init__(self, world, name, address, zone, service, work_s=0.02):
        self.world, self.name, self.address, self.zone, self.service = world, name, address, zone, service
        self.number = int(name.split("-")[1], 16)
        self.work_s = work_s
        self.flows = {}
        self.state = "ready"
        self.drained_at = None
        self.running = set()
        self.held = {}  # flows that were open here, with the time of their opening
        self.ended = False

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        await self.register()

    def spec(self):
        return {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                "version": "v1", "maxConcurrency": 3, "state": self.state, "warmupLeftMs": 0, "seq": 1,
                "born": self.world.born}

    async def register(self):
        await self.world.store.beat(self.name, self.spec())

    async def beat(self, phase_s):
        """Writes to the store every heartbeat, as long as the backend lives."""
        await asyncio.sleep(phase_s)
        while not self.ended:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self):
        """Reports `draining`; the store's answer is the confirmation."""
        self.state = "draining"
        await self.register()
        self.drained_at = self.world.record.now()
        self.world.record.write(f"backend {self.name}: store has confirmed 'draining'")

    def exit(self):
        self.ended = True
        for key, flow in self.flows.items():
            if flow.open and self.pending(flow):
                self.world.record.write(f"backend {self.name}: exits with work of flow {key[1]} unanswered")
        self.transport.close()
        self.world.record.write(f"backend {self.name}: exits")

    @staticmethod
    def pending(flow):
        return bool(flow.buffer) or bool(flow.unacked)

    def send(self, key, flow, flags, data=b"", seq=None):
        src, sport, dst, dport = key
        datagram = packet(flow.echo, flow.seq if seq is None else seq, flow.received, flags, src, dport, dst, sport,
                          data)
        if not self.ended:
            self.transport.sendto(datagram, (ip_text(src), self.world.port))

    def datagram_received(self, datagram, sender):
        if len(datagram) < 8 + HEAD.size:
            return
        intended = struct.unpack_from(">Q", datagram)[0]
        if intended not in (0, self.number):
            return
        got = Packet(datagram[8:])
        if not got.valid:
            self.world.record.write(f"backend {self.name}: packet with a wrong sum from {sender[0]}")
            self.world.violations.append("UNASKED: a packet that its sender did not write so")
            return
        key = (got.src, got.sport, got.dst, got.dport)
        flow = self.flows.get(key)
        if got.flags & SYN:
            self.on_syn(key, flow, got, sender)
        elif not flow:
            if not got.flags & RST:
                self.send(key, Flow(got.ack, got.seq, None), RST)
                self.world.on_foreign_packet(self, key, sender[0])
        else:
            flow.echo = got.echo
            self.on_packet(key, flow, got)

    def on_syn(self, key, flow, got, sender):
        if not flow:
            flow = self.flows[key] = Flow(random.getrandbits(32), (got.seq + 1) & 0xffffffff, sender[0])
            self.world.on_opening(self, key, sender[0])
        flow.echo = got.echo
        self.send(key, flow, SYN | ACK)

    def on_packet(self, key, flow, got):
        if got.flags & RST:
            self.flows.pop(key, None)
            return
        if not flow.open:
            if got.ack != (flow.seq + 1) & 0xffffffff:
                return
            flow.open = True
            self.held[key] = self.world.record.now()
            flow.seq = got.ack
            self.world.record.write(f"backend {self.name}: flow {self.world.label(key)} is open")
        flow.unacked = [entry for entry in flow.unacked
                        if ((entry[0] + max(len(entry[2]), 1)) - got.ack) & 0xffffffff < 0x80000000
                        and (entry[0] + max(len(entry[2]), 1)) & 0xffffffff != got.ack]
        if got.data:
            if got.seq == flow.received:
                flow.received = (got.seq + len(got.data)) & 0xffffffff
                flow.buffer += got.data
                if flow.buffer.endswith(b"\r\n\r\n"):
                    request, flow.buffer = flow.buffer, b""
                    task = asyncio.ensure_future(self.run(key, flow, request))
                    self.running.add(task)
                    task.add_done_callback(self.running.discard)
            else:
                self.send(key, flow, ACK)
        if got.flags & FIN:
            if got.seq == flow.received or flow.received == (got.seq + 1) & 0xffffffff:
                flow.received = (got.seq + 1) & 0xffffffff
            self.send(key, flow, ACK)
            if flow.closing:
                self.flows.pop(key, None)
            else:
                flow.closing = True
                self.send(key, flow, FIN | ACK)
                flow.seq = (flow.seq + 1) & 0xffffffff

    async def run(self, key, flow, request):
        identity = re.search(rb"Poplarroad-Request-Id: (\S+)", request)[1].decode()
        self.world.on_run(self, identity, request)
        self.world.record.write(f"backend {self.name}: runs {identity} of flow {self.world.label(key)}")
        await asyncio.sleep(self.work_s)
        if self.ended or key not in self.flows:
            return
        body = f"{identity} by {self.name}".encode()
        answer = (b"HTTP/1.1 200 OK\r\nPoplarroad-Backend-Signature: " + hashlib.sha256(body).hexdigest().encode()
                  + b"\r\nContent-Length: " + str(len(body)).encode() + b"\r\n\r\n" + body)
        flow.unacked.append([flow.seq, ACK, answer])
        self.send(key, flow, ACK, answer)
        first = flow.seq
        flow.seq = (flow.seq + len(answer)) & 0xffffffff
        if self.state == "draining" and not flow.closing:  # closes each flow after its next response
            flow.closing = True
            self.send(key, flow, FIN | ACK)
            flow.seq = (flow.seq + 1) & 0xffffffff
        delay = 0.2
        for _ in range(8):
            await asyncio.sleep(delay)
            if self.ended or key not in self.flows or not any(entry[0] == first for entry in flow.unacked):
                return
            self.send(key, flow, ACK, answer, seq=first)
            delay = min(delay * 2, 1.6)


class ClientFlow:
    """One flow of a client and its requests."""

    def __init__(self, client, route, port):
        self.client, self.route, self.port = client, route, port
        self.world = client.world
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.echo = 0
        self.open = False
        self.ended = None  # why
        self.event = asyncio.Event()
        self.buffer = b""
        self.acked = self.seq
        self.key = (ip_number(client.ip), port, ip_number(route.ip), route.port)

    def send(self, flags, data=b"", seq=None, ack=None, echo=None):
        src, sport, dst, dport = self.key
        datagram = packet(self.echo if echo is None else echo, self.seq if seq is None else seq,
                          self.ack if ack is None else ack, flags, dst, sport, src, dport, data)
        edge = self.world.route(self.key, self.client.zone)
        if edge:
            self.client.transport.sendto(datagram, (edge.ip, self.world.port))
        return edge

    async def connect(self):
        """Sends the opening packet and its copies. Returns whether the flow opened."""
        first = self.seq
        for copy, wait in ((0, 0.2), (1, 0.4), (2, 0.8)):
            edge = self.send(SYN, seq=first, ack=copy, echo=0)
            self.world.record.write(
                f"client: opening packet (copy {copy}) of flow {self.world.label(self.key)} to {edge and edge.name}")
            if await self.wait(lambda: self.open or self.ended, wait):
                break
        if not self.open:
            self.ended = self.ended or "no answer to the opening packet"
        return self.open

    async def request(self, method, deadline_s=1.5):
        """Sends one request. Returns 'answered', or why there is no answer."""
        identity = self.world.new_request(method, self.route)
        text = (f"{method} / HTTP/1.1\r\nHost: {self.route.ip}\r\nPoplarroad-Request-Id: {identity}\r\n"
                f"Content-Length: 0\r\n\r\n").encode()
        self.buffer = b""
        first = self.seq
        end = (first + len(text)) & 0xffffffff
        self.seq = end
        self.acked = first
        limit = time.monotonic() + deadline_s
        delay = 0.2
        self.world.record.write(f"client: {identity} ({method}) is sent on flow {self.world.label(self.key)}")
        while True:
            if self.acked != end:
                self.send(ACK, text, seq=first)
            left = limit - time.monotonic()
            if await self.wait(lambda: self.complete() or self.ended, min(delay, max(left, 0.0))):
                break
            delay = min(delay * 2, 1.6)
            if left <= 0:
                self.ended = "the client's time limit"
                break
        result = "answered" if self.complete() else self.ended
        if result == "answered" and identity.encode() not in self.buffer:
            self.world.violations.append(f"MIXED: {identity} got another answer")
        self.world.results.append((identity, result))
        self.world.record.write(f"client: {identity}: {result}")
        return result

    def complete(self):
        head, gap, body = self.buffer.partition(b"\r\n\r\n")
        size = re.search(rb"Content-Length: (\d+)", head)
        return bool(gap) and bool(size) and len(body) >= int(size[1])

    async def wait(self, condition, seconds):
        limit = time.monotonic() + seconds
        while not condition():
            left = limit - time.monotonic()
            if left <= 0:
                return False
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), left)
            except asyncio.TimeoutError:
                pass
        return True

    def close(self):
        if self.open and not self.ended:
            self.send(FIN | ACK)
            self.ended = "closed by the client"
        self.client.flows.pop(self.port, None)

    def on_packet(self, got, sender):
        if got.own_reset:
            valid = not self.open or (got.seq - self.ack) & 0xffffffff <= 76800 \
                or (self.ack - got.seq) & 0xffffffff <= 76800
            self.world.on_reset(self, sender, valid)
            if valid and not self.ended:
                self.ended = f"reset by the system ({sender[0]})"
        elif not got.valid:
            self.world.violations.append("MIXED: a packet that its sender did not write so")
        elif got.flags & RST:
            if self.open and got.seq == self.ack and not self.ended:
                self.ended = "reset by the backend"
        elif got.flags & SYN:
            if not self.open and not self.ended:
                self.open = True
                self.echo = got.echo
                self.ack = (got.seq + 1) & 0xffffffff
                self.seq = (self.seq + 1) & 0xffffffff
                self.send(ACK)
        elif self.open:
            if got.seq == self.ack:
                self.echo = got.echo
                self.acked = got.ack
                if got.data:
                    self.buffer += got.data
                    self.ack = (got.seq + len(got.data)) & 0xffffffff
                if got.flags & FIN:
                    self.ack = (self.ack + 1) & 0xffffffff
                    self.send(ACK)
                    if not self.ended:
                        self.send(FIN | ACK)
                        self.ended = "closed by the backend"
                elif got.data:
                    self.send(ACK)
            elif got.data:
                self.send(ACK)
        self.event.set()


class Client(asyncio.DatagramProtocol):
    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone = world, ip, zone
        self.flows = {}
        self.next_port = 20000

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, self.world.port))

    def flow(self, route):
        self.next_port += 1
        flow = self.flows[self.next_port] = ClientFlow(self, route, self.next_port)
        return flow

    def datagram_received(self, datagram, sender):
        if len(datagram) >= HEAD.size:
            got = Packet(datagram)
            flow = self.flows.get(got.dport)
            if flow and (got.src, got.sport) == flow.key[2:]:
                flow.on_packet(got, sender)


class Route:
    def __init__(self, ip, port, service, kind, priority):
        self.ip, self.port, self.service, self.kind, self.priority = ip, port, service, kind, priority

    def spec(self, timeout_ms=1500):
        return {"name": f"r-{self.service}-{self.port}", "hostname": self.ip, "pathPrefix": f"/{self.port}/",
                "type": self.kind, "timeoutMs": timeout_ms, "targetLatencyMs": 250, "priority": self.priority,
                "service": self.service, "maxAttempts": 2}


class Edge:
    """One machine with its poplarroad-edge process, started as the deploy file says."""

    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.process = None
        self.started = None
        self.misses = 2
        self.ready = False

    def settings(self):
        with open(os.path.join(ROOT, "platform/settings.ini"), encoding="utf-8") as template:
            text = template.read()
        values = {"zone": self.zone, "listen.datagramAddr": f"{self.ip}:{self.world.port}",
                  "ip": self.ip, "portRange.0": str(self.world.port + 1),
                  "listen.readinessAddr": f"{self.ip}:{self.world.port + 2}",
                  "seeds": ",".join(f"{edge.ip}:{self.world.port + 3}" for edge in self.world.seeds()),
                  "limits.cpuShare": "0.055", "limits.linkMbps": "1000.0",
                  "platform.address": "%s:%d" % self.world.store_address}
        return re.sub(r"\{\{([^}]+)\}\}", lambda match: values[match[1]], text)

    def start(self):
        path = os.path.join(self.world.folder, f"{self.name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        self.log = open(os.path.join(self.world.folder, f"{self.name}.log"), "a", encoding="utf-8")
        environment = {"POPLARROAD_BOOT": path, "PATH": os.environ.get("PATH", ""), "HOME": self.world.folder}
        self.process = subprocess.Popen([self.world.program], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=subprocess.STDOUT)
        self.started = self.world.record.now()
        self.world.record.write(f"{self.name}: started, process {self.process.pid}")

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record.write(f"{self.name}: {signal.Signals(number).name}")

    async def probe(self):
        """The router's probe, twice a second; two misses take the machine out of rotation."""
        while True:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.world.port + 2), 0.4)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                status = await asyncio.wait_for(reader.readline(), 0.4)
                writer.close()
                good = b" 200 " in status
            except (OSError, asyncio.TimeoutError):
                good = False
            self.misses = 0 if good else self.misses + 1
            if good != self.ready and (good or self.misses >= 2):
                self.ready = good
                self.world.record.write(f"router: {self.name} is {'in' if good else 'out of'} rotation")
            await asyncio.sleep(0.5)

    def log_lines(self):
        self.log.flush()
        with open(os.path.join(self.world.folder, f"{self.name}.log"), encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.startswith("{")]


class World:
    """The deployment: 7 edge machines in 3 zones, the store, backends and clients."""

    ZONES = {"bogota-a": 3, "bogota-b": 2, "bogota-c": 2}

    def __init__(self, folder, program):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="poplarroad-review-")
        self.program = program
        self.born = int(time.time() * 1000)
        self.violations = []
        self.results = []
        self.runs = {}
        self.requests = {}
        self.resets = []
        self.openings = []
        self.foreign = []
        self.backends = []
        self.clients = []
        self.tasks = []
        self.choose_addresses()
        self.store = Store(self.record)
        self.edges = []
        host = 1
        for zone, count in self.ZONES.items():
            for i in range(count):
                self.edges.append(Edge(self, f"edge-{zone}-{i + 1}", f"127.{self.net}.1.{host}", zone))
                host += 1

    def seeds(self):
        """One machine of each zone."""
        return [next(edge for edge in self.edges if edge.zone == zone) for zone in self.ZONES]

    def choose_addresses(self):
        while True:
            self.net = random.SystemRandom().randint(16, 250)
            self.port = random.SystemRandom().randint(20000, 28000)
            try:
                for offset in range(6):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(("0.0.0.0", self.port + offset))
                break
            except OSError:
                continue
        self.store_address = (f"127.{self.net}.9.1", self.port + 3)

    def label(self, key):
        return f"{ip_text(key[0])}:{key[1]}>{ip_text(key[2])}:{key[3]}"

    def route(self, key, zone):
        """The router: a hash over the machines in rotation; all of the zone if fewer than half are in rotation."""
        machines = [edge for edge in self.edges if edge.zone == zone]
        ready = [edge for edge in machines if edge.ready]
        if not any(edge.ready for edge in machines):
            ready = [edge for edge in self.edges if edge.ready]
        elif 2 * len(ready) < len(machines):
            ready = machines
        score = lambda edge: hashlib.blake2b(f"{key}{edge.name}".encode(), digest_size=8).digest()
        return max(ready, key=score) if ready else None

    def new_request(self, method, route):
        identity = f"q{len(self.requests) + 1}"
        self.requests[identity] = (method, route)
        return identity

    def on_run(self, backend, identity, request):
        if identity not in self.requests:
            self.violations.append(f"UNASKED: {identity}")
            return
        method, route = self.requests[identity]
        self.runs.setdefault(identity, []).append(backend.name)
        if route.service != backend.service:
            self.violations.append(f"ROUTE: {identity} ran at {backend.name}")

    def on_reset(self, flow, sender, valid):
        edge = next((edge for edge in self.edges if edge.ip == sender[0]), None)
        self.record.write(f"client: reset of flow {self.label(flow.key)} by {edge and edge.name}, open: {flow.open}, "
                          f"{'valid' if valid else 'not valid'}")
        self.resets.append((self.record.now(), flow, edge, flow.open, valid))

    def on_foreign_packet(self, backend, key, ip):
        """A backend gets a packet of a flow that it does not hold, and resets it."""
        holder = next((other for other in self.backends if key in other.held and key in other.flows), None)
        edge = next((edge for edge in self.edges if edge.ip == ip), None)
        if holder and holder is not backend and not holder.ended:
            self.record.write(f"backend {backend.name}: resets flow {self.label(key)}, which is open at {holder.name}; "
                              f"the packet came through {edge and edge.name}")
            self.foreign.append((self.record.now(), backend, holder, key, edge))

    def on_opening(self, backend, key, ip):
        edge = next((edge for edge in self.edges if edge.ip == ip), None)
        now = self.record.now()
        self.openings.append((now, backend, key, edge))
        if backend.drained_at is not None:
            self.record.write(f"backend {backend.name}: opening packet of flow {self.label(key)} arrives through "
                              f"{edge and edge.name}, {now - backend.drained_at:.3f} s after 'draining' was confirmed")

    async def start(self, routes, limits_idle_ms=15000):
        self.routes = routes
        self.limits_idle_ms = limits_idle_ms
        await self.store.listen(self.store_address)
        self.spawn(self.store.expire())
        await self.configure(1)
        for edge in self.edges:
            edge.start()
            self.tasks.append(asyncio.ensure_future(edge.probe()))

    async def configure(self, version, timeout_ms=1500):
        services = sorted({route.service for route in self.routes})
        await self.store.put("config", "main", {
            "version": version, "routes": [route.spec(timeout_ms) for route in self.routes],
            "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 2000, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": self.limits_idle_ms}})
        self.record.write(f"operator: version {version} is confirmed")

    async def add_backend(self, name, host, zone, service, work_s=0.02, phase_s=None):
        backend = Backend(self, name, (f"127.{self.net}.3.{host}", self.port + 5), zone, service, work_s)
        await backend.start()
        self.spawn(backend.beat(random.random() * HEARTBEAT_S if phase_s is None else phase_s))
        self.backends.append(backend)
        return backend

    async def add_client(self, host, zone):
        client = Client(self, f"127.{self.net}.5.{host}", zone)
        await client.start()
        self.clients.append(client)
        return client

    async def wait_ready(self, limit_s=8.0):
        end = self.record.now() + limit_s
        while self.record.now() < end:
            if all(edge.ready for edge in self.edges):
                return True
            await asyncio.sleep(0.1)
        return False

    def followers(self):
        """Names of the machines whose log says that they follow the store now."""
        names = []
        for edge in self.edges:
            changes = [line for line in edge.log_lines() if line["event"] == "follow-store"]
            if changes and changes[-1]["follows"]:
                names.append(edge.name)
        return names

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for edge in self.edges:
            if edge.process and edge.process.poll() is None:
                edge.process.send_signal(signal.SIGCONT)
                edge.process.kill()
        for edge in self.edges:
            if edge.process:
                edge.process.wait()
        for edge in self.edges:
            if not edge.process:
                continue
            with open(os.path.join(self.folder, f"{edge.name}.log"), encoding="utf-8") as file:
                for line in file:
                    if any(f'"event":"{event}"' in line for event in
                           ("follow-store", "store-lost", "store-regained", "services-in-force", "target-listed")):
                        self.record.write(f"log of {edge.name}: {line.strip()}")
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Runs a case: an async function that gets the world and whether there is trouble, and returns the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    program = os.environ.get("POPLARROAD_EDGE", os.path.join(ROOT, "target/poplarroad-edge"))
    if not os.access(program, os.X_OK):
        print(f"{program} is missing: run the build of deploy/system.toml first")
        return 2

    async def play():
        world = World(folder, program)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(world, trouble), 110)
        except asyncio.TimeoutError:
            world.record.write("the case took too long")
            return 2
        except asyncio.CancelledError:
            world.record.write("the case was interrupted")
            return 2
        finally:
            await world.stop()

    return asyncio.run(play())

"""Stand-ins for the users' platform, backends and clients, as PROTOCOL.md and DEPLOY.md describe them.

One process holds the store (HTTP over TCP), the backends and the clients (UDP); the daemons under test are real
processes of target/poplarroad-edge. Only loopback addresses are used.
"""
import asyncio
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import time
import zlib
from urllib.parse import parse_qs, urlsplit

SYN, FIN, ACK, RST = 1, 8, 16, 32
HEAD = struct.Struct('>IIIB5sIHIHIH')  # echo seq ack flags pad dst sport src dport sum len


def now():
    return time.monotonic()


def ip_number(ip):
    return struct.unpack('>I', socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack('>I', number))


class Packet:
    """A packet of a flow; `src`/`dst` are (ip, port)."""

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b'', echo=0, total=None):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data, self.echo, self.total = seq & 0xffffffff, ack & 0xffffffff, data, echo, total

    def checksum(self):
        body = repr((self.src, self.dst, self.flags & 0x7f, self.seq, self.ack)).encode() + self.data
        return zlib.crc32(b'key of the two ends' + body) | 1

    def encode(self):
        total = self.checksum() if self.total is None else self.total
        return HEAD.pack(self.echo, self.seq, self.ack, self.flags, b'\0' * 5, ip_number(self.dst[0]), self.src[1],
                         ip_number(self.src[0]), self.dst[1], total, len(self.data)) + self.data

    @staticmethod
    def decode(raw):
        echo, seq, ack, flags, _, dst, sport, src, dport, total, length = HEAD.unpack_from(raw)
        data = raw[HEAD.size:HEAD.size + length]
        return Packet((ip_text(src), sport), (ip_text(dst), dport), flags, seq, ack, data, echo, total)


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.start = now()
        self.ended = False

    def write(self, text):
        if self.ended:
            return
        self.file.write('%8.3f s  %s\n' % (now() - self.start, text))
        self.file.flush()


class Store:
    """The platform's metadata store: objects by kind and name, lists in pages, watches with history."""

    PAGE = 500  # "about 500 or 1 MB at most"
    LATENCY = 0.004

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.kinds = {}
        self.log = []  # (revision, kind, object, deleted)
        self.copies = []  # (time, revision, kinds): earlier contents, for reads that may be old
        self.changed = None
        self.age_of_stale_page = lambda kind, after: 0.0  # seconds, for each call with serializable=1

    async def start(self, host, port):
        self.changed = asyncio.Condition()
        self.server = await asyncio.start_server(self.serve, host, port)

    def keep_copy(self):
        self.copies.append((now(), self.revision, {kind: dict(objects) for kind, objects in self.kinds.items()}))

    async def put(self, kind, name, spec):
        """Writes an object. @return its revision; the moment of the return is the confirmation"""
        old = self.kinds.setdefault(kind, {}).get(name)
        if old and old['spec'] == spec:
            return self.revision
        self.revision += 1
        created = old['meta']['createRev'] if old else self.revision
        new = {'meta': {'name': name, 'revision': self.revision, 'createRev': created, 'finalizers': [],
                        'deleting': False}, 'spec': spec, 'status': None}
        self.kinds[kind][name] = new
        await self.on_change(kind, new, False)
        return self.revision

    async def delete(self, kind, name):
        old = self.kinds.get(kind, {}).pop(name, None)
        if old:
            self.revision += 1
            await self.on_change(kind, old, True)

    async def on_change(self, kind, changed, deleted):
        self.log.append((self.revision, kind, changed, deleted))
        self.keep_copy()
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b'\r\n')[0].decode().split(' ')[1]
                url = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
                kind = url.path.strip('/').split('/')[2]
                await asyncio.sleep(self.LATENCY)
                if 'watch' in query:
                    status, body = await self.watch(kind, int(query['watch']), int(query.get('waitMs', '0')))
                else:
                    status, body = self.list(kind, query.get('after', ''), query.get('serializable') == '1')
                closes = b'connection: close' in head.lower()
                payload = json.dumps(body).encode()
                writer.write(('HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s\r\n' % (
                    status, len(payload), 'Connection: close\r\n' if closes else '')).encode() + payload)
                await writer.drain()
                if closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def list(self, kind, after, stale):
        revision, objects = self.revision, self.kinds.get(kind, {})
        age = self.age_of_stale_page(kind, after) if stale else 0.0
        if age > 0.0:
            past = [copy for copy in self.copies if copy[0] <= now() - age]
            if past:
                revision, objects = past[-1][1], past[-1][2].get(kind, {})
            self.record.write('store: page of %s after "%s" is %.1f s old (revision %d, the store is at %d)' % (
                kind, after, age, revision, self.revision))
        names = sorted(name for name in objects if name > after)
        page = [objects[name] for name in names[:self.PAGE]]
        return 200, {'items': page, 'truncated': len(names) > len(page), 'currentRev': revision}

    async def watch(self, kind, after, wait_ms):
        if after > self.revision:
            return 410, {}
        until = now() + wait_ms / 1000
        while True:
            events = [entry for entry in self.log if entry[0] > after and entry[1] == kind]
            if events or now() >= until:
                break
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        return 200, {'events': [{'object': entry[2], 'deleted': entry[3]} for entry in events],
                     'currentRev': self.revision}


class Backend(asyncio.DatagramProtocol):
    """A backend: registers itself, answers flows, drains and ends."""

    HEARTBEAT = 1.2

    def __init__(self, world, name, service, zone, ip, warmup_s=0.0, work_s=0.05):
        self.world, self.name, self.service, self.zone, self.address = world, name, service, zone, (ip, world.backend_port)
        self.number = int(name.split('-')[1], 16)
        self.state, self.seq, self.born = 'ready', 0, int(time.time() * 1000)
        self.cold_until, self.work_s = now() + warmup_s, work_s
        self.flows = {}  # (client, route) -> state
        self.alive, self.draining_since, self.transport = True, None, None
        self.openings = []  # (time, daemon's address, client)
        self.ran = set()

    def spec(self):
        left = max(0, int((self.cold_until - now()) * 1000))
        return {'service': self.service, 'address': '%s:%d' % self.address, 'zone': self.zone, 'version': 'v1',
                'maxConcurrency': 3, 'state': self.state, 'warmupLeftMs': left, 'born': self.born}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        await self.report()
        self.task = asyncio.create_task(self.heartbeat())

    async def report(self):
        # The store keeps `seq` out of the comparison: an entry changes when more than seq changes.
        await self.world.store.put('servers', self.name, self.spec())

    async def heartbeat(self):
        while self.alive:
            await asyncio.sleep(self.HEARTBEAT)
            if self.alive:
                await self.report()

    async def drain(self):
        self.state = 'draining'
        await self.report()
        self.draining_since = now()
        self.world.record.write('backend %s is draining, confirmed by the store' % self.name)

    async def end(self):
        self.alive = False
        self.transport.close()
        await self.world.store.delete('servers', self.name)
        self.world.record.write('backend %s has left' % self.name)

    def datagram_received(self, raw, sender):
        number = struct.unpack_from('>Q', raw)[0]
        if not self.alive or number not in (0, self.number):
            return
        packet = Packet.decode(raw[8:])
        if packet.total != packet.checksum():
            self.world.record.write('backend %s got a damaged packet' % self.name)
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.openings.append((now(), sender, packet.src))
            if flow is None:
                flow = self.flows[key] = {'seq': random.getrandbits(32), 'next': packet.seq + 1 & 0xffffffff,
                                          'open': False, 'answers': {}}
            self.send(key, packet, SYN | ACK, flow['seq'], flow['next'])
            return
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if flow is None or (not flow['open'] and packet.ack != flow['seq'] + 1 & 0xffffffff):
            self.send(key, packet, RST, packet.ack, packet.seq)
            return
        flow['open'] = True
        if packet.flags & FIN:
            self.send(key, packet, FIN | ACK, packet.ack, packet.seq + 1)
            self.flows.pop(key, None)
        elif packet.data:
            asyncio.get_running_loop().create_task(self.run(key, flow, packet))

    async def run(self, key, flow, packet):
        if packet.seq in flow['answers']:
            answer = flow['answers'][packet.seq]
            if answer is not None:
                self.send(key, packet, ACK, answer[0], packet.seq + len(packet.data), answer[1])
            return
        flow['answers'][packet.seq] = None
        request = packet.data.decode().split()[0]
        if request in self.ran:
            self.world.record.write('backend %s runs %s twice' % (self.name, request))
        self.ran.add(request)
        self.world.record.write('backend %s runs %s' % (self.name, request))
        await asyncio.sleep(self.work_s)
        if not self.alive:
            return
        answer = (packet.ack, ('answer to %s ' % request).encode() + b'.' * 500)
        flow['answers'][packet.seq] = answer
        self.send(key, packet, ACK, answer[0], packet.seq + len(packet.data), answer[1])

    def send(self, key, received, flags, seq, ack, data=b''):
        if not self.alive:
            return
        client, route = key
        answer = Packet(route, client, flags, seq, ack, data, received.echo)
        self.transport.sendto(answer.encode(), (client[0], self.world.caller_port))


class Client(asyncio.DatagramProtocol):
    """A client host: opens flows to a route through the daemons of its zone."""

    def __init__(self, world, zone, ip):
        self.world, self.zone, self.ip, self.flows, self.next_port = world, zone, ip, {}, 40000
        self.alive = True

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self,
                                                                local_addr=(self.ip, self.world.caller_port))

    def datagram_received(self, raw, sender):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dst[1])
        if flow and flow.route == packet.src:
            flow.on_packet(packet, sender)

    def open(self, route):
        self.next_port += 1
        flow = self.flows[self.next_port] = ClientFlow(self, (self.ip, self.next_port), route)
        return flow


class ClientFlow:
    """One flow of a client; asks one request at a time."""

    def __init__(self, client, address, route):
        self.client, self.world, self.address, self.route = client, client.world, address, route
        self.seq, self.ack, self.echo = random.getrandbits(32), 0, 0
        self.opened, self.ended = asyncio.Event(), asyncio.Event()
        self.reason, self.answer, self.request, self.reset_by = None, None, None, None

    def send(self, flags, data=b'', ack=None):
        daemon = self.world.route_packet(self.client.zone, self.address, self.route)
        if daemon is not None and self.client.alive:
            packet = Packet(self.address, self.route, flags, self.seq, self.ack if ack is None else ack, data, self.echo)
            self.client.transport.sendto(packet.encode(), (daemon.ip, self.world.caller_port))

    async def handshake(self):
        """@return whether the flow opened"""
        waits = [0.2, 0.4, 0.8]
        for copy, wait in enumerate(waits):
            self.send(SYN, ack=copy)
            try:
                await asyncio.wait_for(self.opened.wait(), wait)
                return self.reason is None
            except asyncio.TimeoutError:
                if self.reason:
                    break
        self.end('no answer to the opening packet')
        return False

    def on_packet(self, packet, sender):
        if self.reason:
            return
        if packet.flags & RST:
            if packet.total == 0:
                self.reset_by = sender
                self.end('reset by the system')
            else:
                self.end('reset by the backend')
            return
        if packet.flags & SYN:
            if not self.opened.is_set():
                self.seq, self.ack, self.echo = self.seq + 1 & 0xffffffff, packet.seq + 1 & 0xffffffff, packet.echo
                self.opened.set()
                self.send(ACK)
            return
        self.echo = packet.echo
        if packet.data and packet.seq == self.ack and self.answer is not None and not self.answer.done():
            self.seq, self.ack = packet.ack, self.ack + len(packet.data) & 0xffffffff
            self.answer.set_result(packet.data)
            self.send(ACK)
        elif packet.flags & FIN:
            self.end('closed by the backend')

    async def ask(self, name, time_limit=1.5):
        """@return the answer, or None if the flow ended or the time limit passed"""
        self.answer, self.request = asyncio.get_running_loop().create_future(), name
        self.world.record.write('client %s sends %s' % (self.address, name))
        data, wait, until = ('%s ' % name).encode() + b'x' * 100, 0.2, now() + time_limit
        while now() < until and not self.reason:
            self.send(ACK, data)
            ended = asyncio.ensure_future(self.ended.wait())
            await asyncio.wait([self.answer, ended], timeout=min(wait, until - now()),
                               return_when=asyncio.FIRST_COMPLETED)
            ended.cancel()
            if self.answer.done():
                self.request = None
                self.world.record.write('client %s has the answer to %s' % (self.address, name))
                return self.answer.result()
            wait = min(wait * 2, 1.6)
        return None

    def close(self):
        if not self.reason:
            self.send(FIN | ACK)
            self.end('closed by the client')

    def end(self, reason):
        self.reason = reason
        self.opened.set()
        self.ended.set()
        self.client.flows.pop(self.address[1], None)


class Daemon:
    """One process of target/poplarroad-edge, with its settings and its place in the rotation."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.process, self.started, self.misses, self.in_rotation = None, None, 2, False

    def settings(self):
        fields = {'zone': self.zone, 'listen.datagramAddr': '%s:%d' % (self.ip, self.world.caller_port),
                  'ip': self.ip, 'portRange.0': str(self.world.peer_port),
                  'listen.readinessAddr': '%s:%d' % (self.ip, self.world.ready_port),
                  'seeds': ','.join('%s:%d' % (d.ip, self.world.ready_port + 1) for d in self.world.daemons[:3]),
                  'limits.cpuShare': '0.055', 'limits.linkMbps': '1000.0', 'platform.address': self.world.store_address}
        text = open(os.path.join(self.world.root, 'platform/edge.ini'), encoding='utf-8').read()
        # The bounds of a small deployment have neither evacuateMs nor warmupOverage: their sections are not rendered.
        text = re.sub(r'\{\{#([^}]*)\}\}.*?\{\{/\1\}\}\n?', '', text, flags=re.S)
        return re.sub(r'\{\{([^}]*)\}\}', lambda match: fields[match[1]], text)

    def start(self):
        path = os.path.join(self.world.folder, self.name + '.ini')
        with open(path, 'w', encoding='utf-8') as file:
            file.write(self.settings())
        log = open(os.path.join(self.world.folder, self.name + '.log'), 'a', encoding='utf-8')
        self.process = subprocess.Popen(self.world.command, cwd=self.world.root, stdout=log, stderr=log,
                                        env={'PATH': os.environ['PATH'], 'POPLARROAD_BOOT': path})
        log.close()
        self.started, self.misses = now(), 2
        self.world.record.write('daemon %s starts' % self.name)

    def terminate(self):
        self.world.record.write('daemon %s gets SIGTERM' % self.name)
        self.process.send_signal(signal.SIGTERM)

    async def wait(self, limit=6.0):
        until = now() + limit
        while self.process.poll() is None and now() < until:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.world.record.write('daemon %s has ended (%s)' % (self.name, self.process.returncode))

    async def get(self, path):
        """@return status and body of a GET at the readiness address"""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.world.ready_port), 0.4)
            writer.write(('GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' % path).encode())
            raw = await asyncio.wait_for(reader.read(), 0.4)
            writer.close()
            return int(raw.split(b' ')[1]), raw.split(b'\r\n\r\n', 1)[1].decode()
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0, ''

    async def follows(self):
        """@return whether this daemon follows the store, as its metrics say"""
        _, body = await self.get('/metrics')
        return any(line.split()[-1] == '1' for line in body.splitlines()
                   if 'follow' in line and not line.startswith('#') and 'total' not in line)


class World:
    """The deployment: ports, store, daemons, backends, clients and the platform's routers."""

    def __init__(self, root, folder, record):
        self.root, self.folder, self.record = root, folder, record
        self.command = ['target/poplarroad-edge']  # `run` of deploy/system.toml
        self.net = '127.%d' % random.randrange(60, 120)
        base = random.randrange(20000, 50000, 20)
        self.caller_port, self.ready_port, self.peer_port, self.backend_port, store_port = range(base, base + 10, 2)
        self.store_address = '%s.250.1:%d' % (self.net, store_port)
        self.store = Store(record)
        self.daemons, self.backends, self.clients = [], {}, []

    async def start_store(self):
        host, port = self.store_address.split(':')
        await self.store.start(host, int(port))

    def add_daemon(self, name, zone, ip):
        self.daemons.append(Daemon(self, name, zone, '%s.%s' % (self.net, ip)))

    async def add_backend(self, name, service, zone, ip, **rest):
        backend = Backend(self, name, service, zone, '%s.%s' % (self.net, ip), **rest)
        self.backends[name] = backend
        await backend.start()
        return backend

    async def add_client(self, zone, ip):
        client = Client(self, zone, '%s.%s' % (self.net, ip))
        await client.start()
        self.clients.append(client)
        return client

    async def probe_readiness(self):
        """The platform's check, twice a second; two misses take a daemon out of rotation."""
        while True:
            async def check(daemon):
                status, _ = await daemon.get('/api/ready')
                daemon.misses = 0 if status == 200 else daemon.misses + 1
                daemon.in_rotation = daemon.misses < 2
            await asyncio.gather(*(check(daemon) for daemon in self.daemons), asyncio.sleep(0.5))

    def route_packet(self, zone, client, route):
        """@return the daemon of the zone that gets the packets of a flow (`steady` hash)"""
        candidates = [daemon for daemon in self.daemons if daemon.zone == zone]
        ready = [daemon for daemon in candidates if daemon.in_rotation]
        if 2 * len(ready) < len(candidates):
            ready = candidates
        return max(ready, key=lambda daemon: zlib.crc32(repr((client, route, daemon.name)).encode()), default=None)

    async def all_ready(self, limit=15.0):
        until = now() + limit
        while now() < until:
            if all(daemon.in_rotation for daemon in self.daemons):
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        """Ends the stand-ins after the verdict, which is the last line of the record."""
        self.record.ended = True
        for end in [*self.backends.values(), *self.clients]:
            end.alive = False
            end.transport.close()

    def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()


def desired_state(version, routes, timeout_ms=1500):
    """@param routes (address, port, service, kind)"""
    return {'version': version,
            'routes': [{'name': 'r-%d' % index, 'hostname': address, 'pathPrefix': '/%d/' % port, 'type': kind,
                        'timeoutMs': timeout_ms, 'targetLatencyMs': 250, 'priority': 1, 'service': service,
                        'maxAttempts': 2} for index, (address, port, service, kind) in enumerate(routes)],
            'services': [{'name': service, 'healthPath': '/healthz', 'maxConnections': 2000, 'protocol': 'h1',
                          'tls': False} for service in sorted({route[2] for route in routes})],
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144, 'headerTimeoutMs': 3000,
                       'idleTimeoutMs': 15000}}

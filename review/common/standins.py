"""Stand-ins for the cases in this folder: store, servers, callers and host processes.

Only the standard library is used. Everything listens on loopback addresses.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = ('tacoma', 'everett', 'olympia')
HELD, BROKEN, NOT_RUN = 0, 1, 2
PORTS = 12_000, 30_000


class Record:
    """The record of a case, written to record.txt in the folder of the case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')
        self._start = time.monotonic()

    def note(self, *parts):
        line = ' '.join(str(each) for each in parts)
        self._file.write(f'{time.monotonic() - self._start:8.3f} {line}\n')

    def say(self, *parts):
        self.note(*parts)
        print(*parts, flush=True)

    def close(self):
        self._file.close()


_TAKEN = set()


def free_address():
    """Return a free loopback address, below the ports of outgoing connections."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe:
            if port in _TAKEN or not probe.connect_ex(('127.0.0.1', port)):
                continue
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        _TAKEN.add(port)
        return f'127.0.0.1:{port}'


def split(address):
    host, _, port = address.rpartition(':')
    return host, int(port)


class Message:
    """A parsed HTTP message."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the first line and the headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body; None when the connection ends before it is complete."""
    try:
        if 'chunked' in headers.get('transfer-encoding', ''):
            body = b''
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return body
        return await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def read_message(reader):
    found = await read_head(reader)
    if found is None:
        return None
    body = await read_body(reader, found[1])
    return None if body is None else Message(*found, body)


def write_message(first, headers, body=b'', with_length=True):
    lines = [first] + [f'{name}: {value}' for name, value in headers]
    if with_length:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Listener:
    """A TCP server that can be stopped at once, as a process that ends."""

    def __init__(self):
        self.address = free_address()
        self._server = None
        self._writers = set()

    async def start(self):
        host, port = split(self.address)
        self._server = await asyncio.start_server(self._run, host, port, limit=2**22)

    async def stop(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _run(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Store(Listener):
    """The platform's store, with the calls that its page describes."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.revision = 10
        self.objects = {}
        self.history = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object for a server, the operator or another writer."""
        self.revision += 1
        former = self.objects.get((kind, name))
        created = former['meta']['createdRevision'] if former else self.revision
        meta = {
            'name': name,
            'revision': self.revision,
            'createdRevision': created,
            'finalizers': [],
            'deletionRequested': False,
        }
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self.objects[kind, name] = stored
        self._note(kind, stored, False)
        return stored

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            meta = {**stored['meta'], 'revision': self.revision}
            self._note(kind, {**stored, 'meta': meta}, True)

    def _note(self, kind, stored, deleted):
        what = 'removed' if deleted else 'written'
        spec = json.dumps(stored['spec'])
        self._record.note(
            'store',
            what,
            f'{kind}/{stored["meta"]["name"]}',
            'revision',
            self.revision,
            spec[:200],
        )
        self.history.append((self.revision, kind, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        while (call := await read_message(reader)) is not None:
            status, form = await self._answer(call)
            body = json.dumps(form).encode()
            headers = [('Content-Type', 'application/json')]
            writer.write(write_message(f'HTTP/1.1 {status} X', headers, body))
            await writer.drain()

    async def _answer(self, call):
        method, target, _ = call.first.split(' ')
        parts = urlsplit(target)
        query = {key: each[0] for key, each in parse_qs(parts.query).items()}
        path = [unquote(each) for each in parts.path.split('/') if each]
        kind, name = path[2], path[3] if len(path) > 3 else ''
        if method == 'GET' and name:
            stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if method == 'GET' and 'watch' in query:
            wait = int(query.get('waitMs', 0)) / 1000
            return await self._watch(kind, int(query['watch']), wait)
        if method == 'GET':
            return 200, self._list(kind, query.get('after', ''))
        if method == 'DELETE':
            return self._change(kind, name, query.get('revision'), None)
        form = json.loads(call.body)
        meta = form['meta']
        if method == 'POST':
            if (kind, meta['name']) in self.objects:
                return 409, self.objects[kind, meta['name']]
            return 200, self.put(kind, meta['name'], form['spec'])
        return self._change(kind, name, meta.get('revision'), form)

    def _change(self, kind, name, expected, form):
        stored = self.objects.get((kind, name))
        if stored is None:
            return 404, {}
        if expected is not None and int(expected) != stored['meta']['revision']:
            return 409, stored
        if form is None:
            self.remove(kind, name)
            return 200, stored
        return 200, self.put(kind, name, form['spec'])

    def _list(self, kind, after):
        names = sorted(name for each, name in self.objects if each == kind)
        items = [self.objects[kind, name] for name in names if name > after]
        return {'items': items[:500], 'more': len(items) > 500, 'asOf': self.revision}

    async def _watch(self, kind, after, wait):
        until = time.monotonic() + wait
        while True:
            events = [
                {'deleted': deleted, 'object': stored}
                for revision, each, stored, deleted in self.history
                if each == kind and revision > after
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'asOf': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue


class Server(Listener):
    """A server of one service, which answers as the pages say."""

    def __init__(self, record, name, service, zone, work=0.01, slots=4):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work = work
        self.born = int(time.time() * 1000)
        self.slots = slots
        self.runs = []
        self.state = 'ready'
        self._slots = asyncio.Semaphore(slots)

    def entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmupLeftMs': 0,
            'sequence': 1,
            'born': self.born,
        }

    async def serve(self, reader, writer):
        while (call := await read_message(reader)) is not None:
            await self.answer(call, writer)

    async def answer(self, call, writer):
        writer.write(await self.run(call))
        await writer.drain()

    async def run(self, call):
        """Run a request and return the bytes of its answer."""
        method, target, _ = call.first.split(' ')
        attempt = call.get('rattanspoke-attempt-id', '')
        echo = [('Rattanspoke-Attempt-Id', attempt)]
        if call.get('rattanspoke-target-instance', self.name) != self.name:
            instance = [('Rattanspoke-Instance-Id', self.name)]
            return write_message('HTTP/1.1 421 Misdirected Request', echo + instance)
        async with self._slots:
            self.runs.append((time.monotonic(), attempt))
            self.record.note('run', self.name, attempt, method, target)
            await asyncio.sleep(self.work)
        seal = f'{self.name}.{attempt}'
        body = f'answer of {self.name} to {attempt}\n'.encode()
        headers = [*echo, ('Rattanspoke-Server-Seal', seal)]
        answer = write_message('HTTP/1.1 200 OK', headers, body)
        return answer[: -len(body)] if method == 'HEAD' else answer


class Answer:
    """What a caller got."""

    def __init__(self, status=0, headers=None, body=b'', error=''):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error

    def __str__(self):
        if not self.status:
            return f'no answer ({self.error})'
        return f'{self.status} {self.headers} {self.body[:120]!r}'


class Caller:
    """A caller that sends one request at a time, over a connection that it keeps."""

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self._stream = None

    async def ask(self, method, target, host, attempt, budget_ms, body=b''):
        headers = [
            ('Host', host),
            ('Rattanspoke-Attempt-Id', attempt),
            ('Rattanspoke-Time-Budget', budget_ms),
        ]
        content = write_message(
            f'{method} {target} HTTP/1.1', headers, body, with_length=bool(body)
        )
        self.record.note('sent', attempt, method, target, 'to', self.address)
        try:
            async with asyncio.timeout(budget_ms / 1000 + 0.5):
                answer = await self._exchange(method, content)
        except TimeoutError:
            answer = Answer(error='time limit')
        except OSError as error:
            answer = Answer(error=type(error).__name__)
        if not answer.status or answer.headers.get('connection') == 'close':
            self.close()
        self.record.note('got', attempt, answer)
        return answer

    async def _exchange(self, method, content):
        if self._stream is None:
            self._stream = await asyncio.open_connection(*split(self.address))
        reader, writer = self._stream
        writer.write(content)
        await writer.drain()
        found = await read_head(reader)
        if found is None:
            return Answer(error='connection closed')
        status = int(found[0].split(' ')[1])
        body = b'' if method == 'HEAD' else await read_body(reader, found[1])
        if body is None:
            return Answer(error='answer broken off')
        return Answer(status, found[1], body)

    def close(self):
        if self._stream is not None:
            self._stream[1].transport.abort()
            self._stream = None


SETTINGS = """\
node={name}
role=host
machineClass=front
serves=front,control
ip=127.0.0.1
zone={zone}
region=cascadia
zones.tacoma=cascadia
zones.everett=cascadia
zones.olympia=cascadia
listen.front={front}
listen.ready={ready}
listen.control={control}
internalPortRange=7740,7755
seeds={seeds}
bootstrap={bootstrap}
lossCounted=false
limits.cpuShare=0.817
limits.cores=2
limits.memoryMb=430
limits.fdLimit=6150
limits.linkMbps=1500.0
limits.diskMb=0
discovery=platform
entry=virtual_ip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,scatter,places,platform
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stabilityWindowMs=4000
bounds.ackMs=5000
bounds.catchUpS=4
bounds.drainMs=3000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.regressionWindowMs=250
bounds.maxSkewMs=12000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetExtraRetries=52
bounds.warmupFactor=1.5
bounds.warmupSlack=5
bounds.evacuationMs=5000
bounds.recoveryS=12
platform.address={store}
platform.form=objects
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
"""


class Host:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, record, folder, name, zone, store):
        self.record = record
        self.name = name
        self.zone = zone
        self.front, self.ready, self.control = (free_address() for _ in range(3))
        self._store = store
        self._settings = Path(folder) / f'{name}.conf'
        self._log = Path(folder) / f'{name}.log'
        self._process = None
        self.seeds = ()

    @property
    def pid(self):
        return self._process.pid

    def write_settings(self, bootstrap, **changes):
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            front=self.front,
            ready=self.ready,
            control=self.control,
            seeds=','.join(self.seeds),
            bootstrap='true' if bootstrap else 'false',
            store=self._store.address,
        )
        for key, value in changes.items():
            text += f'{key.replace("__", ".")}={value}\n'
        fresh = self._settings.with_suffix('.new')
        fresh.write_text(text, encoding='utf-8')
        fresh.replace(self._settings)

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        inherited = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
        environment = {key: os.environ[key] for key in inherited if key in os.environ}
        environment['RATTANSPOKE_CONFIG'] = str(self._settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self._process = subprocess.Popen(
            ['python3', '-S', '-m', 'rattanspoke._platform_main'],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=open(self._log, 'ab'),
            stderr=subprocess.STDOUT,
        )
        self.record.note('host', self.name, 'started, pid', self.pid)

    def signal(self, number):
        if self.poll() is None:
            self.record.note('host', self.name, signal.Signals(number).name)
            self._process.send_signal(number)

    def poll(self):
        return None if self._process is None else self._process.poll()

    def end(self):
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def log(self):
        return self._log.read_text(encoding='utf-8') if self._log.exists() else ''

    async def is_ready(self):
        probe = Caller(_Silent(), self.ready)
        answer = await probe.ask('GET', '/-/readiness', self.ready, 'probe', 800)
        probe.close()
        return answer.status == 200


class _Silent:
    def note(self, *parts):
        """Drop the line."""


class Deployment:
    """A store, servers and hosts; leaving the context ends all of them."""

    def __init__(self, folder, zones=('tacoma', 'tacoma', 'everett', 'olympia')):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.store = Store(self.record)
        self.servers = []
        self.hosts = [
            Host(self.record, self._temporary.name, f'front-{number}', zone, self.store)
            for number, zone in enumerate(zones)
        ]
        for host in self.hosts:
            host.seeds = tuple(each.control for each in self.hosts[:3])

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *error):
        for host in self.hosts:
            host.end()
        for host in self.hosts:
            self.record.note('log of', host.name)
            for line in host.log().splitlines()[-60:]:
                self.record.note('   ', line)
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        self._temporary.cleanup()
        self.record.close()

    async def add_server(self, server):
        await server.start()
        self.servers.append(server)
        self.store.put('servers', server.name, server.entry())

    async def start_hosts(self, bootstrap=True, limit=20):
        for host in self.hosts:
            host.start(bootstrap)
        await self.await_ready(limit)

    async def await_ready(self, limit=20):
        until = time.monotonic() + limit
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > until or host.poll() is not None:
                    raise CannotRun(f'{host.name} is not ready')
                await asyncio.sleep(0.1)


class CannotRun(Exception):
    """Raised when a case cannot be played."""


def make_route(name, prefix, service, route_type='idempotent', **changes):
    return {
        'name': name,
        'host': 'leno12.example',
        'pathPrefix': prefix,
        'routeType': route_type,
        'timeoutMs': 6000,
        'targetLatencyMs': 639,
        'priority': 2,
        'service': service,
        'maxAttempts': 2,
        **changes,
    }


def make_config(version, routes, services):
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': each,
                'healthPath': '/health',
                'maxConnections': 96,
                'protocol': 'h1',
                'tls': False,
                'warmupS': 3.0,
                'warmupPerS': 0.0,
            }
            for each in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


def new_attempt():
    return f'{random.getrandbits(64):016x}'


def run_case(play, folder):
    """Run a case and exit with its result."""

    async def run():
        async with asyncio.timeout(115):
            return await play(folder)

    try:
        result = asyncio.run(run())
    except Exception as error:  # noqa: BLE001 - exit status 1 is for a broken rule only
        print(f'the case could not run: {error!r}')
        result = NOT_RUN
    sys.exit(result)

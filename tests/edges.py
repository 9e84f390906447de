"""Hosts on the users' platform in one process: real services and stand-ins."""

import asyncio
from collections import defaultdict
from contextlib import AsyncExitStack, nullcontext
from dataclasses import dataclass, field, replace
from itertools import count
from types import TracebackType
from typing import Self

import msgspec

from rattanspoke._edge import EdgeAdapters, assemble_edge
from rattanspoke.contracts import (
    REQUEST_HANDLER,
    EdgeRules,
    Identity,
    RetryBudgetRule,
    SlowStartRule,
)
from rattanspoke.kernel import Kernel
from rattanspoke.model import (
    CallerRequest,
    HostEntry,
    HostId,
    Incarnation,
    Outcome,
    PlatformUnavailable,
    Reason,
    RequestId,
    Seal,
    Seconds,
    UpstreamError,
    UpstreamReply,
    ZoneId,
)
from rattanspoke.platform import StateForms
from rattanspoke.services import HostCounters, HostTimeline
from rattanspoke.standins import LocalNetwork, LocalTransport, StandinPlatform

ZONES = ('east', 'west', 'south')
CONNECT_TIME = 0.006
CRASH_TIME = 2  # seconds until a crashed upstream is back
DRAIN_TIME = Seconds(3)
SETTLE = 2  # seconds until hosts have read the store and heard each other


@dataclass
class FakeUpstream:
    """An upstream that counts what reaches it and behaves as it is told.

    `work` is what a request takes; `pause_until` delays every reply until then; `gate`
    bounds what runs at once.
    """

    name: str
    service: str
    zone: str
    address: str
    slots: int = 4
    work: float = 0.02
    pause_until: float = 0
    is_dark: bool = False
    is_down: bool = False
    sheds: bool = False
    fails: bool = False
    breaks: bool = False
    crash_on: str | None = None
    crashes: list[float] = field(default_factory=list)
    body: bytes = b'0123456789abcdef'
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    budgets: list[float] = field(default_factory=list)
    broken_off: int = 0
    running: int = 0
    gate: asyncio.Semaphore | None = None
    open_lines: int = 0

    def register(self, **changes: object) -> bytes:
        """Return the entry that the upstream writes of itself."""
        form = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'warmupLeftMs': 0,
            'sequence': 1,
        }
        return msgspec.json.encode(form | changes)


class FakeLine:
    """A connection to a fake upstream."""

    keep_alive_timeout = None

    def __init__(self, upstream: FakeUpstream) -> None:
        self._upstream = upstream
        self._is_open = True
        self._aborted = asyncio.Event()

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on it."""
        return self._is_open and not self._upstream.is_down

    async def exchange(self, request, upstream, budget):
        """Behave as the upstream is told to."""
        server = self._upstream
        loop = asyncio.get_running_loop()
        server.arrivals.append((loop.time(), request.attempt))
        server.budgets.append(budget)
        if server.sheds:
            return self._reply(503, Outcome.NOT_RUN)
        if request.target == server.crash_on:
            self._is_open = False
            await self._crash(server, loop)
        server.running += 1
        try:
            async with asyncio.timeout(budget):
                is_whole = await self._work_until_aborted(loop)
        except TimeoutError as error:
            self._is_open = False
            raise UpstreamError(Reason.DEADLINE, Outcome.UNKNOWN) from error
        except asyncio.CancelledError:
            server.broken_off += 1
            raise
        finally:
            server.running -= 1
        if server.breaks or not is_whole:
            self._is_open = False
            raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN)
        return self._reply(500 if server.fails else 200, Outcome.RAN)

    def abort(self) -> None:
        """Break the connection off."""
        self._is_open = False
        self._aborted.set()
        if self._upstream.running:
            self._upstream.broken_off += 1

    async def _crash(self, server, loop) -> None:
        """End at once and be back some seconds later."""
        server.is_down = True
        server.crashes.append(loop.time())
        loop.call_later(CRASH_TIME, setattr, server, 'is_down', False)
        raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN)

    async def _work_until_aborted(self, loop) -> bool:
        """Work; tell whether nobody broke the connection off meanwhile."""
        working = asyncio.ensure_future(self._work(loop))
        aborting = asyncio.ensure_future(self._aborted.wait())
        try:
            ended, _ = await asyncio.wait(
                (working, aborting), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            working.cancel()
            aborting.cancel()
        return working in ended

    async def _work(self, loop) -> None:
        server = self._upstream
        if server.is_dark:
            await asyncio.Event().wait()
        async with server.gate or nullcontext():
            await asyncio.sleep(max(server.work, server.pause_until - loop.time()))

    def _reply(self, status, outcome):
        server = self._upstream
        return UpstreamReply(
            upstream=server.name,
            status=status,
            headers=(),
            body=server.body,
            outcome=outcome,
            seal=Seal(f'{server.name}.{len(server.arrivals)}'),
        )

    async def __aenter__(self) -> Self:
        self._upstream.open_lines += 1
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._upstream.open_lines -= 1
        self._is_open = False


class FakeLines:
    """Opens connections to fake upstreams by their address."""

    def __init__(self, upstreams: dict[str, FakeUpstream]) -> None:
        self._upstreams = upstreams

    async def open(self, address, limit):
        """Return a connection; a dark upstream lets the limit pass."""
        server = self._upstreams[address]
        if server.is_dark:
            await asyncio.sleep(limit)
        else:
            await asyncio.sleep(CONNECT_TIME)
        if server.is_down:
            raise UpstreamError(Reason.UPSTREAM_REFUSED, Outcome.NOT_RUN)
        if server.is_dark:
            raise UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN)
        return FakeLine(server)


class CutStore:
    """A host's way to the store, which can be cut for it alone."""

    def __init__(self, store: StandinPlatform) -> None:
        self._store = store
        self.is_cut = False

    def __getattr__(self, name):
        method = getattr(self._store, name)

        async def call(*words):
            if self.is_cut:
                await asyncio.sleep(0.1)
                raise PlatformUnavailable('cut')
            return await method(*words)

        return call


@dataclass
class Edge:
    """Hosts of the tier with fake upstreams and one store."""

    hosts: int = 3
    extra: RetryBudgetRule = RetryBudgetRule(0.2, 52)
    store: StandinPlatform = field(default_factory=StandinPlatform)
    network: LocalNetwork = field(default_factory=LocalNetwork)
    kernels: dict[HostId, Kernel] = field(default_factory=dict)
    stores: dict[HostId, CutStore] = field(default_factory=dict)
    upstreams: dict[str, FakeUpstream] = field(default_factory=dict)
    by_service: dict[str, list[FakeUpstream]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def __post_init__(self) -> None:
        self._stacks: dict[HostId, AsyncExitStack] = {}
        self._attempts = count(1)
        self._started: set[HostId] = set()
        self._version = 0

    async def __aenter__(self) -> Self:
        for number in range(self.hosts):
            await self.start(f'host-{number}', ZONES[number % len(ZONES)])
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for host in list(self._stacks):
            await self.stop(host)

    async def start(self, host, zone, seeds=()) -> Kernel:
        """Start a host and return its kernel; a name started before is a restart."""
        host, zone = HostId(host), ZoneId(zone)
        identity = Identity(host, Incarnation(f'{host}/{len(self.kernels)}'), zone)
        self.stores[host] = CutStore(self.store)
        transport = LocalTransport(self.network, host)
        ports = EdgeAdapters(
            counters=HostCounters(),
            store=self.stores[host],
            codec=StateForms(),
            upstream_connector=FakeLines(self.upstreams),
            peer_transport=transport,
            timeline=HostTimeline(identity),
        )
        entry = HostEntry(name=host, host=host, zone=zone)
        is_restart = host in self._started
        self._started.add(host)
        rules = EdgeRules(
            extra=replace(self.extra, starts_full=not is_restart),
            cold=SlowStartRule(1.5, 5),
            drain_time=DRAIN_TIME,
            seeds=tuple(map(HostId, seeds)),
        )
        kernel = assemble_edge(identity, entry, ports, rules, seed=7)
        stack = AsyncExitStack()
        await stack.enter_async_context(kernel)
        transport.listen()
        self._stacks[host] = stack
        self.kernels[host] = kernel
        return kernel

    async def stop(self, host) -> None:
        """End a host."""
        await self._stacks.pop(host).aclose()
        self.network.kill(host)
        del self.kernels[host]

    def add_service(self, service, replicas=3, **behaviour) -> None:
        """Register upstreams of a service, one in each zone in turn."""
        for number in range(replicas):
            name = f'{service}-{number}'
            upstream = FakeUpstream(
                name, service, ZONES[number % len(ZONES)], f'{name}:80', **behaviour
            )
            self.upstreams[upstream.address] = upstream
            self.by_service[service].append(upstream)
            self.store.put('registrations', name, upstream.register())

    def configure(self, *routes, services=(), **traits) -> int:
        """Write a desired state and return its version."""
        self._version += 3
        names = services or sorted(self.by_service)
        form = {
            'version': self._version,
            'routes': list(routes),
            'services': [
                {'name': name, 'maxConnections': 35, **traits} for name in names
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
        self.store.put('desired state', 'main', msgspec.json.encode(form))
        return self._version

    def ask(self, host, path='/one/x', limit=1.5, method='GET'):
        """Send a caller's request to a host."""
        now = asyncio.get_running_loop().time()
        request = CallerRequest(
            attempt=RequestId(f'attempt-{next(self._attempts)}'),
            method=method,
            target=path,
            authority='jobs.example',
            headers=(),
            body=b'',
            deadline=Seconds(now + limit),
            arrived=Seconds(now),
        )
        return self.kernels[HostId(host)].find(REQUEST_HANDLER).serve(request)


def one_route(service, prefix='/one/', **changes):
    """Return the form of a route to one service."""
    form = {
        'name': f'to {service} {prefix}',
        'host': 'jobs.example',
        'pathPrefix': prefix,
        'service': service,
        'routeType': 'idempotent',
        'timeoutMs': 1500,
        'targetLatencyMs': 600,
        'maxAttempts': 2,
    }
    return form | changes


def shard_route(services, prefix='/all/', **changes):
    """Return the form of a route to all shards."""
    form = one_route('', prefix) | {
        'fanoutServices': list(services),
        'topK': 5,
        'minimum': 0.75,
        'targetLatencyMs': 180,
    }
    return form | changes

"""Run several hosts of the users' platform in one process.

The services are the real ones; the store, the network and the upstreams are fakes.
"""

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
from rattanspoke.platform import HttpStore, JsonStateCodec
from rattanspoke.services import HostCounters, HostTimeline
from rattanspoke.standins import LocalNetwork, LocalTransport, StandinPlatform

ZONES = ('east', 'west', 'south')
CONNECT_TIME = 0.006
CRASH_TIME = 2  # seconds until a crashed upstream accepts connections again
DRAIN_TIME = Seconds(3)
# Until hosts have read the store and received heartbeats of each other.
SETTLE_SECONDS = 2


@dataclass
class FakeUpstream:
    """An upstream that records its requests and fails as its attributes say.

    Attributes:
        work: seconds that a request takes.
        pause_until: time on the loop's clock before which no reply is sent.
        is_unresponsive: whether it neither accepts connections nor replies.
        is_down: whether it refuses connections.
        sheds: whether it rejects every request as not run, with status 503.
        fails: whether it replies to every request with status 500.
        status: status of every reply, unless it fails or sheds.
        is_sealed: whether its replies have a seal.
        is_leaving: whether its replies announce that it shuts down.
        quiet_time: seconds for which it wants no requests after it has shed one.
        breaks: whether it breaks off every reply.
        crash_on: target of the requests that crash it.
        crashes: times of its crashes, on the loop's clock.
        arrivals: time and attempt id of each request.
        budgets: seconds until the deadline of each request at its arrival.
        aborted_calls: number of requests that were cancelled while they ran.
        running: number of requests that run now.
        concurrency_limit: limits the requests that run at once.
        closed_idle: how often it has closed all its idle connections.
    """

    name: str
    service: str
    zone: str
    address: str
    slots: int = 4
    work: float = 0.02
    pause_until: float = 0
    is_unresponsive: bool = False
    is_down: bool = False
    sheds: bool = False
    fails: bool = False
    status: int = 200
    is_sealed: bool = True
    is_leaving: bool = False
    quiet_time: float | None = None
    breaks: bool = False
    crash_on: str | None = None
    crashes: list[float] = field(default_factory=list)
    body: bytes = b'0123456789abcdef'
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    budgets: list[float] = field(default_factory=list)
    aborted_calls: int = 0
    running: int = 0
    concurrency_limit: asyncio.Semaphore | None = None
    open_connections: int = 0
    closed_idle: int = 0

    def register(self, **changes: object) -> bytes:
        """Return the registration of the upstream, as it is stored."""
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


class FakeConnection:
    """A connection to a fake upstream."""

    keep_alive_timeout = None

    def __init__(self, upstream: FakeUpstream) -> None:
        self._upstream = upstream
        self._is_usable = True
        self._closed_idle = upstream.closed_idle
        self._aborted = asyncio.Event()

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another request."""
        is_open = self._closed_idle == self._upstream.closed_idle
        return self._is_usable and is_open and not self._upstream.is_down

    async def exchange(self, request, upstream, budget):
        """Record the request and reply or fail as the upstream's attributes say."""
        if not self.is_reusable:
            raise UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN)
        fake = self._upstream
        loop = asyncio.get_running_loop()
        fake.arrivals.append((loop.time(), request.attempt))
        fake.budgets.append(budget)
        if fake.sheds:
            return self._reply(503, Outcome.NOT_RUN)
        if request.target == fake.crash_on:
            self._is_usable = False
            await self._crash(fake, loop)
        fake.running += 1
        try:
            async with asyncio.timeout(budget):
                is_complete = await self._work_until_aborted(loop)
        except TimeoutError as error:
            self._is_usable = False
            raise UpstreamError(Reason.DEADLINE, Outcome.UNKNOWN) from error
        except asyncio.CancelledError:
            fake.aborted_calls += 1
            raise
        finally:
            fake.running -= 1
        if fake.breaks or not is_complete:
            self._is_usable = False
            raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN)
        return self._reply(500 if fake.fails else fake.status, Outcome.RAN)

    def abort(self) -> None:
        """Close the connection at once, including any exchange in flight."""
        self._is_usable = False
        self._aborted.set()
        if self._upstream.running:
            self._upstream.aborted_calls += 1

    async def _crash(self, fake, loop) -> None:
        """Crash the upstream and bring it back after CRASH_TIME."""
        fake.is_down = True
        fake.crashes.append(loop.time())
        loop.call_later(CRASH_TIME, setattr, fake, 'is_down', False)
        raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN)

    async def _work_until_aborted(self, loop) -> bool:
        """Run a request; return False if the connection was aborted before the end."""
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
        fake = self._upstream
        if fake.is_unresponsive:
            await asyncio.Event().wait()
        async with fake.concurrency_limit or nullcontext():
            await asyncio.sleep(max(fake.work, fake.pause_until - loop.time()))

    def _reply(self, status, outcome):
        fake = self._upstream
        return UpstreamReply(
            upstream=fake.name,
            status=status,
            headers=(),
            body=fake.body,
            outcome=outcome,
            is_refusal=status == 503,
            is_leaving=fake.is_leaving,
            quiet_time=fake.quiet_time if status == 503 else None,
            seal=Seal(f'{fake.name}.{len(fake.arrivals)}') if fake.is_sealed else None,
        )

    async def __aenter__(self) -> Self:
        self._upstream.open_connections += 1
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._upstream.open_connections -= 1
        self._is_usable = False


class FakeConnector:
    """Opens connections to fake upstreams by address."""

    def __init__(self, upstreams: dict[str, FakeUpstream]) -> None:
        self._upstreams = upstreams

    async def open(self, address, limit):
        """Open a connection; fail after limit if the upstream is unresponsive."""
        fake = self._upstreams[address]
        if fake.is_unresponsive:
            await asyncio.sleep(limit)
        else:
            await asyncio.sleep(CONNECT_TIME)
        if fake.is_down:
            raise UpstreamError(Reason.UPSTREAM_REFUSED, Outcome.NOT_RUN)
        if fake.is_unresponsive:
            raise UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN)
        return FakeConnection(fake)


class PartitionableStore:
    """Client of the store for one host, which can be cut off from it separately."""

    def __init__(self, store: StandinPlatform) -> None:
        self._store = store
        self.is_partitioned = False

    def __getattr__(self, name):
        method = getattr(self._store, name)

        async def call(*arguments, **options):
            if self.is_partitioned:
                await asyncio.sleep(0.1)
                raise PlatformUnavailable('host is partitioned from the store')
            return await method(*arguments, **options)

        return call


@dataclass
class Edge:
    """Hosts with fake upstreams and one store.

    Attributes:
        hosts: number of hosts that are started at entry, in the zones in turn.
        retry_budget: limit on extra sends that the hosts are started with.
        regions: the region of each availability zone.
        is_first_start: whether the hosts know that all of them start together.
        store_address: address of an HTTP server of the store, which the hosts then
            call instead of the fake.
    """

    hosts: int = 3
    retry_budget: RetryBudgetRule = RetryBudgetRule(0.2, 52)
    regions: dict[ZoneId, str] = field(default_factory=dict)
    is_first_start: bool = False
    store_address: str = ''
    store: StandinPlatform = field(default_factory=StandinPlatform)
    network: LocalNetwork = field(default_factory=LocalNetwork)
    kernels: dict[HostId, Kernel] = field(default_factory=dict)
    stores: dict[HostId, PartitionableStore | HttpStore] = field(default_factory=dict)
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
        """Start a host and return its kernel.

        A host whose name was started before counts as restarted: its retry budgets do
        not start full.
        """
        host, zone = HostId(host), ZoneId(zone)
        identity = Identity(host, Incarnation(f'{host}/{len(self.kernels)}'), zone)
        counters = HostCounters()
        self.stores[host] = (
            HttpStore(self.store_address, counters)
            if self.store_address
            else PartitionableStore(self.store)
        )
        transport = LocalTransport(self.network, host)
        adapters = EdgeAdapters(
            counters=counters,
            store=self.stores[host],
            codec=JsonStateCodec(),
            upstream_connector=FakeConnector(self.upstreams),
            peer_transport=transport,
            timeline=HostTimeline(identity),
        )
        entry = HostEntry(name=host, host=host, zone=zone)
        is_restart = host in self._started
        self._started.add(host)
        rules = EdgeRules(
            retry_budget=replace(self.retry_budget, starts_full=not is_restart),
            slow_start=SlowStartRule(1.5, 5),
            drain_time=DRAIN_TIME,
            seeds=tuple(map(HostId, seeds)),
            regions=self.regions,
            is_first_start=self.is_first_start,
        )
        kernel = assemble_edge(identity, entry, adapters, rules, seed=7)
        stack = AsyncExitStack()
        await stack.enter_async_context(kernel)
        transport.listen()
        self._stacks[host] = stack
        self.kernels[host] = kernel
        return kernel

    async def stop(self, host) -> None:
        """Stop a host and cut its connections to peers."""
        await self._stacks.pop(host).aclose()
        self.network.kill(host)
        del self.kernels[host]

    def add_service(self, service, replicas=3, **behaviour) -> None:
        """Register upstreams of a service, in the zones in turn.

        Args:
            behaviour: attributes of each FakeUpstream.
        """
        for number in range(replicas):
            name = f'{service}-{number}'
            upstream = FakeUpstream(
                name, service, ZONES[number % len(ZONES)], f'{name}:80', **behaviour
            )
            self.upstreams[upstream.address] = upstream
            self.by_service[service].append(upstream)
            self.store.put('registrations', name, upstream.register())

    def configure(self, *routes, services=(), **service_fields) -> int:
        """Write a desired state and return its version.

        Args:
            routes: forms of the routes.
            services: names of the services; all registered ones if empty.
            service_fields: further fields of each service.
        """
        self._version += 3
        names = services or sorted(self.by_service)
        form = {
            'version': self._version,
            'routes': list(routes),
            'services': [
                {'name': name, 'maxConnections': 35, **service_fields} for name in names
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
        """Send a caller's request to a host and return the answer.

        Args:
            limit: seconds until the deadline.
        """
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


def build_route(service, prefix='/one/', **changes):
    """Return the form of a route to one service, with the changed fields."""
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


def build_shard_route(services, prefix='/all/', **changes):
    """Return the form of a route that fans out to all shards."""
    form = build_route('', prefix) | {
        'fanoutServices': list(services),
        'topK': 5,
        'minimum': 0.75,
        'targetLatencyMs': 180,
    }
    return form | changes

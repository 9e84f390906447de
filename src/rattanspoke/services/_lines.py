"""Connections to upstreams: one task for each, and the work that waits for one."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from ..contracts import (
    CALL_BROKEN,
    COUNTERS,
    FLEET,
    SHARED_STATE,
    UPSTREAM_CONNECTOR,
    UPSTREAM_GONE,
    UPSTREAM_REFUSED,
    Counters,
    Metric,
    UpstreamConnector,
    UpstreamHttpConnection,
)
from ..kernel import Bus, Kernel
from ..model import (
    BrokenCall,
    CallerRequest,
    Incarnation,
    Outcome,
    Reason,
    Registration,
    Route,
    Seconds,
    ServiceId,
    UpstreamError,
    UpstreamId,
    UpstreamReply,
)
from ._tasks import TaskOwner, Tasks, read_clock

CONNECT_TIMEOUT = Seconds(0.3)  # to open a connection; healthy ones take up to 10 ms
DEFAULT_IDLE_TIMEOUT = Seconds(
    10
)  # that an idle connection is kept when no timeout is told
IDLE_MARGIN = Seconds(0.5)  # by which this side closes before the upstream does
STALE_AFTER_IDLE = Seconds(0.25)  # idle longer, a connection may be closing unseen
SAFETY_FACTOR = (
    0.8  # of an upstream's connections; views of the fleet's size may differ
)
DEFAULT_CONNECTION_LIMIT = (
    4  # connections to an upstream of a service that is not configured yet
)


@dataclass(slots=True)
class _QueuedRequest:
    """A request on its way to one upstream."""

    request: CallerRequest
    route: Route
    reply: asyncio.Future[UpstreamReply]
    connection: UpstreamHttpConnection | None = None

    @property
    def is_done(self) -> bool:
        """Whether nobody waits for the reply any more."""
        return self.reply.done()

    def fail(self, error: UpstreamError) -> None:
        """Tell whoever waits that there is no reply."""
        if not self.reply.done():
            self.reply.set_exception(error)

    def finish(self, reply: UpstreamReply) -> None:
        """Hand the reply over."""
        if not self.reply.done():
            self.reply.set_result(reply)


@dataclass(slots=True)
class _ConnectionPool:
    """The connections to one incarnation of an upstream.

    Load pattern: more requests for one upstream than connections. Those of the higher
    priority go first, then those whose caller stops waiting first; one that has run
    out of time is dropped unsent.

    A connection that broke off under a call is replaced at once, since a refusal proves
    that the upstream has ended.
    """

    target: Registration
    connector: UpstreamConnector
    tasks: Tasks
    counters: Counters
    bus: Bus
    limit: Callable[[], int]
    open_count: int = 0
    _needs_replacement: bool = False
    _numbers: 'count[int]' = field(default_factory=count)
    _queue: list[tuple[int, Seconds, int, _QueuedRequest]] = field(default_factory=list)
    _idle: list[asyncio.Future[None]] = field(default_factory=list)

    def enqueue(self, queued: _QueuedRequest) -> None:
        """Queue a request and see that a connection takes it."""
        rank = (
            queued.route.priority,
            queued.request.deadline,
            next(self._numbers),
            queued,
        )
        heapq.heappush(self._queue, rank)
        while self._idle:
            wakeup = self._idle.pop()
            if not wakeup.done():
                wakeup.set_result(None)
                return
        if self.open_count < self.limit():
            self.tasks.spawn(self._run_connection())

    async def _run_connection(self) -> None:
        """Open a connection and send what waits, one request after the other."""
        self.open_count += 1
        try:
            queued = self._pop_next()
            if queued is not None or self._needs_replacement:
                self._needs_replacement = False
                await self._open_and_serve(queued)
        finally:
            self.open_count -= 1
            self._open_replacement()

    def _open_replacement(self) -> None:
        """Open another connection where work waits, or a call broke off."""
        is_wanted = self._queue or self._needs_replacement
        if is_wanted and self.open_count < self.limit():
            self.tasks.spawn(self._run_connection())

    async def _open_and_serve(self, queued: _QueuedRequest | None) -> None:
        limit = CONNECT_TIMEOUT
        if queued is not None:
            limit = Seconds(min(limit, queued.request.deadline - read_clock()))
        self.counters.add(Metric.LINES_OPENED)
        try:
            connection = await self.connector.open(self.target.address, limit)
        except UpstreamError as error:
            if error.reason is Reason.UPSTREAM_REFUSED:
                self.bus.announce(UPSTREAM_REFUSED, self.target.incarnation)
            if queued is not None:
                queued.fail(error)
            return
        async with connection:
            if queued is not None and not connection.is_reusable:
                queued.fail(UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN))
                return
            await self._serve_requests(connection, queued)

    async def _serve_requests(
        self, connection: UpstreamHttpConnection, first: _QueuedRequest | None
    ) -> None:
        queued = first
        idle_since = read_clock()
        while connection.is_reusable:
            if queued is None:
                idle_since = read_clock()
                if not await self._await_request(connection):
                    return
            queued = queued or self._pop_next()
            if queued is None:
                continue
            if self._needs_fresh_connection(queued, idle_since):
                self._requeue(queued)
                return
            await self._exchange(connection, queued)
            idle_since = read_clock()
            queued = self._pop_next()
        if queued is not None:
            self._requeue(queued)

    async def _exchange(
        self, connection: UpstreamHttpConnection, queued: _QueuedRequest
    ) -> None:
        budget = Seconds(queued.request.deadline - read_clock())
        if queued.is_done:
            return
        queued.connection = connection
        try:
            reply = await connection.exchange(
                queued.request, self.target.upstream, budget
            )
        except UpstreamError as error:
            # A connection that this host broke off itself proves nothing.
            if error.reason is Reason.REPLY_BROKEN and not queued.is_done:
                broken = BrokenCall(self.target.incarnation, queued.request)
                self.bus.announce(CALL_BROKEN, broken)
                self._needs_replacement = True
            queued.fail(error)
        else:
            queued.finish(reply)

    async def _await_request(self, connection: UpstreamHttpConnection) -> bool:
        """Wait while idle; False when the connection is to be closed."""
        keep_alive = connection.keep_alive_timeout
        limit = (
            DEFAULT_IDLE_TIMEOUT
            if keep_alive is None
            else max(0, keep_alive - IDLE_MARGIN)
        )
        wakeup: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._idle.append(wakeup)
        try:
            async with asyncio.timeout(limit):
                await wakeup
        except TimeoutError:
            return False
        finally:
            if wakeup in self._idle:
                self._idle.remove(wakeup)
        return True

    def _needs_fresh_connection(
        self, queued: _QueuedRequest, idle_since: float
    ) -> bool:
        """Whether a request that must not run twice would risk a dying connection."""
        if queued.route.is_idempotent:
            return False
        return read_clock() - idle_since > STALE_AFTER_IDLE

    def _requeue(self, queued: _QueuedRequest) -> None:
        rank = (
            queued.route.priority,
            queued.request.deadline,
            next(self._numbers),
            queued,
        )
        heapq.heappush(self._queue, rank)

    def _pop_next(self) -> _QueuedRequest | None:
        now = read_clock()
        while self._queue:
            queued = heapq.heappop(self._queue)[-1]
            if queued.is_done:
                continue
            if now < queued.request.deadline:
                return queued
            queued.fail(UpstreamError(Reason.DEADLINE, Outcome.NOT_RUN))
        return None


class HostConnectionPools(TaskOwner):
    """A channel for each incarnation of an upstream that is sent work."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__()
        self._bus = kernel.bus
        self._connector = kernel.find(UPSTREAM_CONNECTOR)
        self._counters = kernel.find(COUNTERS)
        self._state = kernel.find(SHARED_STATE)
        self._fleet = kernel.find(FLEET)
        self._pools: dict[UpstreamId, tuple[Incarnation, _ConnectionPool]] = {}
        kernel.bus.subscribe(UPSTREAM_GONE, self._forget_upstream)

    async def send(
        self, request: CallerRequest, route: Route, target: Registration
    ) -> UpstreamReply:
        """Send a request to one upstream and return the whole reply.

        Raises:
            UpstreamError: when there is no reply; its outcome tells whether it ran.
        """
        reply: asyncio.Future[UpstreamReply] = (
            asyncio.get_running_loop().create_future()
        )
        queued = _QueuedRequest(request, route, reply)
        self._find_pool(target).enqueue(queued)
        try:
            return await reply
        finally:
            if reply.cancelled() and queued.connection is not None:
                queued.connection.abort()

    def _find_pool(self, target: Registration) -> _ConnectionPool:
        known = self._pools.get(target.upstream)
        if known is None or known[0] != target.incarnation:
            pool = _ConnectionPool(
                target=target,
                connector=self._connector,
                tasks=self._tasks,
                counters=self._counters,
                bus=self._bus,
                limit=lambda: self._find_limit(target.service),
            )
            known = target.incarnation, pool
            self._pools[target.upstream] = known
        return known[1]

    def _find_limit(self, service: ServiceId) -> int:
        """Return this host's part of the connections to an upstream."""
        desired = self._state.desired
        traits = desired.services.get(service) if desired else None
        allowed = traits.connection_limit if traits else DEFAULT_CONNECTION_LIMIT
        return max(1, int(allowed * SAFETY_FACTOR / self._fleet.live_count))

    def _forget_upstream(self, upstream: UpstreamId) -> None:
        self._pools.pop(upstream, None)

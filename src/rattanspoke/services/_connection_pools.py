"""Pools of connections to upstreams, with one task for each connection."""

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
    UPSTREAM_NOTICES,
    UPSTREAM_REFUSED,
    Counters,
    Metric,
    NoticeRegistry,
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

CONNECT_TIMEOUT = Seconds(0.3)  # a healthy upstream accepts within 10 ms
DEFAULT_IDLE_TIMEOUT = Seconds(10)  # when the upstream sends no keep-alive timeout
# Idle connections are closed this long before the upstream's keep-alive timeout, so
# that no request meets a connection that the upstream is closing.
IDLE_MARGIN = Seconds(0.5)
# After this idle time the upstream may already be closing the connection without this
# host having noticed.
STALE_AFTER_IDLE = Seconds(0.25)
# Fraction of an upstream's connections that all hosts use together. The rest is a
# reserve for the time in which hosts disagree about the number of live hosts.
SAFETY_FACTOR = 0.8
# Connections to an upstream whose service is not in the desired state yet.
DEFAULT_CONNECTION_LIMIT = 4


@dataclass(slots=True)
class _QueuedRequest:
    """A request that is queued for one upstream or in flight to it."""

    request: CallerRequest
    route: Route
    reply: asyncio.Future[UpstreamReply]
    connection: UpstreamHttpConnection | None = None

    @property
    def is_done(self) -> bool:
        """Whether the reply has been set, or its future was cancelled."""
        return self.reply.done()

    def fail(self, error: UpstreamError) -> None:
        """Set an error as the result, unless the request is done."""
        if not self.reply.done():
            self.reply.set_exception(error)

    def finish(self, reply: UpstreamReply) -> None:
        """Set the reply as the result, unless the request is done."""
        if not self.reply.done():
            self.reply.set_result(reply)


@dataclass(slots=True)
class _ConnectionPool:
    """The connections to one incarnation of an upstream, and the queue for them.

    Load pattern: more requests for one upstream than connections. Requests of higher
    priority are sent first, then those with the earlier deadline. A request whose
    deadline has passed fails without being sent.

    A connection that was lost during a call is replaced at once: if the upstream
    refuses the new connection, that proves that this incarnation has ended.
    """

    target: Registration
    connector: UpstreamConnector
    tasks: Tasks
    counters: Counters
    bus: Bus
    notices: NoticeRegistry
    limit: Callable[[], int]
    open_count: int = 0
    _needs_replacement: bool = False
    _sequence: 'count[int]' = field(default_factory=count)
    _queue: list[tuple[int, Seconds, int, _QueuedRequest]] = field(default_factory=list)
    _idle: list[asyncio.Future[None]] = field(default_factory=list)

    def enqueue(self, queued: _QueuedRequest) -> None:
        """Queue a request, then wake an idle connection or open another one."""
        rank = (
            queued.route.priority,
            queued.request.deadline,
            next(self._sequence),
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
        """Open a connection and send queued requests over it, one at a time."""
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
        """Open another connection if requests are queued or a call was cut off."""
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
                self.bus.publish(UPSTREAM_REFUSED, self.target.incarnation)
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
        if queued.is_done or self._withhold(queued):
            return
        queued.connection = connection
        try:
            reply = await connection.exchange(
                queued.request, self.target.upstream, budget
            )
        except UpstreamError as error:
            # A connection that this host aborted itself is no evidence of a crash.
            if error.reason is Reason.REPLY_BROKEN and not queued.is_done:
                broken = BrokenCall(self.target.incarnation, queued.request)
                self.bus.publish(CALL_BROKEN, broken)
                self._needs_replacement = True
            queued.fail(error)
        else:
            self.notices.note_reply(self.target, reply)
            queued.finish(reply)

    def _withhold(self, queued: _QueuedRequest) -> bool:
        """Fail a request that the upstream has asked not to be sent, as not run."""
        objection = self.notices.find_objection(self.target)
        if objection is None:
            return False
        self.counters.add(Metric.SENDS_WITHHELD, objection.value)
        queued.fail(UpstreamError(objection, Outcome.NOT_RUN))
        return True

    async def _await_request(self, connection: UpstreamHttpConnection) -> bool:
        """Wait for a request; return False when the connection should be closed."""
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
        # The upstream may have closed it; then another one is opened for the request.
        return connection.is_reusable

    def _needs_fresh_connection(
        self, queued: _QueuedRequest, idle_since: float
    ) -> bool:
        """Whether a non-idempotent request must not use a connection idle this long.

        If the upstream is closing the connection, the request may be lost without
        a record of whether it ran, so it could not be sent again.
        """
        if queued.route.is_idempotent:
            return False
        return read_clock() - idle_since > STALE_AFTER_IDLE

    def _requeue(self, queued: _QueuedRequest) -> None:
        rank = (
            queued.route.priority,
            queued.request.deadline,
            next(self._sequence),
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
    """Keep a connection pool for the current incarnation of each upstream in use."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._bus = kernel.bus
        self._connector = kernel.find(UPSTREAM_CONNECTOR)
        self._counters = kernel.find(COUNTERS)
        self._state = kernel.find(SHARED_STATE)
        self._fleet = kernel.find(FLEET)
        self._notices = kernel.find(UPSTREAM_NOTICES)
        self._pools: dict[UpstreamId, tuple[Incarnation, _ConnectionPool]] = {}
        kernel.bus.subscribe(UPSTREAM_GONE, self._forget_upstream)

    async def send(
        self, request: CallerRequest, route: Route, target: Registration
    ) -> UpstreamReply:
        """Send a request to one upstream and return the complete reply.

        Raises:
            UpstreamError: when there is no complete reply; its outcome says whether
                the upstream ran the request.
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
                notices=self._notices,
                limit=lambda: self._find_limit(target.service),
            )
            known = target.incarnation, pool
            self._pools[target.upstream] = known
        return known[1]

    def _find_limit(self, service: ServiceId) -> int:
        """Return this host's share of the connections to an upstream."""
        desired = self._state.desired
        traits = desired.services.get(service) if desired else None
        allowed = traits.connection_limit if traits else DEFAULT_CONNECTION_LIMIT
        return max(1, int(allowed * SAFETY_FACTOR / self._fleet.known_host_count))

    def _forget_upstream(self, upstream: UpstreamId) -> None:
        self._pools.pop(upstream, None)

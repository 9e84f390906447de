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
    UPSTREAM_GONE,
    UPSTREAM_LINES,
    UPSTREAM_REFUSED,
    Counters,
    Metric,
    UpstreamLine,
    UpstreamLines,
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

CONNECT_LIMIT = Seconds(0.3)  # to open a connection; healthy ones take up to 10 ms
IDLE_LIMIT = Seconds(10)  # that an idle connection is kept when no timeout is told
IDLE_MARGIN = Seconds(0.5)  # by which this side closes before the upstream does
FRESH_IDLE = Seconds(0.25)  # idle longer, a connection may be closing unseen
SHARE_USED = 0.8  # of an upstream's connections; views of the fleet's size may differ
UNKNOWN_LIMIT = 4  # connections to an upstream of a service that is not configured yet


@dataclass(slots=True)
class _Job:
    """A request on its way to one upstream."""

    request: CallerRequest
    route: Route
    reply: asyncio.Future[UpstreamReply]
    line: UpstreamLine | None = None

    @property
    def is_over(self) -> bool:
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
class _Channel:
    """The connections to one incarnation of an upstream.

    Load pattern: more requests for one upstream than connections. Those of the higher
    priority go first, then those whose caller stops waiting first; one that has run
    out of time is dropped unsent.

    A connection that broke off under a call is replaced at once, since a refusal proves
    that the upstream has ended.
    """

    target: Registration
    wire: UpstreamLines
    tasks: Tasks
    counters: Counters
    bus: Bus
    limit: Callable[[], int]
    open_count: int = 0
    _is_broken: bool = False
    _numbers: 'count[int]' = field(default_factory=count)
    _waiting: list[tuple[int, Seconds, int, _Job]] = field(default_factory=list)
    _idle: list[asyncio.Future[None]] = field(default_factory=list)

    def post(self, job: _Job) -> None:
        """Queue a request and see that a connection takes it."""
        rank = job.route.priority, job.request.deadline, next(self._numbers), job
        heapq.heappush(self._waiting, rank)
        while self._idle:
            waiter = self._idle.pop()
            if not waiter.done():
                waiter.set_result(None)
                return
        if self.open_count < self.limit():
            self.tasks.spawn(self._run_line())

    async def _run_line(self) -> None:
        """Open a connection and send what waits, one request after the other."""
        self.open_count += 1
        try:
            job = self._take()
            if job is not None or self._is_broken:
                self._is_broken = False
                await self._open_and_serve(job)
        finally:
            self.open_count -= 1
            self._replace_line()

    def _replace_line(self) -> None:
        """Open another connection where work waits, or a call broke off."""
        is_wanted = self._waiting or self._is_broken
        if is_wanted and self.open_count < self.limit():
            self.tasks.spawn(self._run_line())

    async def _open_and_serve(self, job: _Job | None) -> None:
        limit = CONNECT_LIMIT
        if job is not None:
            limit = Seconds(min(limit, job.request.deadline - read_clock()))
        self.counters.add(Metric.LINES_OPENED)
        try:
            line = await self.wire.open(self.target.address, limit)
        except UpstreamError as error:
            if error.reason is Reason.UPSTREAM_REFUSED:
                self.bus.announce(UPSTREAM_REFUSED, self.target.incarnation)
            if job is not None:
                job.fail(error)
            return
        async with line:
            if job is not None and not line.is_reusable:
                job.fail(UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN))
                return
            await self._serve(line, job)

    async def _serve(self, line: UpstreamLine, first: _Job | None) -> None:
        job = first
        idle_since = read_clock()
        while line.is_reusable:
            if job is None:
                idle_since = read_clock()
                if not await self._await_work(line):
                    return
            job = job or self._take()
            if job is None:
                continue
            if self._is_doubtful(job, idle_since):
                self._put_back(job)
                return
            await self._exchange(line, job)
            idle_since = read_clock()
            job = self._take()
        if job is not None:
            self._put_back(job)

    async def _exchange(self, line: UpstreamLine, job: _Job) -> None:
        budget = Seconds(job.request.deadline - read_clock())
        if job.is_over:
            return
        job.line = line
        try:
            reply = await line.exchange(job.request, self.target.upstream, budget)
        except UpstreamError as error:
            # A connection that this host broke off itself proves nothing.
            if error.reason is Reason.REPLY_BROKEN and not job.is_over:
                broken = BrokenCall(self.target.incarnation, job.request)
                self.bus.announce(CALL_BROKEN, broken)
                self._is_broken = True
            job.fail(error)
        else:
            job.finish(reply)

    async def _await_work(self, line: UpstreamLine) -> bool:
        """Wait while idle; False when the connection is to be closed."""
        kept = line.kept_for
        limit = IDLE_LIMIT if kept is None else max(0, kept - IDLE_MARGIN)
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._idle.append(waiter)
        try:
            async with asyncio.timeout(limit):
                await waiter
        except TimeoutError:
            return False
        finally:
            if waiter in self._idle:
                self._idle.remove(waiter)
        return True

    def _is_doubtful(self, job: _Job, idle_since: float) -> bool:
        """Whether a request that must not run twice would risk a dying connection."""
        if job.route.is_idempotent:
            return False
        return read_clock() - idle_since > FRESH_IDLE

    def _put_back(self, job: _Job) -> None:
        rank = job.route.priority, job.request.deadline, next(self._numbers), job
        heapq.heappush(self._waiting, rank)

    def _take(self) -> _Job | None:
        now = read_clock()
        while self._waiting:
            job = heapq.heappop(self._waiting)[-1]
            if job.is_over:
                continue
            if now < job.request.deadline:
                return job
            job.fail(UpstreamError(Reason.DEADLINE, Outcome.NOT_RUN))
        return None


class UpstreamChannels(TaskOwner):
    """A channel for each incarnation of an upstream that is sent work."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__()
        self._bus = kernel.bus
        self._wire = kernel.find(UPSTREAM_LINES)
        self._counters = kernel.find(COUNTERS)
        self._state = kernel.find(SHARED_STATE)
        self._fleet = kernel.find(FLEET)
        self._channels: dict[UpstreamId, tuple[Incarnation, _Channel]] = {}
        kernel.bus.subscribe(UPSTREAM_GONE, self._forget)

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
        job = _Job(request, route, reply)
        self._find(target).post(job)
        try:
            return await reply
        finally:
            if reply.cancelled() and job.line is not None:
                job.line.abort()

    def _find(self, target: Registration) -> _Channel:
        known = self._channels.get(target.upstream)
        if known is None or known[0] != target.incarnation:
            channel = _Channel(
                target=target,
                wire=self._wire,
                tasks=self._tasks,
                counters=self._counters,
                bus=self._bus,
                limit=lambda: self._limit(target.service),
            )
            known = target.incarnation, channel
            self._channels[target.upstream] = known
        return known[1]

    def _limit(self, service: ServiceId) -> int:
        """Return this host's part of the connections to an upstream."""
        desired = self._state.desired
        traits = desired.services.get(service) if desired else None
        allowed = traits.connection_limit if traits else UNKNOWN_LIMIT
        return max(1, int(allowed * SHARE_USED / self._fleet.live_count))

    def _forget(self, upstream: UpstreamId) -> None:
        self._channels.pop(upstream, None)

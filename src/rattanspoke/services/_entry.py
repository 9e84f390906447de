"""Requests of callers: find the route, send the parts, answer."""

import asyncio
from dataclasses import replace

import structlog

from ..contracts import (
    COUNTERS,
    CRASHES,
    LIFECYCLE,
    LINES,
    PLACEMENTS,
    READINESS,
    SHARED_STATE,
    Metric,
)
from ..decisions import (
    BLOCK_TIME,
    RouteTable,
    WeightedRoundRobin,
    choose_answer_time,
)
from ..kernel import Kernel
from ..model import (
    CallerAnswer,
    CallerRequest,
    DesiredState,
    Failed,
    OneService,
    Outcome,
    PendingRequest,
    Reason,
    Refused,
    Rejected,
    Relayed,
    Route,
    Seconds,
    ServiceId,
    ShardSet,
    Standing,
    WeightedServices,
    is_complete,
)
from ._gathering import Gathering, Running, release_parts
from ._part import Part, PartResult
from ._reports import describe_ending, describe_missing
from ._tasks import TaskOwner, read_clock

GIVE_UP_RESERVE = Seconds(0.02)  # before the deadline, so that the caller hears of it
# A host that has just started knows the state within a call of the store or a peer.
STARTUP_WAIT = Seconds(0.4)
STARTUP_RETURN = Seconds(0.5)  # while no desired state is known


class RequestEntry(TaskOwner):
    """Serve each request by the desired state that was newest when it arrived."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__()
        self._state = kernel.find(SHARED_STATE)
        self._lines = kernel.find(LINES)
        self._placements = kernel.find(PLACEMENTS)
        self._counters = kernel.find(COUNTERS)
        self._lifecycle = kernel.find(LIFECYCLE)
        self._crashes = kernel.find(CRASHES)
        self._readiness = kernel.find(READINESS)
        self._log = structlog.get_logger()
        self._table: RouteTable | None = None
        self._spread = WeightedRoundRobin()

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Return what the caller is told."""
        if not self._state.is_complete:
            left = (request.deadline - read_clock()) / 2
            await self._state.await_complete(min(STARTUP_WAIT, Seconds(left)))
        desired = self._state.desired
        if desired is None:
            return Refused(Reason.NO_DESIRED_STATE, STARTUP_RETURN)
        route = self._find_route(desired, request)
        if route is None:
            return Rejected(Reason.UNKNOWN_ROUTE)
        limit = Seconds(request.arrived + route.time_limit)
        request = replace(request, deadline=min(request.deadline, limit))
        self._counters.add(Metric.REQUESTS, route.route)
        self._lifecycle.begin()
        try:
            answer = await self._serve_by_standing(request, route)
        finally:
            self._lifecycle.end()
        self._counters.observe(Metric.LATENCY, read_clock() - request.arrived)
        ending = describe_ending(request, route, answer, desired.version)
        if ending is not None:
            self._log.info('request ended', **ending)
        return answer

    def _find_route(
        self, desired: DesiredState, request: CallerRequest
    ) -> Route | None:
        if self._table is None or self._table.version != desired.version:
            self._table = RouteTable(desired)
        return self._table.find(request.authority, request.path)

    async def _serve_by_standing(
        self, request: CallerRequest, route: Route
    ) -> CallerAnswer:
        match self._crashes.judge(request):
            case Standing.REFUSED:
                return Refused(Reason.SUSPECT, BLOCK_TIME)
            case Standing.SUSPECT:
                # Every further send may cost one more upstream.
                once = replace(route, attempt_limit=1)
                answer = await self._serve_route(request, once, is_suspect=True)
                if is_complete(answer):
                    self._crashes.note_success(request)
                return answer
            case Standing.CLEAR:
                return await self._serve_route(request, route)

    async def _serve_route(
        self, request: CallerRequest, route: Route, *, is_suspect: bool = False
    ) -> CallerAnswer:
        match route.destination:
            case OneService(service):
                return await self._forward(request, route, service)
            case WeightedServices(choices):
                service = self._spread.choose(route.route, choices)
                return await self._forward(request, route, service)
            case ShardSet() as shards:
                return await self._gather(request, route, shards, is_suspect=is_suspect)

    async def _forward(
        self, request: CallerRequest, route: Route, service: ServiceId
    ) -> CallerAnswer:
        pending = PendingRequest(
            route,
            answer_by=Seconds(request.arrived + route.objective),
            give_up_at=Seconds(request.deadline - GIVE_UP_RESERVE),
        )
        part = self._tasks.spawn(self._make_part(request, service, pending).run())
        left = request.deadline - read_clock()
        try:
            await asyncio.wait({part}, timeout=left)
        finally:
            if not part.done():
                part.cancel()
        if part.cancelled() or not part.done():
            return Failed(Reason.DEADLINE)
        return self._answer_part(part.result(), pending)

    def _answer_part(
        self, outcome: PartResult, pending: PendingRequest
    ) -> CallerAnswer:
        if outcome.reply is not None:
            return Relayed(outcome.reply)
        if outcome.outcome is Outcome.NOT_RUN:
            return self._refuse(outcome.reason, [outcome.service], pending)
        return Failed(outcome.reason)

    def _refuse(
        self, reason: Reason, services: list[ServiceId], pending: PendingRequest
    ) -> Refused:
        returns = [self._placements.return_in(each, pending) for each in services]
        return Refused(reason, max(returns))

    async def _gather(
        self,
        request: CallerRequest,
        route: Route,
        shards: ShardSet,
        *,
        is_suspect: bool,
    ) -> CallerAnswer:
        answer_at = choose_answer_time(route, request.arrived, request.deadline)
        gathering = Gathering(shards, answer_at)
        give_up_at = Seconds(request.deadline - GIVE_UP_RESERVE)
        pending = PendingRequest(route, answer_at, give_up_at)
        parts = [self._make_part(request, each, pending) for each in shards.shards]
        running: Running = {}
        try:
            if is_suspect and not await self._try_first(parts, running, give_up_at):
                return Failed(Reason.SUSPECT)
            self._start_parts(parts[len(running) :], running)
            await gathering.wait(set(running), give_up_at)
        except asyncio.CancelledError:
            for task in running:
                task.cancel()
            raise
        if len(gathering.covered) < len(shards.shards):
            covered = {each.service for each in gathering.covered}
            missing = describe_missing(running.values(), covered)
            self._log.info('shards missing', request=request.attempt, missing=missing)
        self._counters.observe(
            Metric.COVERAGE, len(gathering.covered) / len(shards.shards)
        )
        self._readiness.note_search(is_failed=not gathering.is_enough)
        if gathering.is_enough:
            release_parts(running)
            return gathering.merge()
        for task in running:
            task.cancel()
        return self._answer_shortfall(gathering, pending)

    def _start_parts(self, parts: list[Part], running: Running) -> None:
        for part in parts:
            running[self._tasks.spawn(part.run())] = part

    async def _try_first(
        self, parts: list[Part], running: Running, until: Seconds
    ) -> bool:
        """Send one part alone; tell whether its upstream came through it."""
        self._start_parts(parts[:1], running)
        ended, _ = await asyncio.wait(running, timeout=until - read_clock())
        outcomes: list[PartResult] = [part.result() for part in ended]
        if not ended:
            next(iter(running)).cancel()
        return any(outcome.is_success for outcome in outcomes)

    def _answer_shortfall(
        self, gathering: Gathering, pending: PendingRequest
    ) -> CallerAnswer:
        if gathering.is_unrun:
            services = [each.service for each in gathering.missed]
            return self._refuse(Reason.LOW_COVERAGE, services, pending)
        return Failed(Reason.LOW_COVERAGE)

    def _make_part(
        self, request: CallerRequest, service: ServiceId, pending: PendingRequest
    ) -> Part:
        return Part(
            request=request,
            service=service,
            pending=pending,
            lines=self._lines,
            placements=self._placements,
            counters=self._counters,
            tasks=self._tasks,
            log=self._log,
        )

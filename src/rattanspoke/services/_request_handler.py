"""Handling of callers' requests: find the route, forward or fan out, answer."""

import asyncio
from dataclasses import replace

import structlog

from ..contracts import (
    CONNECTION_POOLS,
    COUNTERS,
    CRASH_GUARD,
    LIFECYCLE,
    READINESS,
    REPLICA_SELECTION,
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
    SuspicionLevel,
    WeightedServices,
    is_complete,
)
from ._reports import describe_answer, describe_missing_shards
from ._service_request import ServiceRequest, ServiceResult
from ._shard_results import RunningRequests, ShardResults, stop_unfinished
from ._tasks import TaskOwner, read_clock

# Waiting for upstreams ends this long before the deadline, so that a failure still
# reaches the caller in time.
DEADLINE_RESERVE = Seconds(0.02)
# A host that has just started gets the state with one call to the store or to a peer.
STARTUP_WAIT = Seconds(0.4)
STARTUP_RETRY_AFTER = Seconds(0.5)  # sent to callers until a desired state is read


class HostRequestHandler(TaskOwner):
    """Route each request by the newest desired state when its handling begins."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._state = kernel.find(SHARED_STATE)
        self._connection_pools = kernel.find(CONNECTION_POOLS)
        self._replica_selection = kernel.find(REPLICA_SELECTION)
        self._counters = kernel.find(COUNTERS)
        self._lifecycle = kernel.find(LIFECYCLE)
        self._crash_guard = kernel.find(CRASH_GUARD)
        self._readiness = kernel.find(READINESS)
        self._log = structlog.get_logger()
        self._table: RouteTable | None = None
        self._round_robin = WeightedRoundRobin()

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Process a request and return the answer for its caller."""
        if not self._state.is_complete:
            time_left = (request.deadline - read_clock()) / 2
            await self._state.await_complete(min(STARTUP_WAIT, Seconds(time_left)))
        desired = self._state.desired
        if desired is None:
            return Refused(Reason.NO_DESIRED_STATE, STARTUP_RETRY_AFTER)
        route = self._find_route(desired, request)
        if route is None:
            return Rejected(Reason.UNKNOWN_ROUTE)
        limit = Seconds(request.arrived + route.time_limit)
        request = replace(request, deadline=min(request.deadline, limit))
        self._counters.add(Metric.REQUESTS, route.route)
        self._lifecycle.begin()
        try:
            answer = await self._serve_by_suspicion(request, route)
        finally:
            self._lifecycle.end()
        self._counters.observe(Metric.LATENCY, read_clock() - request.arrived)
        log_fields = describe_answer(request, route, answer, desired.version)
        if log_fields is not None:
            self._log.info('request ended', **log_fields)
        return answer

    def _find_route(
        self, desired: DesiredState, request: CallerRequest
    ) -> Route | None:
        if self._table is None or self._table.version != desired.version:
            self._table = RouteTable(desired)
        return self._table.find(request.authority, request.path)

    async def _serve_by_suspicion(
        self, request: CallerRequest, route: Route
    ) -> CallerAnswer:
        match self._crash_guard.classify_request(request):
            case SuspicionLevel.BLOCKED:
                return Refused(Reason.SUSPECT, BLOCK_TIME)
            case SuspicionLevel.SUSPECT:
                # Every further send may crash one more upstream.
                single_attempt = replace(route, attempt_limit=1)
                answer = await self._serve_route(
                    request, single_attempt, is_suspect=True
                )
                if is_complete(answer):
                    self._crash_guard.note_success(request)
                return answer
            case SuspicionLevel.CLEAR:
                return await self._serve_route(request, route)

    async def _serve_route(
        self, request: CallerRequest, route: Route, *, is_suspect: bool = False
    ) -> CallerAnswer:
        match route.destination:
            case OneService(service):
                return await self._forward(request, route, service)
            case WeightedServices(choices):
                service = self._round_robin.choose(route.route, choices)
                return await self._forward(request, route, service)
            case ShardSet() as shards:
                return await self._fan_out(
                    request, route, shards, is_suspect=is_suspect
                )

    async def _forward(
        self, request: CallerRequest, route: Route, service: ServiceId
    ) -> CallerAnswer:
        pending = PendingRequest(
            route,
            answer_by=Seconds(request.arrived + route.objective),
            give_up_at=Seconds(request.deadline - DEADLINE_RESERVE),
        )
        task = self._tasks.spawn(
            self._make_service_request(request, service, pending).run()
        )
        time_left = request.deadline - read_clock()
        try:
            await asyncio.wait({task}, timeout=time_left)
        finally:
            if not task.done():
                task.cancel()
        if task.cancelled() or not task.done():
            return Failed(Reason.DEADLINE)
        return self._answer_single(task.result(), pending)

    def _answer_single(
        self, result: ServiceResult, pending: PendingRequest
    ) -> CallerAnswer:
        if result.reply is not None:
            return Relayed(result.reply)
        if result.outcome is Outcome.NOT_RUN:
            return self._refuse(result.reason, [result.service], pending)
        return Failed(result.reason)

    def _refuse(
        self, reason: Reason, services: list[ServiceId], pending: PendingRequest
    ) -> Refused:
        retry_times = [
            self._replica_selection.estimate_retry_after(each, pending)
            for each in services
        ]
        return Refused(reason, max(retry_times))

    async def _fan_out(
        self,
        request: CallerRequest,
        route: Route,
        shards: ShardSet,
        *,
        is_suspect: bool,
    ) -> CallerAnswer:
        answer_at = choose_answer_time(route, request.arrived, request.deadline)
        results = ShardResults(shards, answer_at)
        give_up_at = Seconds(request.deadline - DEADLINE_RESERVE)
        pending = PendingRequest(route, answer_at, give_up_at)
        service_requests = [
            self._make_service_request(request, each, pending) for each in shards.shards
        ]
        running: RunningRequests = {}
        try:
            if is_suspect and not await self._probe_one_shard(
                service_requests, running, give_up_at
            ):
                return Failed(Reason.SUSPECT)
            self._start_requests(service_requests[len(running) :], running)
            await results.wait(set(running), give_up_at)
        except asyncio.CancelledError:
            for task in running:
                task.cancel()
            raise
        if len(results.covered) < len(shards.shards):
            covered = {each.service for each in results.covered}
            missing = describe_missing_shards(running.values(), covered)
            self._log.info('shards missing', request=request.attempt, missing=missing)
        self._counters.observe(
            Metric.COVERAGE, len(results.covered) / len(shards.shards)
        )
        self._readiness.note_search(is_failed=not results.is_enough)
        if results.is_enough:
            stop_unfinished(running)
            return results.merge()
        for task in running:
            task.cancel()
        return self._answer_low_coverage(results, pending)

    def _start_requests(
        self, service_requests: list[ServiceRequest], running: RunningRequests
    ) -> None:
        for each in service_requests:
            running[self._tasks.spawn(each.run())] = each

    async def _probe_one_shard(
        self,
        service_requests: list[ServiceRequest],
        running: RunningRequests,
        until: Seconds,
    ) -> bool:
        """Send the search to one shard only; return whether its upstream succeeded."""
        self._start_requests(service_requests[:1], running)
        ended, _ = await asyncio.wait(running, timeout=until - read_clock())
        results: list[ServiceResult] = [task.result() for task in ended]
        if not ended:
            next(iter(running)).cancel()
        return any(result.is_success for result in results)

    def _answer_low_coverage(
        self, results: ShardResults, pending: PendingRequest
    ) -> CallerAnswer:
        if results.is_unexecuted:
            services = [each.service for each in results.missed]
            return self._refuse(Reason.LOW_COVERAGE, services, pending)
        return Failed(Reason.LOW_COVERAGE)

    def _make_service_request(
        self, request: CallerRequest, service: ServiceId, pending: PendingRequest
    ) -> ServiceRequest:
        return ServiceRequest(
            request=request,
            service=service,
            pending=pending,
            connection_pools=self._connection_pools,
            replica_selection=self._replica_selection,
            counters=self._counters,
            tasks=self._tasks,
            log=self._log,
        )

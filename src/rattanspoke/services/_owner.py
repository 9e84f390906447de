"""The upstreams whose seats this host holds, with a dispatcher for each."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NoReturn, Self

from ..contracts import (
    CATALOG,
    IDENTITY,
    LIFECYCLE,
    MEMBERS,
    ORGANISATIONS,
    PEERS,
    RECORD_CHANGED,
    SEATS,
    SEATS_CHANGED,
    SUSPECTS,
    Importance,
    Respond,
    UpstreamStatus,
)
from ..decisions import QueueItem, list_owners
from ..kernel import Kernel
from ..model import (
    Acknowledgement,
    BookingCommand,
    BookingReply,
    CancelWork,
    DrainReport,
    HostId,
    HostState,
    Incarnation,
    Message,
    RampReport,
    Reason,
    RecordChange,
    RecordKind,
    RequestId,
    Seconds,
    SubReply,
    SubRequest,
    UpstreamId,
    UpstreamRecord,
    ZoneId,
)
from ._dispatcher import UpstreamDispatcher
from ._tasks import TaskOwner, ignore_reply, read_clock
from ._work import Job, Work

REPORT_INTERVAL = Seconds(2)  # between repeated reports of an upstream's level

Attempt = tuple[RequestId, int]


class HostOwnedUpstreams(TaskOwner):
    """Route work to the dispatchers of upstreams, and exchange reports with owners."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._catalog = kernel.find(CATALOG)
        self._peers = kernel.find(PEERS)
        self._lifecycle = kernel.find(LIFECYCLE)
        self._suspects = kernel.find(SUSPECTS)
        self._organisations = kernel.find(ORGANISATIONS)
        self._dispatchers: dict[UpstreamId, UpstreamDispatcher] = {}
        self._led_upstreams: set[UpstreamId] = set()
        self._early_reports: dict[UpstreamId, RampReport] = {}
        self._pending_work: dict[Attempt, tuple[UpstreamDispatcher, Work]] = {}

    def search(self, request: SubRequest, respond: Callable[[SubReply], None]) -> None:
        """Queue a sub-request and run it in its turn; respond exactly once."""
        self._accept(request, respond)

    def book(
        self, command: BookingCommand, respond: Callable[[BookingReply], None]
    ) -> None:
        """Queue a booking and run it in its turn; respond exactly once."""
        work = self._accept(command, respond)
        if work is not None:
            loop = asyncio.get_running_loop()
            loop.call_at(work.deadline, self._expire, work)

    def cancel(self, request: RequestId, attempt: int, upstream: UpstreamId) -> None:
        """Cancel an attempt whose sender no longer waits for the reply."""
        entry = self._pending_work.get((request, attempt))
        if entry is not None:
            dispatcher, work = entry
            dispatcher.cancel(work)

    def describe(self, upstream: UpstreamId) -> UpstreamStatus | None:
        """Return this host's view of an upstream, None if it never held its seats."""
        dispatcher = self._dispatchers.get(upstream)
        return dispatcher.describe() if dispatcher else None

    async def __aenter__(self) -> Self:
        self._peers.serve_inline(SubRequest, self._handle_search)
        self._peers.serve_inline(BookingCommand, self._handle_booking)
        self._peers.serve_inline(CancelWork, self._handle_cancel)
        self._peers.serve_inline(RampReport, self._handle_ramp_report)
        self._peers.serve_inline(DrainReport, self._handle_leave_report)
        self._kernel.bus.subscribe(SEATS_CHANGED, self._note_seats)
        self._kernel.bus.subscribe(RECORD_CHANGED, self._note_record)
        self._supervise(
            'slow start reports', self._repeat_reports, Importance.AUXILIARY
        )
        return self

    def _accept(self, job: Job, respond: Callable[..., None]) -> Work | None:
        key = (job.request, job.attempt)

        def finish(reply: SubReply | BookingReply) -> None:
            self._pending_work.pop(key, None)
            self._lifecycle.end()
            respond(reply)

        self._lifecycle.begin()
        work = Work(job, finish, Seconds(read_clock() + job.budget))
        dispatcher = self._dispatchers.get(job.upstream)
        if dispatcher is None:
            work.refuse(Reason.NOT_OWNER)
        elif self._suspects.is_blocked(job.fingerprint):
            work.refuse(Reason.SUSPECT)
        else:
            self._pending_work[key] = (dispatcher, work)
            dispatcher.push(self._make_queue_item(work))
        return None if work.is_done else work

    def _make_queue_item(self, work: Work) -> QueueItem[Work]:
        job = work.job
        is_booking = isinstance(job, BookingCommand)
        return QueueItem(
            work=work,
            organisation=job.organisation,
            priority=self._organisations.find_priority(job.organisation),
            urgency=job.urgency,
            deadline=work.deadline,
            solo=is_booking or self._suspects.is_suspect(job.fingerprint),
        )

    def _expire(self, work: Work) -> None:
        """Refuse a booking that is still queued at its deadline.

        No upstream was called, so the reply may state that the booking was not run.
        """
        entry = self._pending_work.get((work.job.request, work.job.attempt))
        if entry is not None and not entry[0].is_running(work):
            work.refuse(Reason.DEADLINE)

    def _handle_search(
        self, request: SubRequest, sender: HostId, respond: Respond
    ) -> None:
        self.search(request, respond)

    def _handle_booking(
        self, command: BookingCommand, sender: HostId, respond: Respond
    ) -> None:
        self.book(command, respond)

    def _handle_cancel(
        self, cancel: CancelWork, sender: HostId, respond: Respond
    ) -> None:
        self.cancel(cancel.request, cancel.attempt, cancel.upstream)
        respond(Acknowledgement(self._identity.incarnation))

    def _handle_ramp_report(
        self, report: RampReport, sender: HostId, respond: Respond
    ) -> None:
        dispatcher = self._dispatchers.get(report.upstream)
        if dispatcher is None:
            self._early_reports[report.upstream] = report
        else:
            dispatcher.note_report(report.incarnation, report.level)
        respond(Acknowledgement(self._identity.incarnation))

    def _handle_leave_report(
        self, report: DrainReport, sender: HostId, respond: Respond
    ) -> None:
        dispatcher = self._dispatchers.get(report.upstream)
        if dispatcher is not None:
            dispatcher.note_draining(report.incarnation)
        respond(Acknowledgement(self._identity.incarnation))

    def _note_seats(self, upstream: UpstreamId) -> None:
        record = self._catalog.upstream(upstream)
        if upstream not in self._dispatchers:
            if record is None:
                return
            self._open_dispatcher(record)
        dispatcher = self._dispatchers[upstream]
        dispatcher.sync_seat_workers()
        if dispatcher.health.owns_first_seat():
            self._led_upstreams.add(upstream)
        elif upstream in self._led_upstreams:
            self._led_upstreams.discard(upstream)
            self._announce_level(dispatcher)

    def _open_dispatcher(self, record: UpstreamRecord) -> None:
        dispatcher = UpstreamDispatcher(
            self._kernel, record, self._send_report, self._tasks
        )
        self._dispatchers[record.upstream] = dispatcher
        early_report = self._early_reports.pop(record.upstream, None)
        if early_report is not None:
            dispatcher.note_report(early_report.incarnation, early_report.level)

    def _announce_level(self, dispatcher: UpstreamDispatcher) -> None:
        """Report an upstream's level to every live host of the zone.

        This host has lost the first seat, and its next owner continues at this level.
        """
        health = dispatcher.health
        report = RampReport(health.record.upstream, health.incarnation, health.level)
        if health.level:
            self._post_to(
                self._kernel.find(MEMBERS).select(HostState.LIVE, self._identity.zone),
                report,
            )

    def _note_record(self, change: RecordChange) -> None:
        if change.kind is RecordKind.ZONE:
            for record in self._catalog.upstreams_in(ZoneId(change.name)):
                self._update(record.upstream)
        if change.kind is RecordKind.UPSTREAM:
            upstream = UpstreamId(change.name)
            self._update(upstream)
            if self._kernel.find(SEATS).held(upstream):
                self._note_seats(upstream)

    def _update(self, upstream: UpstreamId) -> None:
        record = self._catalog.upstream(upstream)
        if record is not None and upstream in self._dispatchers:
            self._dispatchers[upstream].update(record)

    def _send_report(
        self, upstream: UpstreamId, incarnation: Incarnation, level: int | None
    ) -> None:
        """Report to the other owners of an upstream its level or its draining.

        Args:
            upstream: the upstream.
            incarnation: the incarnation of the upstream that the report is about.
            level: seats that may be used, counted from the first; None reports that
                the upstream is draining.
        """
        message: Message = DrainReport(upstream, incarnation)
        if level is not None:
            message = RampReport(upstream, incarnation, level)
        record = self._catalog.upstream(upstream)
        assignment = self._catalog.seats(record.zone) if record else None
        self._post_to(list_owners(assignment, upstream), message)

    def _post_to(self, hosts: Iterable[HostId], message: Message) -> None:
        for host in hosts:
            if host != self._identity.host:
                self._peers.post(host, message, ignore_reply)

    async def _repeat_reports(self) -> NoReturn:
        """Repeat the levels for owners that missed a report or have just started."""
        seats = self._kernel.find(SEATS)
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            for upstream, dispatcher in self._dispatchers.items():
                if dispatcher.health.level and 0 in seats.held(upstream):
                    self._send_report(
                        upstream, dispatcher.health.incarnation, dispatcher.health.level
                    )

"""The owner's side: a gate for each upstream whose seats this host holds."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Self

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
    Respond,
    UpstreamBelief,
)
from ..decisions import Ticket, list_holders
from ..kernel import Kernel
from ..model import (
    Acknowledgement,
    BookingCommand,
    BookingReply,
    CancelWork,
    Change,
    HostId,
    HostState,
    Incarnation,
    LeaveReport,
    Message,
    RampReport,
    Reason,
    RecordKind,
    RequestId,
    Seconds,
    SubReply,
    SubRequest,
    UpstreamId,
    UpstreamRecord,
    ZoneId,
)
from ._gate import Gate
from ._tasks import TaskOwner, ignore_reply, read_clock
from ._work import Job, Work

REPORT_INTERVAL = Seconds(2)  # between repeated ramp reports

Attempt = tuple[RequestId, int]


class UpstreamOwner(TaskOwner):
    """Route work to the gate of its upstream and reports to the other owners."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__()
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._catalog = kernel.find(CATALOG)
        self._peers = kernel.find(PEERS)
        self._lifecycle = kernel.find(LIFECYCLE)
        self._suspects = kernel.find(SUSPECTS)
        self._organisations = kernel.find(ORGANISATIONS)
        self._gates: dict[UpstreamId, Gate] = {}
        self._led: set[UpstreamId] = set()
        self._heard: dict[UpstreamId, RampReport] = {}
        self._works: dict[Attempt, tuple[Gate, Work]] = {}

    def search(self, request: SubRequest, respond: Callable[[SubReply], None]) -> None:
        """Run a sub-request in its turn; respond exactly once."""
        self._take(request, respond)

    def book(
        self, command: BookingCommand, respond: Callable[[BookingReply], None]
    ) -> None:
        """Run a booking in its turn; respond exactly once."""
        work = self._take(command, respond)
        if work is not None:
            loop = asyncio.get_running_loop()
            loop.call_at(work.deadline, self._expire, work)

    def cancel(self, request: RequestId, attempt: int, upstream: UpstreamId) -> None:
        """Give up an attempt that nobody waits for."""
        gate_work = self._works.get((request, attempt))
        if gate_work is not None:
            gate, work = gate_work
            gate.cancel(work)

    def describe(self, upstream: UpstreamId) -> UpstreamBelief | None:
        """Return what this host believes of an upstream, None if it owns no seat."""
        gate = self._gates.get(upstream)
        return gate.describe() if gate else None

    async def __aenter__(self) -> Self:
        self._peers.serve_inline(SubRequest, self._take_search)
        self._peers.serve_inline(BookingCommand, self._take_booking)
        self._peers.serve_inline(CancelWork, self._take_cancel)
        self._peers.serve_inline(RampReport, self._take_ramp)
        self._peers.serve_inline(LeaveReport, self._take_leave)
        self._kernel.bus.subscribe(SEATS_CHANGED, self._note_seats)
        self._kernel.bus.subscribe(RECORD_CHANGED, self._note_record)
        self._tasks.spawn(self._repeat_reports())
        return self

    def _take(self, job: Job, respond: Callable[..., None]) -> Work | None:
        key = (job.request, job.attempt)

        def finish(reply: SubReply | BookingReply) -> None:
            self._works.pop(key, None)
            self._lifecycle.end()
            respond(reply)

        self._lifecycle.begin()
        work = Work(job, finish, Seconds(read_clock() + job.budget))
        gate = self._gates.get(job.upstream)
        if gate is None:
            work.refuse(Reason.NOT_OWNER)
        elif self._suspects.is_blocked(job.fingerprint):
            work.refuse(Reason.SUSPECT)
        else:
            self._works[key] = (gate, work)
            gate.push(self._make_ticket(work))
        return None if work.is_done else work

    def _make_ticket(self, work: Work) -> Ticket[Work]:
        job = work.job
        is_booking = isinstance(job, BookingCommand)
        return Ticket(
            work=work,
            organisation=job.organisation,
            priority=self._organisations.find_priority(job.organisation),
            urgency=job.urgency,
            deadline=work.deadline,
            solo=is_booking or self._suspects.is_suspect(job.fingerprint),
        )

    def _expire(self, work: Work) -> None:
        """Refuse a booking truthfully if it is still queued at its deadline."""
        gate_work = self._works.get((work.job.request, work.job.attempt))
        if gate_work is not None and not gate_work[0].is_running(work):
            work.refuse(Reason.DEADLINE)

    def _take_search(
        self, request: SubRequest, sender: HostId, respond: Respond
    ) -> None:
        self.search(request, respond)

    def _take_booking(
        self, command: BookingCommand, sender: HostId, respond: Respond
    ) -> None:
        self.book(command, respond)

    def _take_cancel(
        self, cancel: CancelWork, sender: HostId, respond: Respond
    ) -> None:
        self.cancel(cancel.request, cancel.attempt, cancel.upstream)
        respond(Acknowledgement(self._identity.incarnation))

    def _take_ramp(self, report: RampReport, sender: HostId, respond: Respond) -> None:
        gate = self._gates.get(report.upstream)
        if gate is None:
            self._heard[report.upstream] = report
        else:
            gate.note_report(report.incarnation, report.level)
        respond(Acknowledgement(self._identity.incarnation))

    def _take_leave(
        self, report: LeaveReport, sender: HostId, respond: Respond
    ) -> None:
        gate = self._gates.get(report.upstream)
        if gate is not None:
            gate.note_leaving(report.incarnation)
        respond(Acknowledgement(self._identity.incarnation))

    def _note_seats(self, upstream: UpstreamId) -> None:
        record = self._catalog.upstream(upstream)
        if upstream not in self._gates:
            if record is None:
                return
            self._open_gate(record)
        gate = self._gates[upstream]
        gate.follow_seats()
        if gate.condition.leads():
            self._led.add(upstream)
        elif upstream in self._led:
            self._led.discard(upstream)
            self._hand_over(gate)

    def _open_gate(self, record: UpstreamRecord) -> None:
        gate = Gate(self._kernel, record, self._report, self._tasks)
        self._gates[record.upstream] = gate
        heard = self._heard.pop(record.upstream, None)
        if heard is not None:
            gate.note_report(heard.incarnation, heard.level)

    def _hand_over(self, gate: Gate) -> None:
        """Tell the zone how warm an upstream is, for whoever leads it next."""
        condition = gate.condition
        report = RampReport(condition.record.upstream, condition.life, condition.level)
        if condition.level:
            self._tell(
                self._kernel.find(MEMBERS).select(HostState.LIVE, self._identity.zone),
                report,
            )

    def _note_record(self, change: Change) -> None:
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
        if record is not None and upstream in self._gates:
            self._gates[upstream].update(record)

    def _report(
        self, upstream: UpstreamId, life: Incarnation, level: int | None
    ) -> None:
        """Tell the other owners of an upstream its level, or that it is leaving."""
        message: Message = LeaveReport(upstream, life)
        if level is not None:
            message = RampReport(upstream, life, level)
        record = self._catalog.upstream(upstream)
        ledger = self._catalog.seats(record.zone) if record else None
        self._tell(list_holders(ledger, upstream), message)

    def _tell(self, hosts: Iterable[HostId], message: Message) -> None:
        for host in hosts:
            if host != self._identity.host:
                self._peers.post(host, message, ignore_reply)

    async def _repeat_reports(self) -> None:
        """Repeat the levels, for owners that missed a report or just started."""
        seats = self._kernel.find(SEATS)
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            for upstream, gate in self._gates.items():
                if gate.condition.level and 0 in seats.held(upstream):
                    self._report(upstream, gate.condition.life, gate.condition.level)

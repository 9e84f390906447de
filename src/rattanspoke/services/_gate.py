"""One upstream's queue at one of its owners, and a task for each of its seats."""

import asyncio
from itertools import count

from ..contracts import (
    COUNTERS,
    IDENTITY,
    SEATS,
    SUSPECTS,
    TIMELINE,
    UPSTREAM_CLIENT,
    Metric,
    UpstreamBelief,
    UpstreamConnection,
)
from ..decisions import FairQueue, Ticket
from ..kernel import Kernel
from ..model import (
    BookingCommand,
    CrashReport,
    EventKind,
    Incarnation,
    Reason,
    Seconds,
    SubRequest,
    UpstreamError,
    UpstreamRecord,
)
from ._condition import Report, UpstreamCondition
from ._tasks import Tasks, read_clock
from ._work import Work

MAX_QUEUE = 2000  # pieces of work that wait for one upstream at one owner
MAX_WAIT_SHARE = 0.5  # of the time left that work may spend in the queue
LEAVE_PROBE = Seconds(1)  # between looks at an upstream that said it was leaving


class Gate:
    """Let work through to one upstream: in turn, within its seats, as it warms up."""

    def __init__(
        self, kernel: Kernel, record: UpstreamRecord, report: Report, tasks: Tasks
    ) -> None:
        self.condition = UpstreamCondition(kernel, record, report)
        self._counters = kernel.find(COUNTERS)
        self._seats = kernel.find(SEATS)
        self._suspects = kernel.find(SUSPECTS)
        self._timeline = kernel.find(TIMELINE)
        self._client = kernel.find(UPSTREAM_CLIENT)
        self._host = kernel.find(IDENTITY).host
        self._report = report
        self._tasks = tasks
        self._upstream = record.upstream
        self._queue: FairQueue[Work] = FairQueue()
        self._running: dict[int, list[Work]] = {}
        self._connections: dict[int, UpstreamConnection] = {}
        self._workers: dict[int, asyncio.Task[None]] = {}
        self._wake: dict[int, asyncio.Event] = {}
        self._calls = count(1)
        self._crash = ''  # the last crash that was reported

    def update(self, record: UpstreamRecord) -> None:
        """Take over a changed record; queued work is refused if it may not run."""
        self.condition.record = record
        refusal = self.condition.find_refusal()
        if refusal is not None:
            self._flush(refusal)
            if refusal in {Reason.ZONE_OUT, Reason.UPSTREAM_LEAVING}:
                self.condition.note_idle()
        self.follow_seats()

    def follow_seats(self) -> None:
        """Start a task for each seat that is held; the others end by themselves."""
        held = self._seats.held(self._upstream)
        for seat in held - self._workers.keys():
            self._wake[seat] = asyncio.Event()
            self._workers[seat] = self._tasks.spawn(self._work_seat(seat))
        for wake in self._wake.values():
            wake.set()
        self._flush_stranded()

    def push(self, ticket: Ticket[Work]) -> None:
        """Queue work, or refuse what cannot end before its deadline."""
        refusal = self.condition.find_refusal()
        if refusal is None and self.condition.count_usable() == 0:
            refusal = Reason.UPSTREAM_COLD
        if refusal is None and self._is_too_late(ticket):
            refusal = Reason.OVERLOADED
        if refusal is not None:
            ticket.work.refuse(refusal, wait=self.measure_wait())
            return
        self._queue.push(ticket)
        self._wake_idle()

    def cancel(self, work: Work) -> None:
        """Give up work; a call in which nobody waits for any work is cancelled."""
        work.is_cancelled = True
        for seat, batch in self._running.items():
            if work in batch:
                self._cancel_call(seat, batch)

    def is_running(self, work: Work) -> bool:
        """Tell whether an upstream was already asked to do the work."""
        return any(work in batch for batch in self._running.values())

    def note_report(self, life: Incarnation, level: int) -> None:
        """Take over the level that the first seat's owner reports."""
        self.condition.note_report(life, level)
        self._flush_stranded()
        self._wake_idle()

    def note_leaving(self, life: Incarnation) -> None:
        """Stop at once on the upstream's own word, until it has a new life."""
        if self.condition.note_leaving(life):
            self._flush(Reason.UPSTREAM_LEAVING)
            self._tasks.spawn(self._await_return(life))

    def describe(self) -> UpstreamBelief:
        """Return what this owner believes of the upstream."""
        refusal = self.condition.find_refusal()
        return UpstreamBelief(
            warmth=self.condition.judge(),
            usable_seats=self.condition.count_allowed(),
            refusal=refusal.value if refusal else '',
            queued=len(self._queue),
            life=self.condition.life,
        )

    def measure_wait(self) -> Seconds:
        """Return the seconds for which new work would wait."""
        return self.condition.estimate_wait(len(self._queue), len(self._running))

    async def _work_seat(self, seat: int) -> None:
        try:
            while True:
                loan = self._seats.lend(self._upstream, seat)
                if loan is None:
                    return
                with loan:
                    await self._serve_seat(seat)
        finally:
            self._workers.pop(seat, None)

    async def _serve_seat(self, seat: int) -> None:
        """Use one connection until the seat is lost or the address changes."""
        record = self.condition.record
        async with self._client.open(record) as connection:
            self._connections[seat] = connection
            try:
                while self._may_serve(seat, record):
                    batch = self._take_batch(seat)
                    if batch:
                        await self._run(seat, connection, batch)
                    else:
                        self._wake[seat].clear()
                        await self._wake[seat].wait()
            finally:
                del self._connections[seat]

    def _may_serve(self, seat: int, record: UpstreamRecord) -> bool:
        is_held = seat in self._seats.held(self._upstream)
        return is_held and self.condition.record.address == record.address

    def _take_batch(self, seat: int) -> list[Work]:
        if seat >= self.condition.count_allowed():
            return []
        refusal = self.condition.find_refusal()
        if refusal is not None:
            self._flush(refusal)
            return []
        most = self.condition.record.batch if self.condition.is_warm() else 1
        while len(self._queue):
            batch = [ticket.work for ticket in self._queue.pop_batch(most)]
            ready = [work for work in batch if self._is_ready(work)]
            if ready:
                return ready
        return []

    def _is_ready(self, work: Work) -> bool:
        refusal: Reason | None = None
        if work.is_cancelled or work.is_done:
            refusal = Reason.CANCELLED
        elif read_clock() >= work.deadline:
            refusal = Reason.DEADLINE
        elif self._suspects.is_blocked(work.job.fingerprint):
            refusal = Reason.SUSPECT
        if refusal is not None:
            work.refuse(refusal)
        return refusal is None

    async def _run(
        self, seat: int, connection: UpstreamConnection, batch: list[Work]
    ) -> None:
        call = f'{self._host}/{self._upstream}/{seat}/{next(self._calls)}'
        self._running[seat] = batch
        self._counters.add(Metric.UPSTREAM_CALLS)
        for work in batch:
            self._timeline.note(
                EventKind.ATTEMPT,
                f'attempt {work.job.attempt} on seat {seat}',
                request=work.job.request,
                upstream=self._upstream,
                organisation=work.job.organisation,
            )
        try:
            await self._call(connection, call, batch)
        except UpstreamError as error:
            self._note_failure(error, batch)
        finally:
            self._running.pop(seat, None)

    async def _call(
        self, connection: UpstreamConnection, call: str, batch: list[Work]
    ) -> None:
        started = read_clock()
        budget = Seconds(max(work.deadline for work in batch) - started)
        match batch[0].job:
            case BookingCommand() as command:
                booked = await connection.book(command, budget)
                batch[0].finish_booking(booked)
                self._note_success(booked.incarnation, Seconds(started), batch)
                is_leaving, life = booked.is_leaving, booked.incarnation
            case SubRequest():
                parts = [work.job for work in batch if isinstance(work.job, SubRequest)]
                found = await connection.search(call, parts, budget)
                took = self._note_success(found.incarnation, Seconds(started), batch)
                for work, part in zip(batch, found.parts, strict=True):
                    work.finish_search(part, took, self.measure_wait())
                is_leaving, life = found.is_leaving, found.incarnation
        if is_leaving:
            self._announce_leaving(life)

    def _note_success(
        self, life: Incarnation, started: Seconds, batch: list[Work]
    ) -> Seconds:
        took = Seconds(read_clock() - started)
        self.condition.note_success(life, took)
        self._flush_stranded()
        for work in batch:
            self._suspects.note_success(work.job.fingerprint)
        self._wake_idle()
        return took

    def _note_failure(self, error: UpstreamError, batch: list[Work]) -> None:
        self._counters.add(Metric.UPSTREAM_FAILURES, error.reason.value)
        match error.reason:
            case Reason.UPSTREAM_UNREACHABLE:
                self._note_down()
            case Reason.UPSTREAM_LOST:
                self._report_crash()
                self._note_down()
            case Reason.UPSTREAM_LEAVING:
                self._announce_leaving(self.condition.life)
        for work in batch:
            work.refuse(error.reason, error.outcome, self.measure_wait())

    def _report_crash(self) -> None:
        """Count a lost connection with calls in flight as a crash, once for a life."""
        crash = f'{self._upstream}@{self.condition.crashed_life}'
        if crash == self._crash:
            return
        self._crash = crash
        flying = tuple(
            work.job.fingerprint for batch in self._running.values() for work in batch
        )
        self._suspects.report_crash(CrashReport(crash, flying))

    def _note_down(self) -> None:
        self.condition.note_down()
        self._flush(Reason.UPSTREAM_UNREACHABLE)

    def _announce_leaving(self, life: Incarnation) -> None:
        self.note_leaving(life)
        self._report(self._upstream, life, None)

    async def _await_return(self, life: Incarnation) -> None:
        """Ask an upstream that left who it is, until it has a new life."""
        while self.condition.leaving is not None:
            await asyncio.sleep(LEAVE_PROBE)
            if not self.condition.leads():
                continue
            try:
                async with self._client.open(self.condition.record) as connection:
                    found, is_leaving = await connection.identify()
            except UpstreamError:
                continue
            if found != life and not is_leaving:
                self.condition.note_return(found)

    def _cancel_call(self, seat: int, batch: list[Work]) -> None:
        is_search = all(isinstance(work.job, SubRequest) for work in batch)
        connection = self._connections.get(seat)
        if connection and is_search and all(work.is_cancelled for work in batch):
            self._counters.add(Metric.CANCELS)
            self._tasks.spawn(connection.cancel())

    def _is_too_late(self, ticket: Ticket[Work]) -> bool:
        ahead = self._queue.count_ahead(ticket.organisation, ticket.priority)
        wait = self.condition.estimate_wait(ahead, len(self._running))
        left = ticket.deadline - read_clock()
        is_late = wait + self.condition.took > left or wait > MAX_WAIT_SHARE * left
        return is_late or len(self._queue) >= MAX_QUEUE

    def _wake_idle(self) -> None:
        for seat, wake in self._wake.items():
            if seat not in self._running:
                wake.set()

    def _flush_stranded(self) -> None:
        """Refuse queued work for which no seat of this host may be used."""
        if not self._seats.held(self._upstream):
            self._flush(Reason.NOT_OWNER)
        elif self.condition.count_usable() == 0:
            self._flush(Reason.UPSTREAM_COLD)

    def _flush(self, reason: Reason) -> None:
        for ticket in self._queue.drain():
            ticket.work.refuse(reason)

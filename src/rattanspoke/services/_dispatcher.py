"""An owner's queue for one upstream, and a worker task for each seat that it holds."""

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
    UpstreamConnection,
    UpstreamStatus,
)
from ..decisions import FairQueue, QueueItem, choose_shed_reason
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
from ._health import SendReport, UpstreamHealth
from ._tasks import Tasks, read_clock
from ._work import Work

MAX_QUEUE = 2000  # pieces of work that an owner queues for one upstream
DRAINING_PROBE_INTERVAL = Seconds(1)  # between probes of a draining upstream


class UpstreamDispatcher:
    """Queue work for one upstream and run it over the seats that this host holds.

    Work runs in the order of the fair queue. Each seat carries one call at a time, and
    an upstream that has just started is called over few seats.
    """

    def __init__(
        self,
        kernel: Kernel,
        record: UpstreamRecord,
        send_report: SendReport,
        tasks: Tasks,
    ) -> None:
        self.health = UpstreamHealth(kernel, record, send_report)
        self._counters = kernel.find(COUNTERS)
        self._seats = kernel.find(SEATS)
        self._suspects = kernel.find(SUSPECTS)
        self._timeline = kernel.find(TIMELINE)
        self._client = kernel.find(UPSTREAM_CLIENT)
        self._host = kernel.find(IDENTITY).host
        self._send_report = send_report
        self._tasks = tasks
        self._upstream = record.upstream
        self._queue: FairQueue[Work] = FairQueue()
        self._running: dict[int, list[Work]] = {}
        self._connections: dict[int, UpstreamConnection] = {}
        self._workers: dict[int, asyncio.Task[None]] = {}
        self._wake_events: dict[int, asyncio.Event] = {}
        self._calls = count(1)
        self._reported_crash = ''  # upstream and incarnation of the last reported crash

    def update(self, record: UpstreamRecord) -> None:
        """Apply a changed record; refuse queued work that may no longer run."""
        self.health.record = record
        refusal = self.health.find_refusal()
        if refusal is not None:
            self._refuse_queued(refusal)
            if refusal in {Reason.ZONE_OUT, Reason.UPSTREAM_DRAINING}:
                self.health.note_out_of_service()
        self.sync_seat_workers()

    def sync_seat_workers(self) -> None:
        """Start a worker for each held seat; workers of lost seats end on their own."""
        held = self._seats.held(self._upstream)
        for seat in held - self._workers.keys():
            self._wake_events[seat] = asyncio.Event()
            self._workers[seat] = self._tasks.spawn(self._work_seat(seat))
        for wake in self._wake_events.values():
            wake.set()
        self._refuse_stranded()

    def push(self, queue_item: QueueItem[Work]) -> None:
        """Queue work, or refuse it if the upstream is unusable or the wait too long."""
        refusal = self.health.find_refusal()
        if refusal is None and self.health.count_usable_seats() == 0:
            refusal = Reason.UPSTREAM_COLD
        if refusal is None:
            refusal = self._find_shed_reason(queue_item)
        if refusal is not None:
            queue_item.work.refuse(refusal, wait=self.measure_wait())
            return
        self._queue.push(queue_item)
        self._wake_idle()

    def cancel(self, work: Work) -> None:
        """Cancel work; its call is cancelled once all work in it is."""
        work.is_cancelled = True
        for seat, batch in self._running.items():
            if work in batch:
                self._cancel_call(seat, batch)

    def is_running(self, work: Work) -> bool:
        """Return whether a call that carries the work is in flight."""
        return any(work in batch for batch in self._running.values())

    def note_report(self, incarnation: Incarnation, level: int) -> None:
        """Apply the level that another owner reported.

        Args:
            incarnation: the upstream's incarnation that the level is about.
            level: seats that may be used, counted from the first; zero if the upstream
                turned cold.
        """
        self.health.note_report(incarnation, level)
        self._refuse_stranded()
        self._wake_idle()

    def note_draining(self, incarnation: Incarnation) -> None:
        """Stop sending to an upstream that announced its draining, until it restarts.

        Args:
            incarnation: the incarnation of the upstream that is draining.
        """
        if self.health.note_draining(incarnation):
            self._refuse_queued(Reason.UPSTREAM_DRAINING)
            self._tasks.spawn(self._probe_until_restarted(incarnation))

    def describe(self) -> UpstreamStatus:
        """Return this owner's view of the upstream."""
        refusal = self.health.find_refusal()
        return UpstreamStatus(
            warmth=self.health.classify_warmth(),
            usable_seats=self.health.count_allowed_seats(),
            refusal=refusal.value if refusal else '',
            queued=len(self._queue),
            life=self.health.incarnation,
        )

    def measure_wait(self) -> Seconds:
        """Return the seconds that new work is expected to spend in the queue."""
        return self.health.estimate_wait(len(self._queue), len(self._running))

    async def _work_seat(self, seat: int) -> None:
        try:
            while True:
                acquired = self._seats.acquire(self._upstream, seat)
                if acquired is None:
                    return
                with acquired:
                    await self._serve_seat(seat)
        finally:
            self._workers.pop(seat, None)

    async def _serve_seat(self, seat: int) -> None:
        """Use one connection until the seat is lost or the address changes."""
        record = self.health.record
        async with self._client.open(record) as connection:
            self._connections[seat] = connection
            try:
                while self._may_serve(seat, record):
                    batch = self._take_batch(seat)
                    if batch:
                        await self._run(seat, connection, batch)
                    else:
                        self._wake_events[seat].clear()
                        await self._wake_events[seat].wait()
            finally:
                del self._connections[seat]

    def _may_serve(self, seat: int, record: UpstreamRecord) -> bool:
        is_held = seat in self._seats.held(self._upstream)
        return is_held and self.health.record.address == record.address

    def _take_batch(self, seat: int) -> list[Work]:
        if seat >= self.health.count_allowed_seats():
            return []
        refusal = self.health.find_refusal()
        if refusal is not None:
            self._refuse_queued(refusal)
            return []
        batch_limit = self.health.record.batch if self.health.is_warm() else 1
        while len(self._queue):
            batch = [
                queue_item.work for queue_item in self._queue.pop_batch(batch_limit)
            ]
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
                is_leaving, incarnation = booked.is_leaving, booked.incarnation
            case SubRequest():
                parts = [work.job for work in batch if isinstance(work.job, SubRequest)]
                found = await connection.search(call, parts, budget)
                duration = self._note_success(
                    found.incarnation, Seconds(started), batch
                )
                for work, part in zip(batch, found.parts, strict=True):
                    work.finish_search(part, duration, self.measure_wait())
                is_leaving, incarnation = found.is_leaving, found.incarnation
        if is_leaving:
            self._announce_draining(incarnation)

    def _note_success(
        self, incarnation: Incarnation, started: Seconds, batch: list[Work]
    ) -> Seconds:
        duration = Seconds(read_clock() - started)
        self.health.note_success(incarnation, duration)
        self._refuse_stranded()
        for work in batch:
            self._suspects.note_success(work.job.fingerprint)
        self._wake_idle()
        return duration

    def _note_failure(self, error: UpstreamError, batch: list[Work]) -> None:
        self._counters.add(Metric.UPSTREAM_FAILURES, error.reason.value)
        match error.reason:
            case Reason.UPSTREAM_UNREACHABLE:
                self._note_down()
            case Reason.UPSTREAM_LOST:
                self._report_crash()
                self._note_down()
            case Reason.UPSTREAM_DRAINING:
                self._announce_draining(self.health.incarnation)
        for work in batch:
            work.refuse(error.reason, error.outcome, self.measure_wait())

    def _report_crash(self) -> None:
        """Report a connection lost during a call as a crash, once per incarnation."""
        crash = f'{self._upstream}@{self.health.crashed_incarnation}'
        if crash == self._reported_crash:
            return
        self._reported_crash = crash
        in_flight = tuple(
            work.job.fingerprint for batch in self._running.values() for work in batch
        )
        self._suspects.report_crash(CrashReport(crash, in_flight))

    def _note_down(self) -> None:
        self.health.note_down()
        self._refuse_queued(Reason.UPSTREAM_UNREACHABLE)

    def _announce_draining(self, incarnation: Incarnation) -> None:
        self.note_draining(incarnation)
        self._send_report(self._upstream, incarnation, None)

    async def _probe_until_restarted(self, incarnation: Incarnation) -> None:
        """Probe a draining upstream until another incarnation of it answers.

        Only the owner of the first seat probes; it reports the restart to the others.
        """
        while self.health.draining_incarnation is not None:
            await asyncio.sleep(DRAINING_PROBE_INTERVAL)
            if not self.health.owns_first_seat():
                continue
            try:
                async with self._client.open(self.health.record) as connection:
                    found, is_leaving = await connection.identify()
            except UpstreamError:
                continue
            if found != incarnation and not is_leaving:
                self.health.note_restarted(found)

    def _cancel_call(self, seat: int, batch: list[Work]) -> None:
        is_search = all(isinstance(work.job, SubRequest) for work in batch)
        connection = self._connections.get(seat)
        if connection and is_search and all(work.is_cancelled for work in batch):
            self._counters.add(Metric.CANCELS)
            self._tasks.spawn(connection.cancel())

    def _find_shed_reason(self, queue_item: QueueItem[Work]) -> Reason | None:
        if len(self._queue) >= MAX_QUEUE:
            return Reason.OVERLOADED
        ahead = self._queue.count_ahead(queue_item.organisation, queue_item.priority)
        wait = self.health.estimate_wait(ahead, len(self._running))
        time_left = Seconds(queue_item.deadline - read_clock())
        return choose_shed_reason(wait, self.health.duration, time_left)

    def _wake_idle(self) -> None:
        for seat, wake in self._wake_events.items():
            if seat not in self._running:
                wake.set()

    def _refuse_stranded(self) -> None:
        """Refuse all queued work if this host has no seat left that may be used."""
        if not self._seats.held(self._upstream):
            self._refuse_queued(Reason.NOT_OWNER)
        elif self.health.count_usable_seats() == 0:
            self._refuse_queued(Reason.UPSTREAM_COLD)

    def _refuse_queued(self, reason: Reason) -> None:
        for queue_item in self._queue.drain():
            queue_item.work.refuse(reason)

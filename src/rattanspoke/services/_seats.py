"""The seats that this host holds, and their changes in the seat assignment record.

A seat is a concurrency permit: the right to use one slot of an upstream over one
connection. The seat assignment record of a zone lists the holder of each seat. A host
uses a seat only while the newest record that it knows lists it as the holder. It
releases a seat in three steps: it stops handing the seat out, waits until the
connection that uses it is closed, and then writes the record without itself as holder.
"""

import asyncio
import random
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import NoReturn, Self

from ..contracts import (
    CATALOG,
    CODEC,
    COUNTERS,
    IDENTITY,
    LIFECYCLE,
    MEMBER_CHANGED,
    MEMBERS,
    PLATFORM,
    RECORD_CHANGED,
    SEATS_CHANGED,
    TIMELINE,
    WATCH,
    Metric,
)
from ..decisions import SeatAssignmentView, find_surplus, propose_seats
from ..kernel import Kernel
from ..model import (
    NO_REVISION,
    EventKind,
    HolderId,
    HostId,
    HostState,
    PlatformConflict,
    PlatformError,
    PlatformUnavailable,
    RecordChange,
    RecordKind,
    SeatAssignmentRecord,
    Seconds,
    StoredObject,
    UpstreamId,
    make_holder_id,
    parse_holder_host,
)
from ._tasks import TaskOwner, read_clock

RECONCILE_INTERVAL = Seconds(1)  # between reconciliations while nothing changes
# Seconds after the start, and without the platform, before the host uses the seats of
# its earlier incarnation; heartbeats inform its peers within that time.
SETTLE_TIME = Seconds(1.5)
RELEASE_ATTEMPTS = 10  # at shutdown, to release every seat
MAX_JITTER = Seconds(0.2)  # random delay before a write, so that hosts do not collide

Seat = tuple[UpstreamId, int]


class HostSeats(TaskOwner):
    """Hold seats for connections, and keep the seat assignment record up to date."""

    def __init__(self, kernel: Kernel, seed: int) -> None:
        super().__init__(kernel)
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._catalog = kernel.find(CATALOG)
        self._codec = kernel.find(CODEC)
        self._counters = kernel.find(COUNTERS)
        self._timeline = kernel.find(TIMELINE)
        self._platform = kernel.find(PLATFORM)
        self._own_holder = make_holder_id(
            self._identity.host, self._identity.incarnation
        )
        self._random = random.Random(seed)
        self._held: dict[UpstreamId, frozenset[int]] = {}
        self._to_release: set[Seat] = set()
        self._in_use: set[Seat] = set()
        self._dead_holders: set[HolderId] = set()
        self._started = Seconds(0)
        # Whether the result of a write is unknown, so that it may have taken effect.
        self._has_uncertain_write = False
        self._changed = asyncio.Event()

    def held(self, upstream: UpstreamId) -> frozenset[int]:
        """Return the numbers of the upstream's seats that this host may use."""
        return self._held.get(upstream, frozenset())

    def acquire(
        self, upstream: UpstreamId, seat: int
    ) -> AbstractContextManager[None] | None:
        """Acquire a seat for one connection.

        Returns:
            A context manager that marks the seat as in use while it is entered, or
            None if this host does not hold the seat.
        """
        if seat not in self.held(upstream):
            return None
        return self._mark_in_use((upstream, seat))

    async def release_all(self) -> None:
        """Release every seat in the seat assignment record, for a host shutdown."""
        assignment = self._catalog.seats(self._identity.zone)
        self._to_release |= {
            (upstream, seat)
            for upstream, holders in (assignment.seats if assignment else {}).items()
            for seat in range(len(holders))
        }
        self._refresh()
        for _ in range(RELEASE_ATTEMPTS):
            if await self._reconcile() and not self._in_use:
                return
            await asyncio.sleep(self._random.uniform(0, MAX_JITTER))

    async def __aenter__(self) -> Self:
        self._started = Seconds(read_clock())
        self._kernel.bus.subscribe(RECORD_CHANGED, self._note_change)
        self._kernel.bus.subscribe(MEMBER_CHANGED, self._note_member)
        self._supervise('seats', self._keep_reconciling)
        return self

    @contextmanager
    def _mark_in_use(self, seat: Seat) -> Iterator[None]:
        self._in_use.add(seat)
        try:
            yield
        finally:
            self._in_use.discard(seat)
            self._changed.set()

    def _note_change(self, change: RecordChange) -> None:
        if change.kind is RecordKind.SEATS and change.name == self._identity.zone:
            self._refresh()
        if change.kind in {RecordKind.SEATS, RecordKind.UPSTREAM}:
            self._changed.set()

    def _note_member(self, host: HostId) -> None:
        """Record the holders whose process is proven dead, so their seats are free.

        A holder is an incarnation of a host. The proof covers only the holders that are
        listed now, not a later incarnation of the same host.
        """
        if self._kernel.find(MEMBERS).find_state(host) is HostState.DEAD:
            assignment = self._catalog.seats(self._identity.zone)
            for holders in (assignment.seats if assignment else {}).values():
                self._dead_holders.update(
                    holder
                    for holder in holders
                    if holder and parse_holder_host(holder) == host
                )
        self._changed.set()

    async def _keep_reconciling(self) -> NoReturn:
        while True:
            self._refresh()
            if not self._kernel.find(LIFECYCLE).is_leaving:
                await self._reconcile()
            try:
                async with asyncio.timeout(RECONCILE_INTERVAL):
                    await self._changed.wait()
            except TimeoutError:
                continue
            self._changed.clear()
            await asyncio.sleep(self._random.uniform(0, MAX_JITTER))

    async def _reconcile(self) -> bool:
        """Propose this host's changes to the record; return whether none remain."""
        view = self._make_view()
        known = self._catalog.seats(self._identity.zone)
        if known is None and self._catalog.watermark == NO_REVISION:
            return False
        empty = SeatAssignmentRecord(zone=self._identity.zone, seats={})
        if not self._kernel.find(LIFECYCLE).is_leaving:
            surplus = find_surplus(known or empty, view)
            self._to_release = (
                self._to_release | surplus if self._has_uncertain_write else surplus
            )
            self._refresh()
        if propose_seats(known or empty, view, self._releasable()) == known:
            return True
        try:
            return await self._write_assignment(view)
        except PlatformUnavailable:
            self._counters.add(Metric.PLATFORM_FAILURES, 'seats')
            self._cancel_release()
        except PlatformError:
            self._counters.add(Metric.PLATFORM_FAILURES, 'seats unknown')
            self._has_uncertain_write = True
        return False

    async def _write_assignment(self, view: SeatAssignmentView) -> bool:
        zone = self._identity.zone
        stored = await self._platform.read(RecordKind.SEATS.value, zone)
        self._has_uncertain_write = False
        assignment = SeatAssignmentRecord(zone=zone, seats={})
        revision = NO_REVISION
        if stored is not None and stored.content is not None:
            self._catalog.adopt_written(stored)
            revision = stored.revision
            assignment = self._catalog.seats(zone) or assignment
        proposed = propose_seats(assignment, view, self._releasable())
        if proposed == assignment:
            return True
        content = self._codec.encode_record(proposed)
        kind = RecordKind.SEATS.value
        try:
            written = await self._platform.write(kind, zone, content, revision)
        except PlatformConflict:
            self._counters.add(Metric.SEAT_WRITES, 'conflict')
            self._changed.set()
            return False
        self._counters.add(Metric.SEAT_WRITES, 'written')
        self._catalog.adopt_written(
            StoredObject(kind=kind, name=zone, revision=written, content=content)
        )
        return True

    def _make_view(self) -> SeatAssignmentView:
        zone = self._identity.zone
        live = self._kernel.find(MEMBERS).select(HostState.LIVE, zone)
        if self._kernel.find(LIFECYCLE).is_leaving:
            live -= {self._identity.host}
        upstreams = self._catalog.upstreams_in(zone)
        return SeatAssignmentView(
            host=self._identity.host,
            incarnation=self._identity.incarnation,
            live=live,
            dead=frozenset(self._dead_holders),
            slots={record.upstream: record.slots for record in upstreams},
        )

    def _releasable(self) -> set[Seat]:
        return self._to_release - self._in_use

    def _cancel_release(self) -> None:
        """Use seats again whose release could not be written, except at shutdown.

        They stay unused while the result of an earlier write is unknown.
        """
        if (
            not self._has_uncertain_write
            and not self._kernel.find(LIFECYCLE).is_leaving
        ):
            self._to_release.clear()
            self._refresh()

    def _may_inherit(self) -> bool:
        """Return whether an earlier incarnation's seats may be used before a write.

        While the platform is unreachable, no other host can take them over in the
        record. The host waits for SETTLE_TIME so that its peers first learn of its
        restart by heartbeats.
        """
        settled = read_clock() - self._started > SETTLE_TIME
        silence = self._kernel.find(WATCH).measure_platform_silence()
        return settled and silence > SETTLE_TIME

    def _refresh(self) -> None:
        """Derive the held seats from the newest known seat assignment record."""
        assignment = self._catalog.seats(self._identity.zone)
        listed = {} if assignment is None else assignment.seats
        own = self._list_own_seats(listed)
        self._to_release &= own
        for upstream in set(listed) | set(self._held):
            seats = frozenset(
                seat
                for owned, seat in own
                if owned == upstream and (owned, seat) not in self._to_release
            )
            if seats != self.held(upstream):
                self._held[upstream] = seats
                self._note_held(upstream, seats)

    def _list_own_seats(
        self, listed: dict[UpstreamId, tuple[HolderId | None, ...]]
    ) -> set[Seat]:
        inherits = self._may_inherit()
        return {
            (upstream, seat)
            for upstream, holders in listed.items()
            for seat, holder in enumerate(holders)
            if holder == self._own_holder
            or (
                inherits and holder and parse_holder_host(holder) == self._identity.host
            )
        }

    def _note_held(self, upstream: UpstreamId, seats: frozenset[int]) -> None:
        self._timeline.note(
            EventKind.SEAT, f'holds seats {sorted(seats)}', upstream=upstream
        )
        self._kernel.bus.publish(SEATS_CHANGED, upstream)

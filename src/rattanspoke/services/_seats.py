"""The seats of upstreams that this host may use, and its part in the ledger.

A seat is used only while the newest known ledger lists this host for it. It is handed
back in order: stop lending it, wait until its connection is closed, then write.
"""

import asyncio
import random
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Self

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
from ..decisions import LedgerView, find_surplus, propose_seats
from ..kernel import Kernel
from ..model import (
    NO_REVISION,
    Change,
    EventKind,
    HolderId,
    HostId,
    HostState,
    PlatformConflict,
    PlatformError,
    PlatformUnavailable,
    RecordKind,
    SeatsRecord,
    Seconds,
    StoredObject,
    UpstreamId,
    holder_host,
    name_holder,
)
from ._tasks import TaskOwner, read_clock

RECONCILE_INTERVAL = Seconds(1)
SETTLE_TIME = Seconds(1.5)  # of heartbeats before seats of an earlier life are used
RELEASE_ATTEMPTS = 10
MAX_JITTER = Seconds(0.2)

Seat = tuple[UpstreamId, int]


class HostSeats(TaskOwner):
    """Hold seats, lend them to connections, and reconcile them with the ledger."""

    def __init__(self, kernel: Kernel, seed: int) -> None:
        super().__init__()
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._catalog = kernel.find(CATALOG)
        self._codec = kernel.find(CODEC)
        self._counters = kernel.find(COUNTERS)
        self._timeline = kernel.find(TIMELINE)
        self._platform = kernel.find(PLATFORM)
        self._own = name_holder(self._identity.host, self._identity.incarnation)
        self._random = random.Random(seed)
        self._held: dict[UpstreamId, frozenset[int]] = {}
        self._retired: set[Seat] = set()
        self._lent: set[Seat] = set()
        self._dead: set[HolderId] = set()
        self._started = Seconds(0)
        self._unsure = False  # whether a write may have taken effect unseen
        self._changed = asyncio.Event()

    def held(self, upstream: UpstreamId) -> frozenset[int]:
        """Return the seats of an upstream that the host may use."""
        return self._held.get(upstream, frozenset())

    def lend(
        self, upstream: UpstreamId, seat: int
    ) -> AbstractContextManager[None] | None:
        """Return what marks a seat as in use while entered, None if it is not held."""
        if seat not in self.held(upstream):
            return None
        return self._mark_lent((upstream, seat))

    async def release_all(self) -> None:
        """Hand every seat back to the ledger, which the host does when it leaves."""
        ledger = self._catalog.seats(self._identity.zone)
        self._retired |= {
            (upstream, seat)
            for upstream, holders in (ledger.seats if ledger else {}).items()
            for seat in range(len(holders))
        }
        self._refresh()
        for _ in range(RELEASE_ATTEMPTS):
            if await self._reconcile() and not self._lent:
                return
            await asyncio.sleep(self._random.uniform(0, MAX_JITTER))

    async def __aenter__(self) -> Self:
        self._started = Seconds(read_clock())
        self._kernel.bus.subscribe(RECORD_CHANGED, self._note_change)
        self._kernel.bus.subscribe(MEMBER_CHANGED, self._note_member)
        self._tasks.spawn(self._keep_reconciling())
        return self

    @contextmanager
    def _mark_lent(self, seat: Seat) -> Iterator[None]:
        self._lent.add(seat)
        try:
            yield
        finally:
            self._lent.discard(seat)
            self._changed.set()

    def _note_change(self, change: Change) -> None:
        if change.kind is RecordKind.SEATS and change.name == self._identity.zone:
            self._refresh()
        if change.kind in {RecordKind.SEATS, RecordKind.UPSTREAM}:
            self._changed.set()

    def _note_member(self, host: HostId) -> None:
        """Remember which holders a proof of death is about.

        Only holders listed before the proof are dead; a later life of the host is not.
        """
        if self._kernel.find(MEMBERS).find_state(host) is HostState.DEAD:
            ledger = self._catalog.seats(self._identity.zone)
            for holders in (ledger.seats if ledger else {}).values():
                self._dead.update(
                    holder
                    for holder in holders
                    if holder and holder_host(holder) == host
                )
        self._changed.set()

    async def _keep_reconciling(self) -> None:
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
        """Bring the ledger closer to what it should be; tell whether it is there."""
        view = self._make_view()
        known = self._catalog.seats(self._identity.zone)
        if known is None and self._catalog.watermark == NO_REVISION:
            return False
        empty = SeatsRecord(zone=self._identity.zone, seats={})
        if not self._kernel.find(LIFECYCLE).is_leaving:
            surplus = find_surplus(known or empty, view)
            self._retired = self._retired | surplus if self._unsure else surplus
            self._refresh()
        if propose_seats(known or empty, view, self._releasable()) == known:
            return True
        try:
            return await self._write_ledger(view)
        except PlatformUnavailable:
            self._counters.add(Metric.PLATFORM_FAILURES, 'seats')
            self._keep_unwritten()
        except PlatformError:
            self._counters.add(Metric.PLATFORM_FAILURES, 'seats unknown')
            self._unsure = True
        return False

    async def _write_ledger(self, view: LedgerView) -> bool:
        zone = self._identity.zone
        stored = await self._platform.read(RecordKind.SEATS.value, zone)
        self._unsure = False
        ledger = SeatsRecord(zone=zone, seats={})
        revision = NO_REVISION
        if stored is not None and stored.content is not None:
            self._catalog.adopt_written(stored)
            revision = stored.revision
            ledger = self._catalog.seats(zone) or ledger
        proposed = propose_seats(ledger, view, self._releasable())
        if proposed == ledger:
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

    def _make_view(self) -> LedgerView:
        zone = self._identity.zone
        live = self._kernel.find(MEMBERS).select(HostState.LIVE, zone)
        if self._kernel.find(LIFECYCLE).is_leaving:
            live -= {self._identity.host}
        upstreams = self._catalog.upstreams_in(zone)
        return LedgerView(
            host=self._identity.host,
            incarnation=self._identity.incarnation,
            live=live,
            dead=frozenset(self._dead),
            slots={record.upstream: record.slots for record in upstreams},
        )

    def _releasable(self) -> set[Seat]:
        return self._retired - self._lent

    def _keep_unwritten(self) -> None:
        """Use seats again that could not be handed back, unless the host leaves."""
        if not self._unsure and not self._kernel.find(LIFECYCLE).is_leaving:
            self._retired.clear()
            self._refresh()

    def _may_inherit(self) -> bool:
        """Tell whether seats of an earlier life may be used before a write says so.

        Without the platform nobody can take them; the wait lets peers learn first
        that the host lives again.
        """
        settled = read_clock() - self._started > SETTLE_TIME
        silence = self._kernel.find(WATCH).measure_platform_silence()
        return settled and silence > SETTLE_TIME

    def _refresh(self) -> None:
        """Derive the seats in use from the newest known ledger."""
        ledger = self._catalog.seats(self._identity.zone)
        listed = {} if ledger is None else ledger.seats
        own = self._list_own(listed)
        self._retired &= own
        for upstream in set(listed) | set(self._held):
            seats = frozenset(
                seat
                for owned, seat in own
                if owned == upstream and (owned, seat) not in self._retired
            )
            if seats != self.held(upstream):
                self._held[upstream] = seats
                self._note_held(upstream, seats)

    def _list_own(
        self, listed: dict[UpstreamId, tuple[HolderId | None, ...]]
    ) -> set[Seat]:
        inherits = self._may_inherit()
        return {
            (upstream, seat)
            for upstream, holders in listed.items()
            for seat, holder in enumerate(holders)
            if holder == self._own
            or (inherits and holder and holder_host(holder) == self._identity.host)
        }

    def _note_held(self, upstream: UpstreamId, seats: frozenset[int]) -> None:
        self._timeline.note(
            EventKind.SEAT, f'holds seats {sorted(seats)}', upstream=upstream
        )
        self._kernel.bus.announce(SEATS_CHANGED, upstream)

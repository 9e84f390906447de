"""What this host saw of each upstream on the data path, and where to send work."""

import random

from ..contracts import CATALOG, IDENTITY, MEMBERS, RECORD_CHANGED
from ..decisions import UpstreamLoad, list_holders
from ..kernel import Kernel
from ..model import (
    Change,
    HostId,
    HostState,
    Reason,
    RecordKind,
    Seconds,
    UpstreamId,
    WorkError,
)
from ._tasks import read_clock

SPREAD = 0.2  # random part of an expected load, so that hosts do not choose alike
AVOID_UPSTREAM = Seconds(0.5)  # after it was unreachable or leaving
AVOID_OWNER = Seconds(0.1)  # after an owner had no seat or no usable one
RETURN_TIME = Seconds(3)  # for which an unusable upstream is waited for
FORGET_WAIT = Seconds(0.2)  # after which an owner's queue is taken to be empty
NO_WAIT = (Seconds(0), Seconds(0))
OWNER_REASONS = frozenset(
    (
        Reason.NOT_OWNER,
        Reason.UPSTREAM_COLD,
        Reason.PEER_REFUSED,
        Reason.PEER_UNREACHABLE,
        Reason.PEER_LOST,
    )
)
UPSTREAM_REASONS = frozenset(
    (Reason.UPSTREAM_UNREACHABLE, Reason.UPSTREAM_LOST, Reason.UPSTREAM_LEAVING)
)
USABLE_STATES = frozenset((HostState.LIVE, HostState.LEAVING, HostState.SILENT))
SILENT_PENALTY = Seconds(10)  # expected of an upstream whose owners are all silent


class HostLoads:
    """Learn from replies, avoid what failed lately, and choose owners."""

    def __init__(self, kernel: Kernel, seed: int) -> None:
        self._host = kernel.find(IDENTITY).host
        self._catalog = kernel.find(CATALOG)
        self._members = kernel.find(MEMBERS)
        self._random = random.Random(seed)
        self._loads: dict[UpstreamId, UpstreamLoad] = {}
        self._holders: dict[UpstreamId, list[HostId]] = {}
        kernel.bus.subscribe(RECORD_CHANGED, self._note_change)
        self._lost: dict[UpstreamId, Seconds] = {}
        self._waits: dict[tuple[UpstreamId, HostId], tuple[Seconds, Seconds]] = {}
        self._avoid: dict[UpstreamId, Seconds] = {}
        self._avoid_owner: dict[tuple[UpstreamId, HostId], Seconds] = {}

    def expect(self, upstream: UpstreamId) -> float | None:
        """Return the seconds that new work is expected to take, None if unusable."""
        record = self._catalog.upstream(upstream)
        owners = self._find_usable_owners(upstream)
        if record is None or not owners:
            return None
        now = Seconds(read_clock())
        expected = self._find(upstream).expect(record.slots, now)
        if self._are_silent(owners):
            expected += SILENT_PENALTY
        return expected * self._random.uniform(1, 1 + SPREAD)

    def is_usable(self, upstream: UpstreamId) -> bool:
        """Tell whether the upstream takes work and somebody is there to send it to."""
        return bool(self._find_usable_owners(upstream))

    def may_return(self, upstream: UpstreamId) -> bool:
        """Tell whether an unusable upstream is worth waiting for.

        It is if operators let it receive work and it became unusable just now, as
        when seats move between hosts or it restarts.
        """
        if not self._is_open(upstream):
            return False
        now = Seconds(read_clock())
        return now - self._lost.setdefault(upstream, now) < RETURN_TIME

    def choose_owner(self, upstream: UpstreamId) -> HostId | None:
        """Return the host to send work for an upstream to."""
        owners = self._find_owners(upstream)
        if len(owners) == 1:
            return owners[0]
        return min(owners, key=lambda host: self._rank(upstream, host), default=None)

    def note_sent(self, upstream: UpstreamId) -> None:
        """Count work that was sent."""
        self._find(upstream).outstanding += 1

    def note_ended(
        self, upstream: UpstreamId, owner: HostId, took: Seconds, wait: Seconds
    ) -> None:
        """Count work that was answered."""
        now = Seconds(read_clock())
        load = self._find(upstream)
        load.outstanding -= 1
        load.note_reply(took, wait, now)
        self._lost.pop(upstream, None)
        self._waits[upstream, owner] = (wait, now)

    def note_failed(
        self, upstream: UpstreamId, owner: HostId, error: WorkError
    ) -> None:
        """Count work that failed, and avoid what made it fail for a while."""
        self._find(upstream).outstanding -= 1
        now = read_clock()
        if error.reason in OWNER_REASONS:
            self._avoid_owner[upstream, owner] = Seconds(now + AVOID_OWNER)
        if error.reason in UPSTREAM_REASONS:
            self._avoid[upstream] = Seconds(now + AVOID_UPSTREAM)

    def note_dropped(self, upstream: UpstreamId, lasted: Seconds) -> None:
        """Count work that is no longer waited for, with the time that it had lasted."""
        load = self._find(upstream)
        load.outstanding -= 1
        load.note_reply(lasted, load.wait, Seconds(read_clock()))

    def _find_owners(self, upstream: UpstreamId) -> list[HostId]:
        """Return the holders of seats that live and did not fail lately."""
        holders = self._holders.get(upstream)
        if holders is None:
            record = self._catalog.upstream(upstream)
            ledger = self._catalog.seats(record.zone) if record else None
            holders = list_holders(ledger, upstream)
            self._holders[upstream] = holders
        now = read_clock()
        return [
            host
            for host in holders
            if self._avoid_owner.get((upstream, host), now) <= now
            and self._members.find_state(host) in USABLE_STATES
        ]

    def _are_silent(self, owners: list[HostId]) -> bool:
        """Tell whether no owner was heard of lately; then others are asked first."""
        return all(
            self._members.find_state(host) is HostState.SILENT for host in owners
        )

    def _is_open(self, upstream: UpstreamId) -> bool:
        """Tell whether operators let an upstream receive work."""
        record = self._catalog.upstream(upstream)
        return record is not None and self._catalog.explain_exclusion(record) is None

    def _find_usable_owners(self, upstream: UpstreamId) -> list[HostId]:
        """Return the owners to send work to, none if the upstream takes none."""
        now = read_clock()
        if not self._is_open(upstream) or self._avoid.get(upstream, now) > now:
            return []
        return self._find_owners(upstream)

    def _note_change(self, change: Change) -> None:
        if change.kind in {RecordKind.SEATS, RecordKind.UPSTREAM}:
            self._holders.clear()
            self._avoid_owner.clear()

    def _rank(self, upstream: UpstreamId, host: HostId) -> tuple[float, bool, float]:
        """Order owners by the wait they last told of, this host first among equals."""
        if self._members.find_state(host) is HostState.SILENT:
            return SILENT_PENALTY, True, self._random.random()
        wait, told = self._waits.get((upstream, host), NO_WAIT)
        if read_clock() - told > FORGET_WAIT:
            wait = Seconds(0)
        return wait, host != self._host, self._random.random()

    def _find(self, upstream: UpstreamId) -> UpstreamLoad:
        if upstream not in self._loads:
            self._loads[upstream] = UpstreamLoad()
        return self._loads[upstream]

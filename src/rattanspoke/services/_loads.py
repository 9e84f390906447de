"""Load and availability of upstreams as seen by this host, and the choice of owners."""

import random

from ..contracts import CATALOG, IDENTITY, MEMBERS, RECORD_CHANGED
from ..decisions import UpstreamLoad, list_owners
from ..kernel import Kernel
from ..model import (
    HostId,
    HostState,
    Reason,
    RecordChange,
    RecordKind,
    Seconds,
    UpstreamId,
    WorkError,
)
from ._tasks import read_clock

LOAD_JITTER = 0.2  # random part of an expected load, so that hosts choose differently
UPSTREAM_AVOID_TIME = Seconds(0.5)  # after it was unreachable, lost or draining
OWNER_AVOID_TIME = Seconds(0.1)  # after it had no usable seat or could not be reached
RECOVERY_TIME = Seconds(3)  # for which an unusable upstream may be usable again soon
WAIT_EXPIRY = Seconds(0.2)  # after which a reported queue is assumed to be empty
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
    (Reason.UPSTREAM_UNREACHABLE, Reason.UPSTREAM_LOST, Reason.UPSTREAM_DRAINING)
)
USABLE_STATES = frozenset((HostState.LIVE, HostState.LEAVING, HostState.SILENT))
SILENT_PENALTY = Seconds(10)  # added for an upstream whose owners are all silent


class HostUpstreamLoads:
    """Track loads from replies, avoid recently failed upstreams, and choose owners."""

    def __init__(self, kernel: Kernel, seed: int) -> None:
        self._host = kernel.find(IDENTITY).host
        self._catalog = kernel.find(CATALOG)
        self._members = kernel.find(MEMBERS)
        self._random = random.Random(seed)
        self._loads: dict[UpstreamId, UpstreamLoad] = {}
        self._holders: dict[UpstreamId, list[HostId]] = {}
        kernel.bus.subscribe(RECORD_CHANGED, self._note_change)
        self._unusable_since: dict[UpstreamId, Seconds] = {}
        self._reported_waits: dict[
            tuple[UpstreamId, HostId], tuple[Seconds, Seconds]
        ] = {}
        self._avoid_until: dict[UpstreamId, Seconds] = {}
        self._avoid_owner_until: dict[tuple[UpstreamId, HostId], Seconds] = {}

    def expect(self, upstream: UpstreamId) -> float | None:
        """Return the expected seconds until new work is answered, None if unusable."""
        record = self._catalog.upstream(upstream)
        owners = self._find_usable_owners(upstream)
        if record is None or not owners:
            return None
        now = Seconds(read_clock())
        expected = self._find_load(upstream).expect(record.slots, now)
        if self._are_all_silent(owners):
            expected += SILENT_PENALTY
        return expected * self._random.uniform(1, 1 + LOAD_JITTER)

    def is_usable(self, upstream: UpstreamId) -> bool:
        """Return whether the upstream accepts work and has a reachable owner."""
        return bool(self._find_usable_owners(upstream))

    def may_recover(self, upstream: UpstreamId) -> bool:
        """Return whether an unusable upstream is likely to be usable again soon.

        That is so if operators have not taken it out of service and it has been found
        unusable only for a short time, as while its seats move between hosts or it
        restarts.
        """
        if not self._is_in_service(upstream):
            return False
        now = Seconds(read_clock())
        return now - self._unusable_since.setdefault(upstream, now) < RECOVERY_TIME

    def choose_owner(self, upstream: UpstreamId) -> HostId | None:
        """Return the owner to send work for an upstream to, None if there is none."""
        owners = self._find_owners(upstream)
        if len(owners) == 1:
            return owners[0]
        return min(owners, key=lambda host: self._rank(upstream, host), default=None)

    def note_sent(self, upstream: UpstreamId) -> None:
        """Count work that was sent to the upstream."""
        self._find_load(upstream).outstanding += 1

    def note_ended(
        self, upstream: UpstreamId, owner: HostId, took: Seconds, wait: Seconds
    ) -> None:
        """Count work that the upstream ran.

        Args:
            upstream: the upstream that ran it.
            owner: the host through which it was sent.
            took: seconds from sending the work to its reply.
            wait: seconds that new work would spend in the owner's queue.
        """
        now = Seconds(read_clock())
        load = self._find_load(upstream)
        load.outstanding -= 1
        load.note_reply(took, wait, now)
        self._unusable_since.pop(upstream, None)
        self._reported_waits[upstream, owner] = (wait, now)

    def note_failed(
        self, upstream: UpstreamId, owner: HostId, error: WorkError
    ) -> None:
        """Count work that failed; avoid the owner or upstream at fault for a while."""
        self._find_load(upstream).outstanding -= 1
        now = read_clock()
        if error.reason in OWNER_REASONS:
            self._avoid_owner_until[upstream, owner] = Seconds(now + OWNER_AVOID_TIME)
        if error.reason in UPSTREAM_REASONS:
            self._avoid_until[upstream] = Seconds(now + UPSTREAM_AVOID_TIME)

    def note_dropped(self, upstream: UpstreamId, lasted: Seconds) -> None:
        """Count work that was cancelled.

        Args:
            upstream: the upstream that it was sent to.
            lasted: seconds from sending the work to its cancellation.
        """
        load = self._find_load(upstream)
        load.outstanding -= 1
        load.note_reply(lasted, load.wait, Seconds(read_clock()))

    def _find_owners(self, upstream: UpstreamId) -> list[HostId]:
        """Return the upstream's owners that are reachable and did not fail recently."""
        holders = self._holders.get(upstream)
        if holders is None:
            record = self._catalog.upstream(upstream)
            assignment = self._catalog.seats(record.zone) if record else None
            holders = list_owners(assignment, upstream)
            self._holders[upstream] = holders
        now = read_clock()
        return [
            host
            for host in holders
            if self._avoid_owner_until.get((upstream, host), now) <= now
            and self._members.find_state(host) in USABLE_STATES
        ]

    def _are_all_silent(self, owners: list[HostId]) -> bool:
        """Return whether all owners are silent, which selection avoids if it can."""
        return all(
            self._members.find_state(host) is HostState.SILENT for host in owners
        )

    def _is_in_service(self, upstream: UpstreamId) -> bool:
        """Return whether operators have left an upstream in service."""
        record = self._catalog.upstream(upstream)
        return record is not None and self._catalog.explain_exclusion(record) is None

    def _find_usable_owners(self, upstream: UpstreamId) -> list[HostId]:
        """Return the owners to send work to, none if the upstream accepts no work."""
        now = read_clock()
        if (
            not self._is_in_service(upstream)
            or self._avoid_until.get(upstream, now) > now
        ):
            return []
        return self._find_owners(upstream)

    def _note_change(self, change: RecordChange) -> None:
        if change.kind in {RecordKind.SEATS, RecordKind.UPSTREAM}:
            self._holders.clear()
            self._avoid_owner_until.clear()

    def _rank(self, upstream: UpstreamId, host: HostId) -> tuple[float, bool, float]:
        """Rank an owner by the queueing time that it last reported.

        This host goes first among equals. A report expires after WAIT_EXPIRY.
        """
        if self._members.find_state(host) is HostState.SILENT:
            return SILENT_PENALTY, True, self._random.random()
        wait, reported_at = self._reported_waits.get((upstream, host), NO_WAIT)
        if read_clock() - reported_at > WAIT_EXPIRY:
            wait = Seconds(0)
        return wait, host != self._host, self._random.random()

    def _find_load(self, upstream: UpstreamId) -> UpstreamLoad:
        if upstream not in self._loads:
            self._loads[upstream] = UpstreamLoad()
        return self._loads[upstream]

"""Who may use which slot of an upstream: proposals for the next seats record.

A seat stands for one slot and one connection of one upstream. The record lists at
most one holder for each seat, only its holder or proof of the holder's death frees
it, and each write is conditional on the revision that was read. The sum over all
hosts therefore never passes the upstream's limit, whatever each host believes.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from ..model import (
    HolderId,
    HostId,
    Incarnation,
    SeatsRecord,
    UpstreamId,
    holder_host,
    name_holder,
)
from ._rendezvous import rank_hosts

OWNERS_PER_UPSTREAM = 2

Holders = tuple[HolderId | None, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SeatAssignmentView:
    """What a host believes when it proposes a change.

    Attributes:
        host: the host that proposes.
        incarnation: its life; it takes over the seats of its earlier lives, since
            no two processes can listen at one address.
        live: hosts of the zone that may hold seats.
        dead: holders that are proven to be gone.
        slots: the seats that each upstream of the zone has.
    """

    host: HostId
    incarnation: Incarnation
    live: frozenset[HostId]
    dead: frozenset[HolderId]
    slots: Mapping[UpstreamId, int]


def choose_owners(upstream: UpstreamId, live: Collection[HostId]) -> list[HostId]:
    """Return the hosts that should share an upstream's seats, best first."""
    return rank_hosts(upstream, live)[:OWNERS_PER_UPSTREAM]


def find_surplus(
    record: SeatsRecord, view: SeatAssignmentView
) -> set[tuple[UpstreamId, int]]:
    """Return the seats that the host holds and another live host should have."""
    return {
        (upstream, seat)
        for upstream, holders in record.seats.items()
        for seat, holder in enumerate(holders)
        if _is_own(holder, view) and not _is_assigned(upstream, seat, view)
    }


def propose_seats(
    record: SeatsRecord,
    view: SeatAssignmentView,
    released: Collection[tuple[UpstreamId, int]],
) -> SeatsRecord:
    """Return the record with released seats freed and wanted free seats taken.

    Args:
        record: the newest record, whose revision the write must be conditional on.
        view: what the proposing host believes.
        released: seats that the host has already stopped using.
    """
    seats: dict[UpstreamId, Holders] = {}
    for upstream in sorted(set(record.seats) | set(view.slots)):
        holders = _free_seats(upstream, record.seats.get(upstream, ()), view, released)
        holders = _resize(holders, view.slots.get(upstream, 0))
        if holders:
            seats[upstream] = _assign_free_seats(upstream, holders, view)
    return SeatsRecord(zone=record.zone, seats=seats)


def list_owners(record: SeatsRecord | None, upstream: UpstreamId) -> list[HostId]:
    """Return the hosts that hold seats of an upstream, the first seat's first."""
    if record is None:
        return []
    holders = record.seats.get(upstream, ())
    return list(
        dict.fromkeys(holder_host(holder) for holder in holders if holder is not None)
    )


def _is_assigned(upstream: UpstreamId, seat: int, view: SeatAssignmentView) -> bool:
    if seat >= view.slots.get(upstream, 0):
        return False
    owners = choose_owners(upstream, view.live)
    return not owners or owners[seat % len(owners)] == view.host


def _is_own(holder: HolderId | None, view: SeatAssignmentView) -> bool:
    return holder is not None and holder_host(holder) == view.host


def _free_seats(
    upstream: UpstreamId,
    holders: Holders,
    view: SeatAssignmentView,
    released: Collection[tuple[UpstreamId, int]],
) -> Holders:
    remaining: list[HolderId | None] = []
    for seat, holder in enumerate(holders):
        if _is_own(holder, view):
            kept = (upstream, seat) not in released
            remaining.append(name_holder(view.host, view.incarnation) if kept else None)
        else:
            remaining.append(None if holder in view.dead else holder)
    return tuple(remaining)


def _resize(holders: Holders, slots: int) -> Holders:
    """Add free seats, or drop free ones from the end; a held seat stays."""
    if len(holders) < slots:
        return holders + (None,) * (slots - len(holders))
    while len(holders) > slots and holders[-1] is None:
        holders = holders[:-1]
    return holders


def _assign_free_seats(
    upstream: UpstreamId, holders: Holders, view: SeatAssignmentView
) -> Holders:
    owners = choose_owners(upstream, view.live)
    if view.host not in owners:
        return holders
    own = name_holder(view.host, view.incarnation)
    return tuple(
        own if holder is None and owners[seat % len(owners)] == view.host else holder
        for seat, holder in enumerate(holders)
    )

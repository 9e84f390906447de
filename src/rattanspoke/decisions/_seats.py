"""Seat assignment: which host may use which slot of an upstream.

A seat is a concurrency permit held by a host: the right to use one slot of one upstream
over one connection. The seat assignment record of an availability zone lists at most
one holder for each seat. A seat is freed only by its holder or by proof that the holder
is dead, and each write of the record is a compare-and-set on the revision that was
read. All hosts together therefore never exceed the limit of an upstream, even when
they disagree on which hosts are alive.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from ..model import (
    HolderId,
    HostId,
    Incarnation,
    SeatAssignmentRecord,
    UpstreamId,
    make_holder_id,
    parse_holder_host,
)
from ._rendezvous import rank_hosts

OWNERS_PER_UPSTREAM = 2

Holders = tuple[HolderId | None, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SeatAssignmentView:
    """One host's view of its availability zone, on which it bases a proposal.

    Attributes:
        host: the host that proposes a change.
        incarnation: its incarnation. It takes over the seats of its earlier
            incarnations, which cannot be running any more, because only one process
            can listen at the host's address.
        live: hosts of the zone that may hold seats.
        dead: holders that are proven to be dead.
        slots: the number of seats of each upstream of the zone.
    """

    host: HostId
    incarnation: Incarnation
    live: frozenset[HostId]
    dead: frozenset[HolderId]
    slots: Mapping[UpstreamId, int]


def choose_owners(upstream: UpstreamId, live: Collection[HostId]) -> list[HostId]:
    """Return the hosts that should own an upstream's seats, the first seat's first.

    Rendezvous hashing gives the same result on every host that sees the same live
    hosts, and changes it for few upstreams when a host joins or leaves.
    """
    return rank_hosts(upstream, live)[:OWNERS_PER_UPSTREAM]


def find_surplus(
    record: SeatAssignmentRecord, view: SeatAssignmentView
) -> set[tuple[UpstreamId, int]]:
    """Return the seats that the host holds and should release.

    They should belong to another live host, or their upstream no longer has the slot.
    """
    return {
        (upstream, seat)
        for upstream, holders in record.seats.items()
        for seat, holder in enumerate(holders)
        if _is_own(holder, view) and not _is_assigned(upstream, seat, view)
    }


def propose_seats(
    record: SeatAssignmentRecord,
    view: SeatAssignmentView,
    released: Collection[tuple[UpstreamId, int]],
) -> SeatAssignmentRecord:
    """Return the next seat assignment record that a host proposes.

    In it, seats that the host released and seats of dead holders are free, and the host
    holds the free seats that are assigned to it.

    Args:
        record: the newest record; the write must be conditional on its revision.
        view: the proposing host's view of its zone.
        released: seats that the host has already stopped using.
    """
    seats: dict[UpstreamId, Holders] = {}
    for upstream in sorted(set(record.seats) | set(view.slots)):
        holders = _free_seats(upstream, record.seats.get(upstream, ()), view, released)
        holders = _resize(holders, view.slots.get(upstream, 0))
        if holders:
            seats[upstream] = _assign_free_seats(upstream, holders, view)
    return SeatAssignmentRecord(zone=record.zone, seats=seats)


def list_owners(
    record: SeatAssignmentRecord | None, upstream: UpstreamId
) -> list[HostId]:
    """Return the owners of an upstream: the hosts that hold its seats, in seat order.

    Args:
        record: the seat assignment record of the upstream's zone, None if it has none.
        upstream: the upstream.
    """
    if record is None:
        return []
    holders = record.seats.get(upstream, ())
    return list(
        dict.fromkeys(
            parse_holder_host(holder) for holder in holders if holder is not None
        )
    )


def _is_assigned(upstream: UpstreamId, seat: int, view: SeatAssignmentView) -> bool:
    if seat >= view.slots.get(upstream, 0):
        return False
    owners = choose_owners(upstream, view.live)
    return not owners or owners[seat % len(owners)] == view.host


def _is_own(holder: HolderId | None, view: SeatAssignmentView) -> bool:
    return holder is not None and parse_holder_host(holder) == view.host


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
            remaining.append(
                make_holder_id(view.host, view.incarnation) if kept else None
            )
        else:
            remaining.append(None if holder in view.dead else holder)
    return tuple(remaining)


def _resize(holders: Holders, slots: int) -> Holders:
    """Add free seats, or remove free seats from the end; a held seat stays."""
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
    own = make_holder_id(view.host, view.incarnation)
    return tuple(
        own if holder is None and owners[seat % len(owners)] == view.host else holder
        for seat, holder in enumerate(holders)
    )

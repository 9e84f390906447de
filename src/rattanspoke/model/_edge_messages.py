"""Messages between hosts on the users' platform: heartbeats and state updates."""

from dataclasses import dataclass

from ._ids import HostId, Revision, Seconds, ZoneId
from ._records import StoredObject
from ._registrations import StateKind


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgeHeartbeat:
    """Periodic message that shows that a host is alive and how recent its state is.

    Attributes:
        host: the sender.
        zone: the availability zone of the sender.
        revisions: for each kind of state, the revision up to which the sender has every
            change.
        store_age: seconds since the sender, or a peer that it hears, last had a reply
            of the store.
        is_leaving: whether the sender is shutting down.
        others: some other hosts that the sender knows, with their zones.
        gone: hosts that were recently found gone, for receivers that exchange no
            heartbeats with them.
        is_blind: whether the sender's last call to the store failed.
    """

    host: HostId
    zone: ZoneId
    revisions: dict[StateKind, Revision]
    store_age: Seconds
    is_leaving: bool = False
    others: tuple[tuple[HostId, ZoneId], ...] = ()
    gone: tuple[HostId, ...] = ()
    is_blind: bool = False


@dataclass(frozen=True, slots=True)
class StatePull:
    """Request to a peer for the changes of a kind of state after a revision."""

    kind: StateKind
    after: Revision


@dataclass(frozen=True, slots=True, kw_only=True)
class StateUpdate:
    """Changes of a kind of state after a revision, or a snapshot of all its objects.

    Attributes:
        after: the revision after which the changes begin.
        until: the revision up to which every change is included.
        objects: the changed objects with deletions as tombstones, or all objects.
        is_whole: whether this is a snapshot.
    """

    kind: StateKind
    after: Revision
    until: Revision
    objects: tuple[StoredObject, ...]
    is_whole: bool = False

"""Messages by which hosts pass the shared state on to each other."""

from dataclasses import dataclass

from ._ids import HostId, Revision, Seconds, ZoneId
from ._records import StoredObject
from ._registrations import StateKind


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgeHeartbeat:
    """Tell a peer that this host lives, and how much of the shared state it knows.

    Attributes:
        revisions: the revision up to which each kind is known here.
        store_age: seconds since the store was heard, here or through peers.
        is_leaving: whether this host was told to stop.
        others: some other hosts that this one knows.
        gone: hosts that were found gone lately, for those that have no link to them.
        is_blind: whether the store failed this host when it was last asked.
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
    """Ask a peer for what changed of a kind after a revision."""

    kind: StateKind
    after: Revision


@dataclass(frozen=True, slots=True, kw_only=True)
class StateUpdate:
    """Changes of a kind after a revision, or all of it.

    Attributes:
        until: every change up to this revision is in.
        is_whole: whether these are all objects of the kind, not changes.
    """

    kind: StateKind
    after: Revision
    until: Revision
    objects: tuple[StoredObject, ...]
    is_whole: bool = False

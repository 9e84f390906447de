"""Messages between hosts on the users' platform: heartbeats and state updates."""

from dataclasses import dataclass
from typing import TypeAlias

from ._ids import Fingerprint, HostId, Revision, Seconds, ZoneId
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
        is_blind: whether the sender's last call to the store failed.
        is_follower: whether the sender wants the receiver's state updates.
        hears_other_zones: whether the sender hears hosts of other zones itself.
        roster: the digest of the roster that the sender has for the receiver.
    """

    host: HostId
    zone: ZoneId
    revisions: dict[StateKind, Revision]
    store_age: Seconds
    is_leaving: bool = False
    is_blind: bool = False
    is_follower: bool = False
    hears_other_zones: bool = False
    roster: int = 0


@dataclass(frozen=True, slots=True)
class RosterPull:
    """Request to a peer for the hosts that it knows.

    Attributes:
        is_whole: whether all of them are asked for. Otherwise the answer is the roster
            that the peer's heartbeats announce.
    """

    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class FleetRoster:
    """Hosts of the fleet, by availability zone."""

    zones: dict[ZoneId, tuple[HostId, ...]]


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


@dataclass(frozen=True, slots=True)
class SuspectsPull:
    """Request to a peer for the requests that it suspects of crashing upstreams."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspectRecord:
    """What a host knows of one request that is suspected of crashing upstreams.

    Attributes:
        fingerprint: the digest of the request.
        crashes: the crashes that it is blamed for.
        moments: the number of these crashes, those of one moment counted once.
        crash_age: seconds since the last of them.
        moment_age: seconds since the first one of the last moment.
    """

    fingerprint: Fingerprint
    crashes: tuple[str, ...]
    moments: int
    crash_age: Seconds
    moment_age: Seconds


@dataclass(frozen=True, slots=True)
class SuspectList:
    """The newest suspects of a host.

    Attributes:
        suspects: the suspects.
        blamed: all requests that are blamed, for each crash of a suspect.
    """

    suspects: tuple[SuspectRecord, ...]
    blamed: dict[str, tuple[Fingerprint, ...]]


EdgeMessage: TypeAlias = (
    EdgeHeartbeat
    | StatePull
    | StateUpdate
    | RosterPull
    | FleetRoster
    | SuspectsPull
    | SuspectList
)

"""Records that operators write; frozen values already checked at the border."""

from dataclasses import dataclass, field
from typing import TypeAlias

from ._ids import (
    HolderId,
    IndexVersion,
    OrganisationId,
    Revision,
    Seconds,
    ServiceId,
    ShardId,
    UpstreamId,
    ZoneId,
)
from ._policy import CoverageFirst, Policy
from ._states import RecordKind, UpstreamState, ZoneState


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneRecord:
    """An availability zone and whether it may receive work."""

    zone: ZoneId
    state: ZoneState = ZoneState.IN_SERVICE


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRecord:
    """A service whose index can be searched or which takes bookings."""

    service: ServiceId
    accepts_bookings: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRecord:
    """A server of a service: where it is and what it bears.

    Attributes:
        slots: calls it runs at once.
        connections: connections it accepts at once.
        cold_slots: calls it bears at once right after a start.
        ramp: seconds from its first reply until it bears all its slots.
        batch: sub-requests that it takes in one call.
    """

    upstream: UpstreamId
    service: ServiceId
    zone: ZoneId
    address: str
    slots: int
    connections: int
    cold_slots: int = 1
    ramp: Seconds = Seconds(5)
    batch: int = 8
    state: UpstreamState = UpstreamState.IN_SERVICE


@dataclass(frozen=True, slots=True, kw_only=True)
class OrganisationRecord:
    """A organisation: how it proves who it is, what it may use and what it weighs.

    Attributes:
        token_digest: SHA-256 of its bearer token in hexadecimal.
        priority: class of its work on every queue; a lower number goes first.
        queries_per_second: sustained rate summed over all hosts.
        burst: seconds of that rate which it may use at once.
        services: services it may use; empty means all.
    """

    organisation: OrganisationId
    token_digest: str
    priority: int = 1
    queries_per_second: float = 50
    burst: Seconds = Seconds(2)
    services: frozenset[ServiceId] = frozenset()
    policy: Policy = field(default_factory=CoverageFirst)


@dataclass(frozen=True, slots=True)
class ShardMap:
    """One version of an index and the upstreams that hold each of its shards."""

    version: IndexVersion
    shards: dict[ShardId, tuple[UpstreamId, ...]]


@dataclass(frozen=True, slots=True, kw_only=True)
class IndexRecord:
    """The versions of a service's index that upstreams hold now."""

    service: ServiceId
    versions: tuple[ShardMap, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SeatAssignmentRecord:
    """Who may use each slot of each upstream of a zone; the tier writes it itself."""

    zone: ZoneId
    seats: dict[UpstreamId, tuple[HolderId | None, ...]]


Record: TypeAlias = (
    ZoneRecord
    | ServiceRecord
    | UpstreamRecord
    | OrganisationRecord
    | IndexRecord
    | SeatAssignmentRecord
)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """An object as the platform keeps it; a deleted one has no content."""

    kind: str
    name: str
    revision: Revision
    content: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordStatus:
    """What became of an object that an operator wrote.

    Attributes:
        revision: the revision that the verdict is about.
        reason: why it is not in force; empty when it is.
    """

    revision: Revision
    reason: str = ''


@dataclass(frozen=True, slots=True)
class RecordChange:
    """A record that came into force, or left it when there is none."""

    kind: RecordKind
    name: str
    revision: Revision
    record: Record | None

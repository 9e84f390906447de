"""Configuration records that operators write; they are validated when decoded."""

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
    """An availability zone, and whether its upstreams may receive work."""

    zone: ZoneId
    state: ZoneState = ZoneState.IN_SERVICE


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRecord:
    """A service that can be searched or that accepts bookings.

    Attributes:
        accepts_bookings: whether callers may send it bookings.
    """

    service: ServiceId
    accepts_bookings: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRecord:
    """An upstream of a service: its address and its capacity.

    Attributes:
        address: where it accepts calls, as host:port.
        slots: calls that it runs concurrently.
        connections: connections that it accepts concurrently.
        cold_slots: calls that it runs concurrently right after a start.
        ramp: seconds from its first reply until all its slots may be used.
        batch: sub-requests that it accepts in one call; only one until it is warm.
        state: whether it may receive work.
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
    """An organisation: its credentials, access, quota and policy.

    Attributes:
        token_digest: SHA-256 of its bearer token in lower-case hexadecimal.
        priority: class of its work in every queue; a lower number goes first.
        queries_per_second: sustained rate of requests over all hosts.
        burst: size of a burst, in seconds of that rate.
        services: services that it may use; empty means all.
        policy: its choice between low tail latency and full coverage.
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
    """The versions of a service's index that its upstreams hold."""

    service: ServiceId
    versions: tuple[ShardMap, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SeatAssignmentRecord:
    """The holder of each seat of each upstream of a zone; written by the hosts.

    A seat is a concurrency permit: the right to use one slot of an upstream over one
    connection.

    Attributes:
        seats: for each upstream the holders of its seats in order, None if free.
    """

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
    """An object as stored on the platform; a deleted object has no content."""

    kind: str
    name: str
    revision: Revision
    content: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordStatus:
    """Whether a record that an operator wrote is in force.

    Attributes:
        revision: the revision to which the status applies.
        reason: why the record is not in force, empty if it is.
    """

    revision: Revision
    reason: str = ''


@dataclass(frozen=True, slots=True)
class RecordChange:
    """A change of the records in force on a host.

    Attributes:
        record: the record that came into force, None if it was removed.
    """

    kind: RecordKind
    name: str
    revision: Revision
    record: Record | None

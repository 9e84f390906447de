"""The desired state that operators accept: routes, services and limits on callers."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import TypeAlias

from ._ids import Revision, RouteId, Seconds, ServiceId


@unique
class Idempotency(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'


@dataclass(frozen=True, slots=True)
class OneService:
    """Send each request to one upstream of a service."""

    service: ServiceId


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a split, relative to the other weights."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class WeightedServices:
    """Send each request to one of several services, in the proportion of weights."""

    choices: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class ShardSet:
    """Send each request to one upstream of every shard and merge their records.

    Attributes:
        shards: the services that hold a shard each.
        record_limit: records of a merged answer at most.
        least_coverage: share of the shards below which an answer is not a success.
    """

    shards: tuple[ServiceId, ...]
    record_limit: int
    min_coverage: float


Destination: TypeAlias = OneService | WeightedServices | ShardSet


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where requests go whose host name and path match, and what they may cost.

    Attributes:
        authority: the host name that callers ask for, in lower case.
        prefix: the beginning of the path; it begins and ends with a slash.
        time_limit: seconds that a caller is kept waiting at most.
        objective: seconds within which an answer is of full use to the caller.
        attempt_limit: upstreams of one service that a request may be sent to.
        priority: rank under load; zero goes first.
        regions: where requests may be sent, every region when empty.
    """

    route: RouteId
    authority: str
    prefix: str
    destination: Destination
    idempotency: Idempotency
    time_limit: Seconds
    objective: Seconds
    attempt_limit: int = 1
    priority: int = 0
    regions: frozenset[str] = frozenset()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.idempotency is Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceTraits:
    """What an upstream of a service bears.

    Attributes:
        connection_limit: connections that one upstream accepts from all hosts.
        cold_time: seconds for which an upstream is cold after a start.
        cold_rate: requests a second that a cold upstream bears; zero for no limit.
    """

    service: ServiceId
    connection_limit: int
    cold_time: Seconds = Seconds(0)
    cold_rate: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_time: Seconds
    idle_time: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class DesiredState:
    """One accepted version of the configuration, whole.

    Attributes:
        version: the operators' number; it rises in uneven steps.
        revision: that of the store's object which holds it.
    """

    version: int
    revision: Revision
    routes: tuple[Route, ...]
    services: Mapping[ServiceId, ServiceTraits]
    limits: CallerLimits


@dataclass(frozen=True, slots=True, eq=False)
class PendingRequest:
    """A request that waits for room at some upstream of a service.

    Attributes:
        answer_by: when its answer goes out to be in time.
        give_up_at: when waiting ends, on the loop's clock.
    """

    route: Route
    answer_by: Seconds
    give_up_at: Seconds

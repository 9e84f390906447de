"""The desired state that operators write: routes, services and limits on callers."""

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
    """A service and its share of the requests, relative to the other weights."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class WeightedServices:
    """Send each request to one of several services, in proportion to their weights."""

    choices: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class ShardSet:
    """Send each request to one upstream of every shard and merge their records.

    Attributes:
        shards: the services, each of which holds one shard.
        record_limit: maximum number of records in a merged answer.
        min_coverage: fraction of the shards that an answer must cover to be a success.
    """

    shards: tuple[ServiceId, ...]
    record_limit: int
    min_coverage: float


Destination: TypeAlias = OneService | WeightedServices | ShardSet


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Destination and limits of the requests whose host name and path match.

    Attributes:
        authority: the host name that callers request, in lower case.
        prefix: the beginning of the path; it begins and ends with a slash.
        time_limit: maximum seconds that a caller waits for an answer.
        objective: latency objective: seconds within which an answer is of full use to
            the caller.
        attempt_limit: maximum number of upstreams of one service that a request is
            sent to.
        priority: order under load; zero goes first.
        regions: regions to which requests may be sent, empty for all.
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
    """Capacity of each upstream of a service.

    Attributes:
        connection_limit: connections that one upstream accepts from all hosts together.
        cold_time: seconds for which an upstream is cold after a start.
        cold_rate: requests per second that a cold upstream may get; zero for no limit.
    """

    service: ServiceId
    connection_limit: int
    cold_time: Seconds = Seconds(0)
    cold_rate: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes:
        header_bytes: maximum size of the headers of a request.
        body_bytes: maximum size of the body of a request.
        header_time: maximum seconds until the headers are received.
        idle_time: maximum seconds that a connection stays open without a request.
    """

    header_bytes: int
    body_bytes: int
    header_time: Seconds
    idle_time: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class DesiredState:
    """One complete version of the configuration.

    Attributes:
        version: number set by the operators; it increases, but may skip numbers.
        revision: revision of the stored object that holds it.
    """

    version: int
    revision: Revision
    routes: tuple[Route, ...]
    services: Mapping[ServiceId, ServiceTraits]
    limits: CallerLimits


@dataclass(frozen=True, slots=True, eq=False)
class PendingRequest:
    """A request that waits for capacity at an upstream of a service.

    Times are on the clock of the event loop.

    Attributes:
        answer_by: time by which it must be answered to meet its latency objective.
        give_up_at: time at which it stops waiting.
    """

    route: Route
    answer_by: Seconds
    give_up_at: Seconds

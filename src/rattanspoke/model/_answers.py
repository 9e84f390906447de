"""Searches and bookings of callers and their results, independent of any encoding."""

from dataclasses import dataclass, field

from ._ids import (
    IdempotencyKey,
    IndexVersion,
    OrganisationId,
    RequestId,
    Seconds,
    ServiceId,
    ShardId,
)
from ._messages import Hit
from ._states import Outcome, Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class Search:
    """A caller's search.

    Attributes:
        limit: maximum number of hits in the answer.
        budget: seconds until the caller's deadline.
        urgency: set by the caller; a higher one goes first, but only among the work
            of the same organisation.
    """

    request: RequestId
    organisation: OrganisationId
    service: ServiceId
    query: str
    limit: int
    budget: Seconds
    urgency: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The merged hits of a search.

    Attributes:
        version: the index version that all hits come from.
        covered: shards whose hits are included.
        missing: shards whose hits are not, with the reasons.
    """

    request: RequestId
    service: ServiceId
    version: IndexVersion
    hits: tuple[Hit, ...]
    covered: tuple[ShardId, ...]
    missing: dict[ShardId, Reason] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Booking:
    """A caller's non-idempotent request.

    Attributes:
        key: identifies the booking, so that it runs at most once if it is sent again.
        budget: seconds until the caller's deadline.
        urgency: set by the caller; a higher one goes first, but only among the work
            of the same organisation.
    """

    request: RequestId
    organisation: OrganisationId
    service: ServiceId
    key: IdempotencyKey
    content: str
    budget: Seconds
    urgency: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Receipt:
    """The result of a booking.

    Attributes:
        outcome: whether an upstream ran the booking.
        reference: the upstream's reference for the booking, empty unless it ran.
        repeated: whether an earlier request with the same key ran the booking.
    """

    request: RequestId
    outcome: Outcome
    reason: Reason
    reference: str
    repeated: bool = False

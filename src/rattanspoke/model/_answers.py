"""What callers send and receive, free of any encoding."""

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
        budget: seconds within which the caller wants the answer.
        urgency: the caller's claim; it counts only within its organisation's share.
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
    """The merged hits of one index version and the shards they come from."""

    request: RequestId
    service: ServiceId
    version: IndexVersion
    hits: tuple[Hit, ...]
    covered: tuple[ShardId, ...]
    missing: dict[ShardId, Reason] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Booking:
    """A caller's non-idempotent request."""

    request: RequestId
    organisation: OrganisationId
    service: ServiceId
    key: IdempotencyKey
    content: str
    budget: Seconds
    urgency: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Receipt:
    """Whether a booking ran, and its reference.

    Attributes:
        repeated: whether an earlier request under the same key did the work.
    """

    request: RequestId
    outcome: Outcome
    reason: Reason
    reference: str
    repeated: bool = False

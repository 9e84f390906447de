"""HTTP requests of callers, replies of upstreams and answers to callers."""

from dataclasses import dataclass
from typing import TypeAlias

from ._ids import Incarnation, RequestId, Seal, Seconds, UpstreamId
from ._states import Outcome, Reason

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A request as a caller sent it.

    Attributes:
        attempt: the id that the caller gave to this attempt, empty if it gave none.
        target: path and query, unchanged.
        authority: the host name that the caller requested, in lower case and without
            a port.
        headers: all headers of the request, in their order.
        deadline: when the caller stops waiting, on the clock of the event loop.
        arrived: when its head was read, on the clock of the event loop.
    """

    attempt: RequestId
    method: str
    target: str
    authority: str
    headers: Headers
    body: bytes
    deadline: Seconds
    arrived: Seconds

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, slots=True)
class BrokenCall:
    """A call whose connection was lost before the reply was complete.

    Attributes:
        upstream: the incarnation of the upstream that received the call.
        request: the caller's request that was sent.
    """

    upstream: Incarnation
    request: CallerRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamReply:
    """A complete reply of an upstream.

    Attributes:
        outcome: whether the upstream ran the request.
        seal: the upstream's proof that the reply is its own, None if it sent none.
        is_misdirected: whether the upstream reports that it is not the addressed one,
            because its address was reused.
        is_refusal: whether its status tells a caller that the request has not run.
        is_leaving: whether the upstream announces that it shuts down.
        quiet_time: seconds for which the upstream wants no requests of this host, None
            if it does not say.
    """

    upstream: UpstreamId
    status: int
    headers: Headers
    body: bytes
    outcome: Outcome
    seal: Seal | None = None
    is_misdirected: bool = False
    is_refusal: bool = False
    is_leaving: bool = False
    quiet_time: Seconds | None = None

    @property
    def is_success(self) -> bool:
        """Whether the status is a success and the upstream sent a seal."""
        return 200 <= self.status < 300 and self.seal is not None


@dataclass(frozen=True, slots=True)
class Relayed:
    """Answer with an upstream's reply, unchanged."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class Merged:
    """Answer with the merged records of several shards, in descending order.

    Attributes:
        seals: the seals of the replies, one for each covered shard.
        missing: number of shards that are not covered.
    """

    seals: tuple[Seal, ...]
    missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a request that has not run.

    Attributes:
        retry_after: seconds after which the caller should try again.
    """

    reason: Reason
    retry_after: Seconds


@dataclass(frozen=True, slots=True)
class Failed:
    """Answer that the request failed and may have run."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class Rejected:
    """Reject a request that is invalid, too large or matches no route."""

    reason: Reason


CallerAnswer: TypeAlias = Relayed | Merged | Refused | Failed | Rejected


def is_complete(answer: CallerAnswer) -> bool:
    """Return whether an answer is a success and no shard is missing from it."""
    match answer:
        case Relayed(reply):
            return reply.is_success
        case Merged(missing=missing):
            return not missing
        case _:
            return False

"""Messages between hosts; transports encode them, decisions never see the encoding."""

from dataclasses import dataclass
from typing import TypeAlias

from ._edge_messages import EdgeHeartbeat, StatePull, StateUpdate
from ._ids import (
    DocumentId,
    Fingerprint,
    HostId,
    IdempotencyKey,
    Incarnation,
    IndexVersion,
    OrganisationId,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
    ShardId,
    UpstreamId,
    ZoneId,
)
from ._records import StoredObject
from ._states import ClaimState, Outcome, Reason


@dataclass(frozen=True, slots=True)
class Hit:
    """A document that matches a search."""

    document: DocumentId
    score: float
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SubRequest:
    """The part of a search that one upstream is asked to run.

    Attributes:
        budget: seconds that remain when the message is sent.
        urgency: a caller's claim; it orders work only within one organisation.
    """

    request: RequestId
    attempt: int
    upstream: UpstreamId
    service: ServiceId
    version: IndexVersion
    shards: tuple[ShardId, ...]
    query: str
    limit: int
    organisation: OrganisationId
    fingerprint: Fingerprint
    budget: Seconds
    urgency: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SubReply:
    """What became of a sub-request.

    Attributes:
        wait: seconds for which work waits on the owner's queue of this upstream.
        took: seconds that the upstream needed.
    """

    request: RequestId
    attempt: int
    upstream: UpstreamId
    outcome: Outcome
    reason: Reason = Reason.NONE
    version: IndexVersion = IndexVersion(0)
    shards: tuple[ShardId, ...] = ()
    hits: tuple[Hit, ...] = ()
    wait: Seconds = Seconds(0)
    took: Seconds = Seconds(0)


@dataclass(frozen=True, slots=True, kw_only=True)
class BookingCommand:
    """A non-idempotent request on its way to an upstream."""

    request: RequestId
    attempt: int
    upstream: UpstreamId
    service: ServiceId
    organisation: OrganisationId
    fingerprint: Fingerprint
    content: str
    budget: Seconds
    urgency: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class BookingReply:
    """What became of a booking, and the upstream's reference if it ran."""

    request: RequestId
    attempt: int
    outcome: Outcome
    reason: Reason = Reason.NONE
    reference: str = ''


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Tell an owner that nobody waits for an attempt any more."""

    request: RequestId
    attempt: int
    upstream: UpstreamId


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Tell a peer that this host lives, and how much configuration it knows.

    Attributes:
        watermark: every change up to this revision is known here.
        holds_watch: whether this host watches the platform.
        platform_age: seconds since anything was last heard from the platform,
            here or through peers.
    """

    incarnation: Incarnation
    zone: ZoneId
    watermark: Revision
    leaving: bool = False
    holds_watch: bool = False
    platform_age: Seconds = Seconds(0)


@dataclass(frozen=True, slots=True)
class RecordsPull:
    """Ask a peer for every change after a revision."""

    after: Revision


@dataclass(frozen=True, slots=True)
class RecordsPush:
    """Pass changes on; they are complete between the two revisions."""

    after: Revision
    until: Revision
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class RampReport:
    """Tell the other owners of an upstream how many of its seats may be used.

    Attributes:
        incarnation: the life of the upstream that the level is about.
        level: seats that may be used, counted from the first.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    level: int


@dataclass(frozen=True, slots=True)
class LeaveReport:
    """Tell the other owners that an upstream said it is leaving."""

    upstream: UpstreamId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Tell peers which requests were in an upstream when it crashed.

    Attributes:
        crash: identifies the crash, so that it is counted once.
        suspects: fingerprints of the work that was in flight there.
    """

    crash: str
    suspects: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEntry:
    """What the platform keeps of a non-idempotent request.

    Attributes:
        token: names the attempt that holds the claim; it fences all others.
    """

    token: str
    state: ClaimState
    fingerprint: Fingerprint
    reference: str = ''


@dataclass(frozen=True, slots=True)
class ClaimAsk:
    """Ask a keeper to take a claim for an attempt."""

    organisation: OrganisationId
    key: IdempotencyKey
    token: str
    fingerprint: Fingerprint
    budget: Seconds


@dataclass(frozen=True, slots=True)
class ClaimSettle:
    """Ask a keeper to write down how a claimed attempt ended."""

    organisation: OrganisationId
    key: IdempotencyKey
    entry: ClaimEntry


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Tell who holds a claim; granted only if the asking attempt does."""

    granted: bool
    reason: Reason = Reason.NONE
    entry: ClaimEntry | None = None


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Tell the sender that a message was taken, and by which life of a host."""

    incarnation: Incarnation


Message: TypeAlias = (
    SubRequest
    | SubReply
    | BookingCommand
    | BookingReply
    | CancelWork
    | Heartbeat
    | RecordsPull
    | RecordsPush
    | RampReport
    | LeaveReport
    | CrashReport
    | ClaimAsk
    | ClaimSettle
    | ClaimReply
    | Acknowledgement
    | EdgeHeartbeat
    | StatePull
    | StateUpdate
)


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host on the platform's lagging list."""

    host: HostId
    zone: ZoneId
    leaving: bool = False

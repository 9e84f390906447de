"""Messages between hosts, independent of any encoding.

The transport between hosts encodes them; decision modules never see the encoding.
"""

from dataclasses import dataclass
from typing import TypeAlias

from ._edge_messages import EdgeMessage
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
    """The part of a search that is sent to one upstream.

    Attributes:
        attempt: number of the sub-request within its search.
        version: the index version to search.
        shards: shards to search.
        limit: maximum number of hits to return.
        fingerprint: digest of the search, to recognise a query of death.
        budget: seconds until the caller's deadline when the message is sent.
        urgency: set by the caller; a higher one goes first, but only among the work
            of the same organisation.
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
    """The result of a sub-request.

    Attributes:
        outcome: whether the upstream ran it.
        reason: why it failed, NONE if it succeeded.
        version: the index version that the hits come from.
        shards: shards that were searched.
        wait: seconds that work waits at present in the owner's queue of this upstream.
        took: seconds for which the upstream ran it.
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
    """A booking that is sent to an upstream by way of an owner.

    Attributes:
        attempt: number of the attempt within the booking.
        fingerprint: digest of the booking, to recognise a query of death.
        budget: seconds until the deadline of the attempt when the message is sent.
        urgency: set by the caller; a higher one goes first, but only among the work
            of the same organisation.
    """

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
    """The result of an attempt of a booking.

    Attributes:
        outcome: whether the upstream ran the booking.
        reference: the upstream's reference for the booking, empty unless it ran.
    """

    request: RequestId
    attempt: int
    outcome: Outcome
    reason: Reason = Reason.NONE
    reference: str = ''


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Tell an owner to cancel an attempt whose reply is no longer needed."""

    request: RequestId
    attempt: int
    upstream: UpstreamId


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Tell a peer that this host is alive, and which changes it has received.

    Attributes:
        watermark: the sender has received every change up to this revision.
        leaving: whether shutdown of the sender has begun.
        holds_watch: whether the sender is a watcher: it keeps a long poll open on
            the platform.
        platform_age: seconds since the sender, or a peer that it heard from, last
            reached the platform.
    """

    incarnation: Incarnation
    zone: ZoneId
    watermark: Revision
    leaving: bool = False
    holds_watch: bool = False
    platform_age: Seconds = Seconds(0)


@dataclass(frozen=True, slots=True)
class RecordsPull:
    """Ask a peer for every change of the records after a revision."""

    after: Revision


@dataclass(frozen=True, slots=True)
class RecordsPush:
    """Send a peer the changes of the records between two revisions.

    Attributes:
        after: the revision that the changes follow.
        until: the revision up to which no change is left out.
        objects: the newest version of each changed object.
    """

    after: Revision
    until: Revision
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class RampReport:
    """Tell the other owners of an upstream how many of its seats may be used.

    Attributes:
        incarnation: the incarnation of the upstream to which the level applies.
        level: number of seats that may be used, counted from the first seat.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    level: int


@dataclass(frozen=True, slots=True)
class DrainReport:
    """Tell the other owners of an upstream that it reported it is draining."""

    upstream: UpstreamId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Tell peers which requests an upstream was running when it crashed.

    Attributes:
        crash: identifies the crash, so that each host counts it once.
        suspects: fingerprints of the work that was in flight at the upstream.
    """

    crash: str
    suspects: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEntry:
    """A claim on an idempotency key, as stored on the platform.

    Attributes:
        token: fencing token of the attempt that holds the claim; an attempt with
            another token cannot settle it.
        fingerprint: digest of the booking, to detect a key that is reused for another.
        reference: the upstream's reference for the booking, empty unless it ran.
    """

    token: str
    state: ClaimState
    fingerprint: Fingerprint
    reference: str = ''


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Ask a claim writer to claim an idempotency key for an attempt.

    A claim writer is the host that writes a bucket of claims to the platform.

    Attributes:
        key: the idempotency key, unique within its organisation.
        token: fencing token of the attempt.
        budget: seconds until the deadline of the booking.
    """

    organisation: OrganisationId
    key: IdempotencyKey
    token: str
    fingerprint: Fingerprint
    budget: Seconds


@dataclass(frozen=True, slots=True)
class ClaimSettlement:
    """Ask a claim writer to store how a claimed attempt ended."""

    organisation: OrganisationId
    key: IdempotencyKey
    entry: ClaimEntry


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """The reply to a claim request or a claim settlement.

    Attributes:
        granted: whether the attempt holds the claim, or its outcome is stored.
        reason: why not, NONE if granted.
        entry: the stored claim, None in the reply to a settlement, if the claim could
            not be read, or if the key was used for another booking.
    """

    granted: bool
    reason: Reason = Reason.NONE
    entry: ClaimEntry | None = None


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Tell the sender that a message was received, and by which incarnation."""

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
    | DrainReport
    | CrashReport
    | ClaimRequest
    | ClaimSettlement
    | ClaimReply
    | Acknowledgement
    | EdgeMessage
)


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host on the platform's list of hosts, which lags behind the hosts' states."""

    host: HostId
    zone: ZoneId
    leaving: bool = False

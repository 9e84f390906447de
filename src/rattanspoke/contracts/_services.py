"""Protocols of the services; a service uses another only through its protocol."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Protocol, TypeAlias, TypeVar

from ..model import (
    Answer,
    Booking,
    BookingCommand,
    BookingReply,
    CallId,
    ClaimReply,
    ClaimRequest,
    ClaimSettlement,
    CrashReport,
    Event,
    EventKind,
    Fingerprint,
    HostId,
    HostState,
    Incarnation,
    IndexRecord,
    Message,
    OrganisationId,
    OrganisationRecord,
    Policy,
    Reason,
    Receipt,
    RecordStatus,
    RequestId,
    Revision,
    Search,
    SeatAssignmentRecord,
    Seconds,
    ServiceId,
    ServiceRecord,
    StoredObject,
    SubReply,
    SubRequest,
    SuspectList,
    UpstreamId,
    UpstreamRecord,
    Warmth,
    WorkError,
    ZoneId,
    ZoneRecord,
)
from ._counting import Metric

MessageType = TypeVar('MessageType', bound=Message)
Respond: TypeAlias = Callable[[Message], None]
OnReply: TypeAlias = Callable[[Message | WorkError], None]


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of this host: its id, incarnation and availability zone."""

    host: HostId
    incarnation: Incarnation
    zone: ZoneId


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamStatus:
    """The state of an upstream, as one of its owners sees it.

    Attributes:
        warmth: stage of slow start that it is in.
        usable_seats: seats that all owners together may use at this stage.
        refusal: why this owner sends it no work now, empty if it does.
        queued: number of sub-requests and bookings that wait in this owner's queue.
        life: the incarnation that replied last, empty after its connection was lost.
    """

    warmth: Warmth
    usable_seats: int
    refusal: str
    queued: int
    life: Incarnation


class Counters(Protocol):
    """Counters and distributions of this host."""

    def add(self, metric: Metric, label: str = '', amount: float = 1) -> None:
        """Increment a counter."""

    def observe(self, metric: Metric, amount: float) -> None:
        """Record a value in a distribution."""

    def total(self, metric: Metric, label: str | None = None) -> float:
        """Return the value of a counter, summed over its labels if none is given."""

    def totals(self) -> dict[tuple[Metric, str], float]:
        """Return the values of all counters by metric and label."""

    def quantile(self, metric: Metric, fraction: float) -> float:
        """Return a quantile of a distribution, zero if it holds no value."""

    def distributions(self) -> tuple[Metric, ...]:
        """Return the metrics of the distributions that hold values."""


class Timeline(Protocol):
    """A bounded history of events on this host, with its Lamport clock."""

    def note(
        self,
        kind: EventKind,
        detail: str,
        *,
        request: RequestId | None = None,
        upstream: UpstreamId | None = None,
        zone: ZoneId | None = None,
        organisation: OrganisationId | None = None,
    ) -> None:
        """Append an event to the history."""

    def tick(self) -> int:
        """Advance the Lamport clock and return the time for an event or message."""

    def merge_tick(self, tick: int) -> None:
        """Advance the Lamport clock to at least the time of a received message."""

    def select(self) -> tuple[Event, ...]:
        """Return the retained events, oldest first."""


class Lifecycle(Protocol):
    """Graceful shutdown: whether the host accepts requests, and its work in flight."""

    @property
    def is_leaving(self) -> bool:
        """Whether shutdown of the host has begun."""

    @property
    def in_flight(self) -> int:
        """Number of work items that have begun and not yet ended."""

    def leave(self) -> None:
        """Mark the host as leaving; is_leaving is true from now on."""

    async def drain(self, limit: Seconds = ...) -> bool:
        """Wait until no work is in flight; return whether that was within limit."""

    def close(self) -> None:
        """Reject new requests of callers; those already admitted may finish."""

    def admit(self) -> None:
        """Raise RequestError if the host is closed to new requests; nothing was run."""

    def begin(self) -> None:
        """Register a work item that must end before the host stops."""

    def end(self) -> None:
        """Register the end of a work item."""


class Catalog(Protocol):
    """The records in force on this host."""

    @property
    def watermark(self) -> Revision:
        """The revision up to which this host has received every change."""

    @property
    def first_watermark(self) -> Revision:
        """The first watermark, NO_REVISION while nothing was listed."""

    def zone(self, zone: ZoneId) -> ZoneRecord | None:
        """Return a zone's record."""

    def service(self, service: ServiceId) -> ServiceRecord | None:
        """Return a service's record."""

    def upstream(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Return an upstream's record."""

    def upstreams(self) -> list[UpstreamRecord]:
        """Return the records of all upstreams."""

    def zones(self) -> list[ZoneRecord]:
        """Return the records of all zones."""

    def upstreams_in(self, zone: ZoneId) -> list[UpstreamRecord]:
        """Return the records of a zone's upstreams."""

    def upstreams_of(self, service: ServiceId) -> list[UpstreamRecord]:
        """Return the records of a service's upstreams."""

    def index(self, service: ServiceId) -> IndexRecord | None:
        """Return a service's index record."""

    def seats(self, zone: ZoneId) -> SeatAssignmentRecord | None:
        """Return a zone's seat assignment record."""

    def organisations(self) -> list[OrganisationRecord]:
        """Return the records of all organisations."""

    def explain_exclusion(self, upstream: UpstreamRecord) -> Reason | None:
        """Return why the records keep work from an upstream, None if they allow it."""

    def select_after(self, revision: Revision) -> tuple[StoredObject, ...]:
        """Return the newest version of each object that changed after a revision."""

    def adopt_range(
        self, after: Revision, until: Revision, objects: tuple[StoredObject, ...]
    ) -> bool:
        """Apply the changes between two revisions.

        Returns:
            Whether changes before them are missing on this host.
        """

    def adopt_list(self, until: Revision, objects: tuple[StoredObject, ...]) -> None:
        """Apply a complete listing taken at a revision."""

    def adopt_written(self, stored: StoredObject) -> None:
        """Apply an object that this host wrote itself."""

    def list_refused(self) -> dict[str, RecordStatus]:
        """Return the status of each object rejected as invalid, by kind/name."""


class Peers(Protocol):
    """Request-reply messaging between hosts."""

    def serve(
        self,
        message_type: type[MessageType],
        handler: Callable[[MessageType, HostId], Awaitable[Message]],
    ) -> None:
        """Register the handler of a message type; each message gets its own task."""

    def serve_inline(
        self,
        message_type: type[MessageType],
        handler: Callable[[MessageType, HostId, Respond], None],
    ) -> None:
        """Register a handler that runs in the receiving task and must not block."""

    async def call(self, host: HostId, message: Message, budget: Seconds) -> Message:
        """Send a message and wait up to budget seconds for the reply.

        Raises:
            PeerError: its outcome says whether the peer may have processed the message.
        """

    def post(self, host: HostId, message: Message, on_reply: OnReply) -> CallId:
        """Send a message; on_reply gets the reply or a PeerError later."""

    def forget(self, host: HostId, call: CallId) -> None:
        """Stop waiting for a reply; one that still arrives counts as late."""


class Members(Protocol):
    """Membership of the tier: the other hosts and their states."""

    def find_state(self, host: HostId) -> HostState:
        """Return the last determined state of a host, SILENT for an unknown one."""

    def select(self, state: HostState, zone: ZoneId | None = None) -> frozenset[HostId]:
        """Return the hosts in a state, of one zone or of all."""

    def states(self) -> dict[HostId, HostState]:
        """Return the last determined state of every other host."""

    def announce_leaving(self) -> None:
        """Send every other host a heartbeat now, which says that this one leaves."""

    def is_fenced(self) -> bool:
        """Return whether this host was isolated for too long to use its seats."""


class Watch(Protocol):
    """Replication of configuration records to this host."""

    @property
    def holds_watch(self) -> bool:
        """Whether this host is a watcher: it keeps a long poll open on the platform."""

    def measure_age(self) -> Seconds:
        """Return the seconds since this host or a peer of it reached the platform."""

    def measure_platform_silence(self) -> Seconds:
        """Return the seconds since this host itself reached the platform."""

    def note_peer(
        self, host: HostId, watermark: Revision, *, holds_watch: bool, age: Seconds
    ) -> None:
        """Note a peer's replication state and pull changes that are missing here.

        Args:
            host: the peer.
            watermark: the revision up to which it has received every change.
            holds_watch: whether it is a watcher.
            age: seconds since it or one of its peers reached the platform.
        """


class RecordStatuses(Protocol):
    """Writer of record statuses; it works in the background and has no methods."""


class Seats(Protocol):
    """The seats that this host holds.

    A seat is a concurrency permit: the right to use one slot of an upstream over one
    connection. At any time at most one host holds a given seat.
    """

    def held(self, upstream: UpstreamId) -> frozenset[int]:
        """Return the numbers of the upstream's seats that this host may use."""

    def acquire(
        self, upstream: UpstreamId, seat: int
    ) -> AbstractContextManager[None] | None:
        """Acquire a seat for one connection.

        Returns:
            A context manager that marks the seat as in use while it is entered, or
            None if this host does not hold the seat.
        """

    async def release_all(self) -> None:
        """Release every seat in the seat assignment record, for a host shutdown."""


class Suspects(Protocol):
    """Queries of death: requests suspected of crashing upstreams, and blocked ones."""

    @property
    def has_suspects(self) -> bool:
        """Whether any request is a suspect."""

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether the request must run alone and without hedges."""

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Return whether the request must be rejected."""

    def note_success(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect that ran without a crash, unless it was blocked."""

    def report_crash(self, report: CrashReport) -> None:
        """Count a crash on this host and report it to every live host."""

    def describe(self) -> SuspectList:
        """Return the newest suspects, for a host that has just started."""

    def adopt(self, known: SuspectList) -> int:
        """Add suspects that a peer described; return how many were new."""


class OwnedUpstreams(Protocol):
    """The upstreams that this host owns, with a queue and connections for each.

    A host owns an upstream if it holds seats of it.
    """

    def search(self, request: SubRequest, respond: Callable[[SubReply], None]) -> None:
        """Queue a sub-request and run it in its turn.

        Args:
            request: the sub-request.
            respond: takes the reply; called exactly once.
        """

    def book(
        self, command: BookingCommand, respond: Callable[[BookingReply], None]
    ) -> None:
        """Queue a booking and run it in its turn.

        Args:
            command: the booking.
            respond: takes the reply; called exactly once.
        """

    def cancel(self, request: RequestId, attempt: int, upstream: UpstreamId) -> None:
        """Cancel an attempt whose sender no longer waits for the reply."""

    def describe(self, upstream: UpstreamId) -> UpstreamStatus | None:
        """Return this host's view of an upstream, None if it never held its seats."""


class UpstreamLoads(Protocol):
    """Load and availability of each upstream, learned from this host's own calls.

    Replica selection uses it, and so does the choice of the owner to send work to.
    """

    def expect(self, upstream: UpstreamId) -> float | None:
        """Return the expected seconds until new work is answered, None if unusable."""

    def is_usable(self, upstream: UpstreamId) -> bool:
        """Return whether the upstream accepts work and has a reachable owner."""

    def may_recover(self, upstream: UpstreamId) -> bool:
        """Return whether an unusable upstream is likely to be usable again soon."""

    def choose_owner(self, upstream: UpstreamId) -> HostId | None:
        """Return the owner to send work for an upstream to, None if there is none."""

    def note_sent(self, upstream: UpstreamId) -> None:
        """Count work that was sent to the upstream."""

    def note_ended(
        self, upstream: UpstreamId, owner: HostId, took: Seconds, wait: Seconds
    ) -> None:
        """Count work that the upstream ran.

        Args:
            upstream: the upstream that ran it.
            owner: the host through which it was sent.
            took: seconds from sending the work to its reply.
            wait: seconds that new work would spend in the owner's queue.
        """

    def note_failed(
        self, upstream: UpstreamId, owner: HostId, error: WorkError
    ) -> None:
        """Count work that failed or was refused."""

    def note_dropped(self, upstream: UpstreamId, lasted: Seconds) -> None:
        """Count work that was cancelled.

        Args:
            upstream: the upstream that it was sent to.
            lasted: seconds from sending the work to its cancellation.
        """


class Organisations(Protocol):
    """Authentication, authorisation and request quotas of organisations."""

    def authenticate(self, token: str) -> OrganisationRecord:
        """Return the organisation that a bearer token belongs to.

        Raises:
            RequestError: when the token is unknown.
        """

    def find_priority(self, organisation: OrganisationId) -> int:
        """Return an organisation's priority, the lowest if it is unknown."""

    def find_policy(self, organisation: OrganisationId) -> Policy:
        """Return an organisation's policy, the baseline if it is unknown."""

    def admit(self, organisation: OrganisationRecord, service: ServiceId) -> None:
        """Check access to a service and count the request against the quota.

        Raises:
            RequestError: when access is denied or the quota is exceeded.
        """


class Searches(Protocol):
    """Searches that callers send to this host."""

    async def search(self, search: Search) -> Answer:
        """Run a search and return the merged answer; raises RequestError."""


class Claims(Protocol):
    """Claims on idempotency keys, stored on the platform."""

    async def take(self, claim_request: ClaimRequest) -> ClaimReply:
        """Claim an idempotency key for one request."""

    async def settle(self, settle: ClaimSettlement) -> bool:
        """Store the outcome of a claimed request; return whether it is confirmed."""


class Bookings(Protocol):
    """Bookings: non-idempotent requests of callers, run at most once."""

    async def book(self, booking: Booking) -> Receipt:
        """Run a booking at most once; raises RequestError."""

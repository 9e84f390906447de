"""Protocols that the services publish; services know each other only by these."""

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
    ClaimAsk,
    ClaimReply,
    ClaimSettle,
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
    SeatsRecord,
    Seconds,
    ServiceId,
    ServiceRecord,
    StoredObject,
    SubReply,
    SubRequest,
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
    """Which host, life and zone this process is."""

    host: HostId
    incarnation: Incarnation
    zone: ZoneId


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamBelief:
    """What an owner believes of an upstream, and why.

    Attributes:
        warmth: how much it is taken to bear.
        usable_seats: seats that may be used at this warmth, over all owners.
        refusal: why it takes no work from this owner now, empty if it does.
        queued: pieces of work that wait for it here.
        life: the incarnation that it was last seen in.
    """

    warmth: Warmth
    usable_seats: int
    refusal: str
    queued: int
    life: Incarnation


class Counters(Protocol):
    """Counts of what the host did; they only rise."""

    def add(self, metric: Metric, label: str = '', amount: float = 1) -> None:
        """Raise a counter."""

    def observe(self, metric: Metric, amount: float) -> None:
        """Add a value to a distribution."""

    def total(self, metric: Metric, label: str | None = None) -> float:
        """Return a counter, summed over its labels when none is given."""

    def totals(self) -> dict[tuple[Metric, str], float]:
        """Return every counter by its name and label."""

    def quantile(self, metric: Metric, fraction: float) -> float:
        """Return a quantile of a distribution, zero when it is empty."""

    def distributions(self) -> tuple[Metric, ...]:
        """Return the names of the distributions that hold values."""


class Timeline(Protocol):
    """The bounded history of what this host did and learned."""

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
        """Keep an event."""

    def tick(self) -> int:
        """Return the Lamport time for a message that is about to be sent."""

    def merge_tick(self, tick: int) -> None:
        """Move the Lamport time past that of a message that arrived."""

    def select(self) -> tuple[Event, ...]:
        """Return the events that are kept, oldest first."""


class Lifecycle(Protocol):
    """Whether the host takes work, and how much it still has."""

    @property
    def is_leaving(self) -> bool:
        """Whether the host was told to stop."""

    @property
    def in_flight(self) -> int:
        """Pieces of work that have begun and not ended."""

    def leave(self) -> None:
        """Tell everyone who asks that the host is stopping."""

    async def drain(self, limit: Seconds = ...) -> bool:
        """Wait until all work has ended; tell whether it did within the limit."""

    def close(self) -> None:
        """Take no more requests of callers; what was taken may still end."""

    def admit(self) -> None:
        """Raise RequestError if the host takes no more requests; nothing was run."""

    def begin(self) -> None:
        """Count a piece of work that must end before the host stops."""

    def end(self) -> None:
        """Count the end of a piece of work."""


class Catalog(Protocol):
    """The records in force on this host."""

    @property
    def watermark(self) -> Revision:
        """The revision up to which every change is known."""

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

    def seats(self, zone: ZoneId) -> SeatsRecord | None:
        """Return a zone's seats record."""

    def organisations(self) -> list[OrganisationRecord]:
        """Return the records of all organisations."""

    def explain_exclusion(self, upstream: UpstreamRecord) -> Reason | None:
        """Return why operators let an upstream receive no work, None if they do."""

    def select_after(self, revision: Revision) -> tuple[StoredObject, ...]:
        """Return every object that changed after a revision."""

    def adopt_range(
        self, after: Revision, until: Revision, objects: tuple[StoredObject, ...]
    ) -> bool:
        """Take over changes; tell whether some before them are missing here."""

    def adopt_list(self, until: Revision, objects: tuple[StoredObject, ...]) -> None:
        """Take over a complete listing."""

    def adopt_written(self, stored: StoredObject) -> None:
        """Take over an object that this host wrote itself."""

    def list_refused(self) -> dict[str, RecordStatus]:
        """Return why the newest object of a name is not in force, by kind and name."""


class Peers(Protocol):
    """Calls between hosts."""

    def serve(
        self,
        message_type: type[MessageType],
        handler: Callable[[MessageType, HostId], Awaitable[Message]],
    ) -> None:
        """Set what answers a type of message, in a task of its own."""

    def serve_inline(
        self,
        message_type: type[MessageType],
        handler: Callable[[MessageType, HostId, Respond], None],
    ) -> None:
        """Set what answers a type of message without a task; it must not wait."""

    async def call(self, host: HostId, message: Message, budget: Seconds) -> Message:
        """Send a message and wait for the reply.

        Raises:
            PeerError: whose outcome tells whether the peer took the message.
        """

    def post(self, host: HostId, message: Message, on_reply: OnReply) -> CallId:
        """Send a message; the reply or a PeerError is handed over when it comes."""

    def forget(self, host: HostId, call: CallId) -> None:
        """Drop the reply to a call, which is then counted as late."""


class Members(Protocol):
    """Which other hosts exist and live."""

    def find_state(self, host: HostId) -> HostState:
        """Return what is believed of a host."""

    def select(self, state: HostState, zone: ZoneId | None = None) -> frozenset[HostId]:
        """Return the hosts in a state, of one zone or of all."""

    def states(self) -> dict[HostId, HostState]:
        """Return what was last believed of every other host."""

    def announce_leaving(self) -> None:
        """Tell every other host at once that this one is leaving."""

    def is_fenced(self) -> bool:
        """Tell whether this host was isolated for too long to use its seats."""


class Watch(Protocol):
    """Where this host's configuration comes from."""

    @property
    def holds_watch(self) -> bool:
        """Whether this host watches the platform."""

    def measure_age(self) -> Seconds:
        """Return the seconds since the platform was heard, here or through peers."""

    def measure_platform_silence(self) -> Seconds:
        """Return the seconds since this host itself heard the platform."""

    def note_peer(
        self, host: HostId, watermark: Revision, *, holds_watch: bool, age: Seconds
    ) -> None:
        """Learn how much configuration a peer knows."""


class RecordStatuses(Protocol):
    """Writes what became of records; it is asked for nothing."""


class Seats(Protocol):
    """The seats of upstreams that this host may use."""

    def held(self, upstream: UpstreamId) -> frozenset[int]:
        """Return the seats of an upstream that the host may use."""

    def lend(
        self, upstream: UpstreamId, seat: int
    ) -> AbstractContextManager[None] | None:
        """Return what marks a seat as in use while entered, None if it is not held."""

    async def release_all(self) -> None:
        """Hand every seat back to the ledger, which the host does when it leaves."""


class Suspects(Protocol):
    """Requests suspected of crashing upstreams."""

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspected at all."""

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Tell whether the work must run alone and without hedges."""

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Tell whether the work must be refused."""

    def note_success(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect that ran without a crash."""

    def report_crash(self, report: CrashReport) -> None:
        """Count a crash and tell every peer."""


class Owner(Protocol):
    """The queue and the connections of each upstream whose seats this host holds."""

    def search(self, request: SubRequest, respond: Callable[[SubReply], None]) -> None:
        """Run a sub-request in its turn; respond exactly once."""

    def book(
        self, command: BookingCommand, respond: Callable[[BookingReply], None]
    ) -> None:
        """Run a booking in its turn; respond exactly once."""

    def cancel(self, request: RequestId, attempt: int, upstream: UpstreamId) -> None:
        """Give up an attempt that nobody waits for."""

    def describe(self, upstream: UpstreamId) -> UpstreamBelief | None:
        """Return what this host believes of an upstream, None if it owns no seat."""


class Loads(Protocol):
    """What this host saw of each upstream on the data path."""

    def expect(self, upstream: UpstreamId) -> float | None:
        """Return the seconds that new work is expected to take, None if unusable."""

    def is_usable(self, upstream: UpstreamId) -> bool:
        """Tell whether the upstream takes work and somebody is there to send it to."""

    def may_return(self, upstream: UpstreamId) -> bool:
        """Tell whether an unusable upstream is worth waiting for."""

    def choose_owner(self, upstream: UpstreamId) -> HostId | None:
        """Return the host to send work for an upstream to."""

    def note_sent(self, upstream: UpstreamId) -> None:
        """Count work that was sent."""

    def note_ended(
        self, upstream: UpstreamId, owner: HostId, took: Seconds, wait: Seconds
    ) -> None:
        """Count work that was answered."""

    def note_failed(
        self, upstream: UpstreamId, owner: HostId, error: WorkError
    ) -> None:
        """Count work that failed."""

    def note_dropped(self, upstream: UpstreamId, lasted: Seconds) -> None:
        """Count work that is no longer waited for."""


class Organisations(Protocol):
    """Who may ask for what, and how much of it."""

    def authenticate(self, token: str) -> OrganisationRecord:
        """Return the organisation whose token it is; raises RequestError."""

    def find_priority(self, organisation: OrganisationId) -> int:
        """Return an organisation's class of work, the lowest for an unknown one."""

    def find_policy(self, organisation: OrganisationId) -> Policy:
        """Return what an organisation weighs."""

    def admit(self, organisation: OrganisationRecord, service: ServiceId) -> None:
        """Count a request against the quota; raises RequestError."""


class Searches(Protocol):
    """Searches for callers."""

    async def search(self, search: Search) -> Answer:
        """Return the merged answer; raises RequestError."""


class Claims(Protocol):
    """Claims on idempotency keys, kept on the platform."""

    async def take(self, ask: ClaimAsk) -> ClaimReply:
        """Take a claim for an attempt."""

    async def settle(self, settle: ClaimSettle) -> bool:
        """Write down how an attempt ended; tell whether that is known to be kept."""


class Bookings(Protocol):
    """Non-idempotent requests for callers."""

    async def book(self, booking: Booking) -> Receipt:
        """Run a booking at most once; raises RequestError."""

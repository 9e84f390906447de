"""Protocols of the external systems: the platform, upstreams and peers."""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass
from types import TracebackType
from typing import Protocol, Self, TypeAlias

from ..model import (
    BookingCommand,
    CallId,
    ClaimEntry,
    Hit,
    HostId,
    Incarnation,
    IndexVersion,
    ListedHost,
    Message,
    Reason,
    Record,
    RecordStatus,
    Revision,
    Seconds,
    ShardId,
    StoredObject,
    SubRequest,
    UpstreamRecord,
)


@dataclass(frozen=True, slots=True)
class ObjectList:
    """Objects of the platform: a complete listing, or the changes that a watch returns.

    Attributes:
        revision: the revision up to which every change is included.
    """

    revision: Revision
    objects: tuple[StoredObject, ...]


class Platform(Protocol):
    """The platform's object API and its list of hosts.

    Every method raises PlatformUnavailable if it failed and had no effect.
    """

    async def list_objects(self) -> ObjectList:
        """Return every configuration object."""

    async def watch(self, after: Revision, wait: Seconds) -> ObjectList:
        """Return the changes after a revision, waiting for the first of them.

        Raises:
            RecordHistoryGone: when changes after the revision were discarded.
        """

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None if it does not exist."""

    async def write(
        self, kind: str, name: str, content: bytes, expected: Revision
    ) -> Revision:
        """Write an object by compare-and-set; revision zero means it must be absent.

        Raises:
            PlatformConflict: when the object has another revision.
            PlatformReplyLost: when the reply was lost; the write may have taken effect.
        """

    async def list_hosts(self) -> tuple[ListedHost, ...]:
        """Return the live and leaving hosts; the list lags behind their states."""


@dataclass(frozen=True, slots=True)
class SubResult:
    """The reply of an upstream to one sub-request of a call.

    Attributes:
        reason: why the upstream refused the sub-request, NONE if it ran it.
    """

    version: IndexVersion
    shards: tuple[ShardId, ...]
    hits: tuple[Hit, ...]
    reason: Reason = Reason.NONE


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The reply of an upstream to a search call.

    Attributes:
        is_leaving: whether the upstream reports that it is draining.
        parts: the results in the order of the call's sub-requests.
    """

    incarnation: Incarnation
    is_leaving: bool
    parts: tuple[SubResult, ...]


@dataclass(frozen=True, slots=True)
class BookingResult:
    """The reply of an upstream to a booking that it ran.

    Attributes:
        is_leaving: whether the upstream reports that it is draining.
        reference: the upstream's reference for the booking.
    """

    incarnation: Incarnation
    is_leaving: bool
    reference: str


class UpstreamConnection(Protocol):
    """One persistent connection to an upstream; it runs one call at a time.

    Every method raises UpstreamError, whose outcome says whether the work ran.
    """

    async def __aenter__(self) -> Self:
        """Prepare the connection, which is opened by its first call."""

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection."""

    async def search(
        self, call: str, parts: Sequence[SubRequest], budget: Seconds
    ) -> SearchResult:
        """Run sub-requests in one call, which uses one slot.

        Args:
            call: id of the call.
            parts: the sub-requests.
            budget: seconds until the call is cancelled.
        """

    async def book(self, command: BookingCommand, budget: Seconds) -> BookingResult:
        """Run a booking, which uses one slot; cancel it after budget seconds."""

    async def cancel(self) -> None:
        """Ask the upstream to stop the call in flight and to reply to it at once."""

    async def identify(self) -> tuple[Incarnation, bool]:
        """Return the upstream's incarnation, and whether it reports that it drains."""


class UpstreamClient(Protocol):
    """Opens connections to upstreams."""

    def open(self, upstream: UpstreamRecord) -> UpstreamConnection:
        """Return a connection for one seat."""


class Codec(Protocol):
    """Decodes objects of the platform and encodes them."""

    def decode_record(self, stored: StoredObject) -> Record:
        """Return the record of an object; raises RecordError."""

    def encode_record(self, record: Record) -> bytes:
        """Return the content that decodes to a record."""

    def encode_record_status(self, record_status: RecordStatus) -> bytes:
        """Return the content that a status object has for a record status."""

    def decode_claims(self, content: bytes) -> dict[str, ClaimEntry]:
        """Return the claims in a claim object, by name; raises RecordError."""

    def encode_claims(self, claims: dict[str, ClaimEntry]) -> bytes:
        """Return the content that decodes to claims."""


@dataclass(frozen=True, slots=True)
class Parcel:
    """The envelope of a message between hosts.

    Attributes:
        call: id that matches a reply to its call.
    """

    call: CallId
    message: Message
    is_reply: bool


@dataclass(frozen=True, slots=True)
class Bundle:
    """A batch of parcels that a host sends at once.

    Attributes:
        sender: the host that sends them.
        incarnation: the incarnation of the sender.
        tick: the sender's Lamport time.
    """

    sender: HostId
    incarnation: Incarnation
    tick: int
    parcels: tuple[Parcel, ...]


class PeerChannel(Protocol):
    """One open bidirectional stream between this host and a peer."""

    async def send(self, bundle: Bundle) -> None:
        """Send a bundle; raises PeerError if the stream is broken."""

    def receive(self) -> AsyncIterator[Bundle]:
        """Yield bundles until the stream ends; raises PeerError when it breaks."""

    async def close(self) -> None:
        """End the stream."""


ChannelHandler: TypeAlias = Callable[[PeerChannel], Awaitable[None]]


class PeerTransport(Protocol):
    """Opens and accepts streams between hosts."""

    async def open(self, host: HostId) -> PeerChannel:
        """Open a stream to a host.

        Raises:
            PeerError: with the reason PEER_REFUSED if the connection is refused, since
                no process listens at the host's address.
        """

    def register_channel_handler(self, channel_handler: ChannelHandler) -> None:
        """Set the function that serves each stream of a peer; its return ends it."""

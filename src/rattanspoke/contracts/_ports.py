"""Protocols of what lies outside: the platform, upstreams and the wire to peers."""

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
    """A complete listing and the revision at which it was taken."""

    revision: Revision
    objects: tuple[StoredObject, ...]


class Platform(Protocol):
    """The platform's object API and its list of hosts.

    Every method raises PlatformUnavailable when the call surely had no effect.
    """

    async def list_objects(self) -> ObjectList:
        """Return every configuration object."""

    async def watch(self, after: Revision, wait: Seconds) -> ObjectList:
        """Return the changes after a revision, waiting for the first of them.

        Raises:
            PlatformObjectMissing: when the platform no longer keeps that history.
        """

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None when it does not exist."""

    async def write(
        self, kind: str, name: str, content: bytes, expected: Revision
    ) -> Revision:
        """Write an object if its revision is the expected one; zero means absent.

        Raises:
            PlatformConflict: when the revision is another.
            PlatformReplyLost: when the write may have taken effect.
        """

    async def list_hosts(self) -> tuple[ListedHost, ...]:
        """Return the lagging list of live and leaving hosts."""


@dataclass(frozen=True, slots=True)
class SubResult:
    """What an upstream answered to one sub-request of a call."""

    version: IndexVersion
    shards: tuple[ShardId, ...]
    hits: tuple[Hit, ...]
    reason: Reason = Reason.NONE


@dataclass(frozen=True, slots=True)
class SearchResult:
    """What an upstream answered to a call, in the order of its sub-requests."""

    incarnation: Incarnation
    is_leaving: bool
    parts: tuple[SubResult, ...]


@dataclass(frozen=True, slots=True)
class BookingResult:
    """An upstream's reference for a booking that it ran."""

    incarnation: Incarnation
    is_leaving: bool
    reference: str


class UpstreamConnection(Protocol):
    """One kept-open connection to an upstream; it takes one call at a time.

    Every method raises UpstreamError, whose outcome tells whether the work ran.
    """

    async def __aenter__(self) -> Self:
        """Prepare the connection, which opens with its first call."""

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
        """Run sub-requests in one call, which takes one slot."""

    async def book(self, command: BookingCommand, budget: Seconds) -> BookingResult:
        """Run a booking, which takes one slot."""

    async def cancel(self) -> None:
        """Ask the upstream to stop the call in flight; its reply then comes at once."""

    async def identify(self) -> tuple[Incarnation, bool]:
        """Return the incarnation, and whether the upstream says it is leaving."""


class UpstreamClient(Protocol):
    """Opens connections to upstreams."""

    def open(self, upstream: UpstreamRecord) -> UpstreamConnection:
        """Return a connection for one seat."""


class Codec(Protocol):
    """Turns objects of the platform into values and back."""

    def decode_record(self, stored: StoredObject) -> Record:
        """Return the record of an object; raises RecordError."""

    def encode_record(self, record: Record) -> bytes:
        """Return the content that decodes to a record."""

    def encode_record_status(self, record_status: RecordStatus) -> bytes:
        """Return the content of a status object."""

    def decode_claims(self, content: bytes) -> dict[str, ClaimEntry]:
        """Return the claims of a claim object; raises RecordError."""

    def encode_claims(self, claims: dict[str, ClaimEntry]) -> bytes:
        """Return the content that decodes to claims."""


@dataclass(frozen=True, slots=True)
class Parcel:
    """A message with the number that matches a reply to its call."""

    call: CallId
    message: Message
    is_reply: bool


@dataclass(frozen=True, slots=True)
class Bundle:
    """Several parcels that travel together, and who sent them.

    Attributes:
        tick: the sender's Lamport time.
    """

    sender: HostId
    incarnation: Incarnation
    tick: int
    parcels: tuple[Parcel, ...]


class PeerChannel(Protocol):
    """One open stream to or from a peer."""

    async def send(self, bundle: Bundle) -> None:
        """Send a bundle; raises PeerError when the stream is broken."""

    def receive(self) -> AsyncIterator[Bundle]:
        """Yield bundles until the stream ends; raises PeerError when it breaks."""

    async def close(self) -> None:
        """End the stream."""


ChannelHandler: TypeAlias = Callable[[PeerChannel], Awaitable[None]]


class PeerTransport(Protocol):
    """The wire between hosts."""

    async def open(self, host: HostId) -> PeerChannel:
        """Open a stream.

        Raises:
            PeerError: with the reason PEER_REFUSED when nobody listens there.
        """

    def set_channel_handler(self, accept: ChannelHandler) -> None:
        """Set what runs for each stream that a peer opens, until it returns."""

"""The tier's ports without sockets: for tests on virtual time, and the demo.

Bundles go through the real wire encoding, so that it is tested too.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from types import TracebackType
from typing import Self

from ..contracts import Accept, BookingResult, Bundle, PeerChannel, SearchResult
from ..model import (
    BookingCommand,
    HostId,
    Incarnation,
    Outcome,
    PeerError,
    Reason,
    Seconds,
    SubRequest,
    UpstreamError,
    UpstreamId,
    UpstreamRecord,
)
from ..peering import decode_bundle, encode_bundle, parse_bundle
from ._upstream import StandinUpstream

OPEN_TIMEOUT = Seconds(1)  # to open a stream to a host that does not answer
CONNECT_DELAY = Seconds(0.006)  # to open a connection to an upstream


@dataclass(slots=True)
class LocalNetwork:
    """Links between hosts in one process, with delays, cuts and pauses.

    Attributes:
        delay: seconds that a bundle takes, one way.
        cuts: pairs of sender and receiver between which nothing arrives.
        paused: hosts that neither send nor receive.
    """

    delay: float = 0.001
    cuts: set[tuple[HostId, HostId]] = field(default_factory=set)
    channel_handlers: dict[HostId, Accept] = field(default_factory=dict)
    channels: list['_LocalChannel'] = field(default_factory=list)

    def cut(self, one: HostId, other: HostId, *, both: bool = True) -> None:
        """Let nothing pass from one host to another, or between them."""
        self.cuts.add((one, other))
        if both:
            self.cuts.add((other, one))

    def heal(self) -> None:
        """End every cut."""
        self.cuts.clear()

    def kill(self, host: HostId) -> None:
        """Break a host's streams; whoever connects is refused."""
        self.channel_handlers.pop(host, None)
        for channel in list(self.channels):
            if host in {channel.local, channel.remote}:
                channel.break_off()


class LocalTransport:
    """One host's access to the local network."""

    def __init__(self, network: LocalNetwork, host: HostId) -> None:
        self._network = network
        self._host = host
        self._channel_handler: Accept | None = None

    async def open(self, host: HostId) -> PeerChannel:
        """Open a stream, as the protocol says."""
        network = self._network
        if (self._host, host) in network.cuts or (host, self._host) in network.cuts:
            await asyncio.sleep(OPEN_TIMEOUT)
            raise PeerError(Reason.PEER_UNREACHABLE, Outcome.NOT_RUN, host)
        await asyncio.sleep(network.delay)
        channel_handler = network.channel_handlers.get(host)
        if channel_handler is None:
            raise PeerError(Reason.PEER_REFUSED, Outcome.NOT_RUN, host)
        local_end = _LocalChannel(network, self._host, host)
        remote_end = _LocalChannel(network, host, self._host)
        local_end.other, remote_end.other = remote_end, local_end
        network.channels += [local_end, remote_end]
        remote_end.task = asyncio.ensure_future(channel_handler(remote_end))
        return local_end

    def accept_with(self, channel_handler: Accept) -> None:
        """Set what runs for each stream that a peer opens."""
        self._channel_handler = channel_handler

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._network.kill(self._host)

    def listen(self) -> None:
        """Accept streams from now on."""
        if self._channel_handler is not None:
            self._network.channel_handlers[self._host] = self._channel_handler


class _LocalChannel:
    """One end of a stream."""

    def __init__(self, network: LocalNetwork, local: HostId, remote: HostId) -> None:
        self.local = local
        self.remote = remote
        self.other: _LocalChannel | None = None
        self.task: asyncio.Future[None] | None = None
        self._network = network
        self._inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._is_broken = False

    async def send(self, bundle: Bundle) -> None:
        """Send a bundle; a cut swallows it."""
        if self._is_broken or self.other is None:
            raise PeerError(Reason.PEER_LOST, Outcome.UNKNOWN, self.remote)
        content = encode_bundle(bundle).SerializeToString()
        asyncio.get_running_loop().call_later(
            self._network.delay, self._deliver, content
        )

    async def receive(self) -> AsyncIterator[Bundle]:
        """Yield bundles until the stream breaks."""
        while True:
            content = await self._inbox.get()
            if content is None:
                raise PeerError(Reason.PEER_LOST, Outcome.UNKNOWN, self.remote)
            yield decode_bundle(parse_bundle(content))

    async def close(self) -> None:
        """End the stream."""
        self.break_off()

    def break_off(self) -> None:
        """Break both ends."""
        for end in (self, self.other):
            if end is not None and not end._is_broken:
                end._is_broken = True
                end._inbox.put_nowait(None)
                self._network.channels.remove(end)

    def _deliver(self, content: bytes) -> None:
        if (self.local, self.remote) not in self._network.cuts:
            assert self.other is not None
            self.other._inbox.put_nowait(content)


@dataclass(slots=True)
class LocalUpstreamClient:
    """Connections to stand-in upstreams in this process."""

    upstreams: dict[UpstreamId, StandinUpstream]

    def open(self, upstream: UpstreamRecord) -> '_LocalConnection':
        """Return a connection for one seat."""
        return _LocalConnection(self.upstreams[upstream.upstream])


class _LocalConnection:
    """A connection that opens with its first call and closes with its upstream."""

    def __init__(self, upstream: StandinUpstream) -> None:
        self._upstream = upstream
        self._incarnation: Incarnation | None = None
        self._current_call: str | None = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._close()

    async def search(
        self, call: str, parts: Sequence[SubRequest], budget: Seconds
    ) -> SearchResult:
        """Run sub-requests in one call, which takes one slot."""
        await self._open()
        self._current_call = call
        try:
            async with asyncio.timeout(budget):
                return await self._upstream.search(call, parts, budget)
        except TimeoutError as error:
            raise UpstreamError(Reason.DEADLINE, Outcome.UNKNOWN) from error
        finally:
            self._current_call = None

    async def book(self, command: BookingCommand, budget: Seconds) -> BookingResult:
        """Run a booking, which takes one slot."""
        await self._open()
        call = f'{command.request}/{command.attempt}'
        try:
            async with asyncio.timeout(budget):
                return await self._upstream.book(call, command.content, budget)
        except TimeoutError as error:
            raise UpstreamError(Reason.DEADLINE, Outcome.UNKNOWN) from error

    async def cancel(self) -> None:
        """Stop the call in flight."""
        if self._current_call is not None:
            self._upstream.cancel(self._current_call)

    async def identify(self) -> tuple[Incarnation, bool]:
        """Return the incarnation, and whether the upstream says it is leaving."""
        await self._open()
        return self._upstream.incarnation, self._upstream.behaviour.leaving

    async def _open(self) -> None:
        if self._incarnation == self._upstream.incarnation and self._upstream.is_up:
            return
        self._close()
        await asyncio.sleep(CONNECT_DELAY)
        self._upstream.connect()
        self._incarnation = self._upstream.incarnation

    def _close(self) -> None:
        if self._incarnation is not None:
            self._incarnation = None
            self._upstream.disconnect()

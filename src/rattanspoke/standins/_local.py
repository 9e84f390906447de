"""Fakes of the network between hosts and of upstream connections, without sockets.

Tests on virtual time use them. Bundles pass through the real encoding, so that it is
tested too.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from types import TracebackType
from typing import Self

from ..contracts import BookingResult, Bundle, ChannelHandler, PeerChannel, SearchResult
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

OPEN_TIMEOUT = Seconds(1)  # until opening a stream over a cut link fails
CONNECT_DELAY = Seconds(0.006)  # that opening a connection to an upstream takes


@dataclass(slots=True)
class LocalNetwork:
    """The network between hosts in one process, with delays and cut links.

    Attributes:
        delay: seconds that a bundle takes, one way.
        cuts: pairs of sender and receiver whose bundles are dropped.
        channel_handlers: what runs for each stream that is opened to a host; a host
            that is not listed refuses connections.
        channels: both ends of every open stream.
    """

    delay: float = 0.001
    cuts: set[tuple[HostId, HostId]] = field(default_factory=set)
    channel_handlers: dict[HostId, ChannelHandler] = field(default_factory=dict)
    channels: list['_LocalChannel'] = field(default_factory=list)

    def cut(self, one: HostId, other: HostId, *, both: bool = True) -> None:
        """Drop all bundles from one host to another; also the other way if `both`."""
        self.cuts.add((one, other))
        if both:
            self.cuts.add((other, one))

    def heal(self) -> None:
        """Restore all cut links."""
        self.cuts.clear()

    def kill(self, host: HostId) -> None:
        """Break all streams of a host and refuse new ones, as when its process dies."""
        self.channel_handlers.pop(host, None)
        for channel in list(self.channels):
            if host in {channel.local, channel.remote}:
                channel.break_off()


class LocalTransport:
    """One host's access to the local network."""

    def __init__(self, network: LocalNetwork, host: HostId) -> None:
        self._network = network
        self._host = host
        self._channel_handler: ChannelHandler | None = None

    async def open(self, host: HostId) -> PeerChannel:
        """Open a stream to a host.

        Raises:
            PeerError: when the link is cut, after OPEN_TIMEOUT, or the host refuses.
        """
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

    def register_channel_handler(self, channel_handler: ChannelHandler) -> None:
        """Set the handler that runs for each stream that a peer opens."""
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
        """Accept streams from peers from now on."""
        if self._channel_handler is not None:
            self._network.channel_handlers[self._host] = self._channel_handler


class _LocalChannel:
    """One end of a stream between two hosts."""

    def __init__(self, network: LocalNetwork, local: HostId, remote: HostId) -> None:
        self.local = local
        self.remote = remote
        self.other: _LocalChannel | None = None
        self.task: asyncio.Future[None] | None = None
        self._network = network
        self._inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._is_broken = False

    async def send(self, bundle: Bundle) -> None:
        """Send a bundle; it is dropped without an error if the link is cut.

        Raises:
            PeerError: when the stream is broken.
        """
        if self._is_broken or self.other is None:
            raise PeerError(Reason.PEER_LOST, Outcome.UNKNOWN, self.remote)
        content = encode_bundle(bundle).SerializeToString()
        asyncio.get_running_loop().call_later(
            self._network.delay, self._deliver, content
        )

    async def receive(self) -> AsyncIterator[Bundle]:
        """Yield bundles until the stream breaks, then raise PeerError."""
        while True:
            content = await self._inbox.get()
            if content is None:
                raise PeerError(Reason.PEER_LOST, Outcome.UNKNOWN, self.remote)
            yield decode_bundle(parse_bundle(content))

    async def close(self) -> None:
        """Close the stream at both ends."""
        self.break_off()

    def break_off(self) -> None:
        """Mark both ends as broken and wake their receivers."""
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
    """Opens connections to stand-in upstreams in this process."""

    upstreams: dict[UpstreamId, StandinUpstream]

    def open(self, upstream: UpstreamRecord) -> '_LocalConnection':
        """Return the connection of one seat."""
        return _LocalConnection(self.upstreams[upstream.upstream])


class _LocalConnection:
    """A connection that opens with its first call and reopens after a restart."""

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
        """Run sub-requests in one call, which uses one slot of the upstream."""
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
        """Run a booking in one call, which uses one slot of the upstream."""
        await self._open()
        call = f'{command.request}/{command.attempt}'
        try:
            async with asyncio.timeout(budget):
                return await self._upstream.book(call, command.content, budget)
        except TimeoutError as error:
            raise UpstreamError(Reason.DEADLINE, Outcome.UNKNOWN) from error

    async def cancel(self) -> None:
        """Stop the search call in flight, if there is one."""
        if self._current_call is not None:
            self._upstream.cancel(self._current_call)

    async def identify(self) -> tuple[Incarnation, bool]:
        """Return the upstream's incarnation, and whether it reports draining."""
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

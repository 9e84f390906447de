"""Transport between hosts over gRPC: one bidirectional stream for each peer.

A stream carries bundles; a bundle is a batch of parcels, the envelopes of messages.
"""

import asyncio
from collections.abc import AsyncIterator
from types import TracebackType
from typing import Any, Self

import grpc

from ..contracts import Bundle, ChannelHandler, PeerChannel
from ..model import HostId, Outcome, PeerError, Reason, Seconds
from ._wire import decode_bundle, encode_bundle
from .peer_pb2_grpc import PeerServicer, PeerStub, add_PeerServicer_to_server

OPEN_TIMEOUT = Seconds(1)  # for opening a channel, and for the probe after a failure
STOP_GRACE = Seconds(0.5)  # for open streams when the server stops
MAX_BUNDLE_BYTES = 16 * 1024 * 1024  # of one encoded bundle
KEEPALIVE_MS = 5_000  # between pings on a connection

_OPTIONS = (
    ('grpc.max_send_message_length', MAX_BUNDLE_BYTES),
    ('grpc.max_receive_message_length', MAX_BUNDLE_BYTES),
    ('grpc.keepalive_time_ms', KEEPALIVE_MS),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.min_ping_interval_without_data_ms', KEEPALIVE_MS),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.so_reuseport', 0),
    ('grpc.enable_http_proxy', 0),
)


class GrpcTransport:
    """Listens for streams from peers and opens streams to them.

    Args:
        host: the address on which this host listens, as host:port.
    """

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._channel_handler: ChannelHandler | None = None
        self._server: grpc.aio.Server | None = None

    async def open(self, host: HostId) -> PeerChannel:
        """Open a stream to another host.

        Args:
            host: the address of that host, as host:port.

        Raises:
            PeerError: with PEER_REFUSED when no process listens at the address, else
                PEER_UNREACHABLE; nothing was sent.
        """
        channel = grpc.aio.insecure_channel(host, options=_OPTIONS)
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                await channel.channel_ready()
        except TimeoutError as error:
            await channel.close(None)
            reason = await _classify_open_failure(host)
            raise PeerError(reason, Outcome.NOT_RUN, host) from error
        return _ClientChannel(channel)

    def register_channel_handler(self, channel_handler: ChannelHandler) -> None:
        """Set the handler of incoming streams; each ends when its handler returns."""
        self._channel_handler = channel_handler

    async def __aenter__(self) -> Self:
        server = grpc.aio.server(options=_OPTIONS)
        add_PeerServicer_to_server(_Servicer(self), server)
        server.add_insecure_port(self._host)
        await server.start()
        self._server = server
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._server is not None:
            await self._server.stop(STOP_GRACE)

    async def serve(self, channel: PeerChannel) -> None:
        """Run the handler for a stream that a peer opened."""
        if self._channel_handler is not None:
            await self._channel_handler(channel)


class _Servicer(PeerServicer):  # type: ignore[misc]
    """Implements the gRPC service by passing each stream to the transport."""

    def __init__(self, transport: GrpcTransport) -> None:
        self._transport = transport

    async def Link(self, request_iterator: Any, context: Any) -> None:
        await self._transport.serve(_ServerChannel(request_iterator, context))


class _ClientChannel:
    """A stream that this host opened."""

    def __init__(self, channel: grpc.aio.Channel) -> None:
        self._channel = channel
        self._call = PeerStub(channel).Link()

    async def send(self, bundle: Bundle) -> None:
        """Send a bundle; raises PeerError when the stream is broken."""
        try:
            await self._call.write(encode_bundle(bundle))
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as error:
            raise _make_stream_error(error) from error

    async def receive(self) -> AsyncIterator[Bundle]:
        """Yield bundles until the stream ends; raises PeerError when it breaks."""
        try:
            async for encoded_bundle in self._call:
                yield decode_bundle(encoded_bundle)
        except grpc.aio.AioRpcError as error:
            raise _make_stream_error(error) from error

    async def close(self) -> None:
        """End the stream."""
        self._call.cancel()
        await self._channel.close(None)


class _ServerChannel:
    """A stream that a peer opened."""

    def __init__(self, requests: Any, context: Any) -> None:
        self._requests = requests
        self._context = context

    async def send(self, bundle: Bundle) -> None:
        """Send a bundle; raises PeerError when the stream is broken."""
        try:
            await self._context.write(encode_bundle(bundle))
        except (grpc.RpcError, asyncio.InvalidStateError) as error:
            raise _make_stream_error(error) from error

    async def receive(self) -> AsyncIterator[Bundle]:
        """Yield bundles until the stream ends; raises PeerError when it breaks."""
        try:
            async for encoded_bundle in self._requests:
                yield decode_bundle(encoded_bundle)
        except grpc.RpcError as error:
            raise _make_stream_error(error) from error

    async def close(self) -> None:
        """Do nothing: the stream ends when the servicer's method returns."""


def _make_stream_error(error: Exception) -> PeerError:
    return PeerError(Reason.PEER_LOST, Outcome.UNKNOWN, type(error).__name__)


async def _classify_open_failure(host: HostId) -> Reason:
    """Return why a stream to a host could not be opened.

    The wait for a gRPC channel times out whatever the cause, so this opens a plain TCP
    connection. A refusal proves that no process listens at the address; any other
    result does not.
    """
    address, _, port = host.rpartition(':')
    try:
        async with asyncio.timeout(OPEN_TIMEOUT):
            _, writer = await asyncio.open_connection(address, int(port))
    except ConnectionRefusedError:
        return Reason.PEER_REFUSED
    except (OSError, TimeoutError):
        return Reason.PEER_UNREACHABLE
    writer.close()
    return Reason.PEER_UNREACHABLE

"""A uvicorn server that is started and stopped by the code that creates it."""

import asyncio
import math
import socket
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from types import TracebackType
from typing import Any, Self

import httptools
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .model import CallerLimits, Seconds
from .platform import TARGET_EXTENSION

# What a client may send and how long it may take while no limits are configured.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=64 * 1024,
    body_bytes=1024 * 1024,
    header_time=Seconds(10),
    idle_time=Seconds(60),
)
# Time after the listener was closed in which connections without a request stay open.
# What a client had sent by then is read and answered; closing would reset it unread.
LINGER = Seconds(0.3)
# Headers that belong to an offer to change the protocol.
OFFER_HEADERS = frozenset((b'upgrade', b'http2-settings'))
TOO_LARGE = b'431 Request Header Fields Too Large'
TOO_SLOW = b'408 Request Timeout'


class BoundedHttpProtocol(HttpToolsProtocol):
    """A client's connection that ends when a request head is too large or too slow.

    Without this, a client that sends a head without end, or a byte now and then, would
    hold memory and a descriptor for as long as it likes. A request that ends so has not
    been passed on, and the status that the client gets says so.

    An offer to change the protocol is ignored, and the request served as it is. The
    parser stops at the head of such a request, so the head is parsed again without the
    offer, and its body after it.

    Args:
        find_limits: returns the limits in force.
        options: the arguments of uvicorn's protocol.
    """

    def __init__(self, find_limits: Callable[[], CallerLimits], **options: Any) -> None:
        super().__init__(**options)
        self._find_limits = find_limits
        self._head_bytes = 0
        self._has_head = True  # of the newest request
        self._deadline: asyncio.TimerHandle | None = None
        self._received = b''  # bytes that the parser is being fed
        self._unparsed = b''  # bytes to feed it next

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the time until the first request begins."""
        super().connection_made(transport)  # type: ignore[arg-type]
        idle_time = self._find_limits().idle_time
        self.timeout_keep_alive = math.ceil(idle_time)
        self._deadline = self.loop.call_later(idle_time, self.transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the deadline."""
        self._cancel_deadline()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Begin to measure the head of a request."""
        self._cancel_deadline()
        self._has_head = False
        self._head_bytes = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Stop measuring, and pass the target on as it was sent."""
        self._has_head = True
        super().on_headers_complete()
        if self.url.startswith(b'/') and b'#' not in self.url:
            self.scope['extensions'] = {TARGET_EXTENSION: {'target': self.url}}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; a field that follows the body is none."""
        if not self._has_head:
            super().on_header(name, value)

    def handle_websocket_upgrade(self) -> None:
        """Ignore an offer to change the protocol.

        Called by uvicorn's protocol where the parser has stopped. `CONNECT` stops it
        as well, and asks for a tunnel that does not exist.
        """
        stop = sys.exception()
        if self.parser.get_method() == b'CONNECT' or stop is None:
            self.send_400_response('Tunnels are not supported.')
            return
        self._unparsed = self._write_head() + self._received[stop.args[0] :]
        self.parser = httptools.HttpRequestParser(self)
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; end the connection if the head exceeds a limit."""
        self._unparsed = data
        while self._unparsed:
            self._received, self._unparsed = self._unparsed, b''
            super().data_received(self._received)
        if self._has_head:
            self._cancel_deadline()
            return
        limits = self._find_limits()
        self._head_bytes += len(data)
        if self._head_bytes > limits.header_bytes:
            self._reject(TOO_LARGE)
        elif self._deadline is None:
            self._deadline = self.loop.call_later(
                limits.header_time, self._reject, TOO_SLOW
            )

    def _should_upgrade(self) -> bool:
        """Make uvicorn's protocol leave requests that offer one to the method above."""
        return True

    def _write_head(self) -> bytes:
        """Return the head of the newest request without its offer of a protocol."""
        version = self.parser.get_http_version().encode()
        lines = [b'%b %b HTTP/%b' % (self.parser.get_method(), self.url, version)]
        for name, value in self.headers:
            if name == b'connection':
                options = (each.strip() for each in value.split(b','))
                kept = [each for each in options if each.lower() not in OFFER_HEADERS]
                lines.append(b'%b: %b' % (name, b', '.join(kept)))
            elif name not in OFFER_HEADERS:
                lines.append(b'%b: %b' % (name, value))
        return b'\r\n'.join((*lines, b'', b''))

    def _reject(self, status: bytes) -> None:
        """Answer that the request was not run, unless an answer is still being sent."""
        self._cancel_deadline()
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(
                b'HTTP/1.1 %b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
                % status
            )
        self.transport.close()

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None


def make_bounded_protocol(find_limits: Callable[[], CallerLimits]) -> Any:
    """Return the protocol of a server whose clients are bounded by the given limits."""
    return partial(BoundedHttpProtocol, find_limits)


class EmbeddedServer(uvicorn.Server):
    """A server that runs from entry to exit of its context.

    It installs no signal handlers, because the process handles signals for all of its
    listeners.

    Args:
        config: the configuration of uvicorn.
        linger: seconds for which connections stay open after the listener was closed.
    """

    def __init__(self, config: uvicorn.Config, linger: Seconds = LINGER) -> None:
        super().__init__(config)
        self._linger = linger
        self._serve_task: asyncio.Task[None] | None = None

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Override uvicorn's signal handling with nothing."""
        yield

    def stop(self) -> None:
        """Stop accepting connections, then close those without a request in flight."""
        self.should_exit = True

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Close the listener, and some time later the connections as uvicorn does."""
        for server in self.servers:
            server.close()
        if self.server_state.connections:
            await asyncio.sleep(self._linger)
        await super().shutdown(sockets)

    async def __aenter__(self) -> Self:
        self._serve_task = asyncio.create_task(self.serve())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()
        if self._serve_task is not None:
            await self._serve_task

"""HTTP/1.1 client connections, parsed by httptools.

To decide whether a request may have run, its sender needs facts that general HTTP
clients hide: whether a response without a length ended in an orderly close or a reset,
whether bytes followed a complete response, and whether the client sent the request
again on a new connection. This client reports the first two and never resends.
"""

import asyncio
import socket
from types import TracebackType
from typing import Any, Self, cast

import httptools

from ..model import Headers, Seconds

# TCP closes a connection whose sent bytes stay unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 5  # without traffic before TCP sends keep-alive probes
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 3
# A peer in trouble may send bytes without end. These bound the memory that one response
# can take; a connection that exceeds one of them is aborted.
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
FIRST_FINAL_STATUS = 200  # lower statuses are interim (1xx); the final one follows
BODILESS_STATUSES = frozenset((204, 304))


class HttpConnectionBroken(Exception):
    """Raised when a connection closes or fails before a response is complete."""


class HttpResponse:
    """Response to one request, filled in by the callbacks of the parser.

    Args:
        expected_header: name and value of a header that identifies the request. A
            message that has this header with another value is a late response to an
            earlier request and is dropped; one without the header is accepted.
        has_body: whether a response to the request's method has a body.
        max_body_bytes: the size of the body beyond which the response is given up.

    Attributes:
        is_complete: whether the final response was read to its end.
        is_close_delimited: whether only the end of the connection ends the body.
        must_close: whether the connection must not carry another request, because
            bytes may follow that do not belong to this response.
    """

    def __init__(
        self,
        expected_header: tuple[bytes, bytes] | None = None,
        *,
        has_body: bool = True,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._expected_header = expected_header
        self._has_body = has_body
        self._max_bytes = MAX_HEAD_BYTES + max_body_bytes
        self._received = 0
        self._head_bytes = 0
        self._has_head = False
        self.parser: Any = None
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.is_complete = False
        self.is_close_delimited = False
        self.must_close = False

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of a header, None when the response lacks it."""
        return next((each for key, each in self.headers if key == name), None)

    def count_received(self, size: int) -> bool:
        """Count bytes that were parsed; return whether the response is still bounded.

        Args:
            size: the number of bytes.
        """
        self._received += size
        self._head_bytes = 0 if self._has_head else self._head_bytes + size
        return self._head_bytes <= MAX_HEAD_BYTES and self._received <= self._max_bytes

    def on_message_begin(self) -> None:
        """Begin a message; one after the complete response belongs to no request."""
        if self.is_complete:
            self.must_close = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header, its name in lower case."""
        if not self.is_complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Record the status and determine what delimits the body."""
        if self.is_complete:
            return
        self.status = self.parser.get_status_code()
        self._has_head = self.status >= FIRST_FINAL_STATUS
        if not self._has_body and self._has_head and not self._is_late():
            self.is_complete = True
            self.must_close = True
            return
        has_length = self.find_header(b'content-length') is not None
        is_chunked = self.find_header(b'transfer-encoding') is not None
        is_bodiless = (
            self.status in BODILESS_STATUSES or self.status < FIRST_FINAL_STATUS
        )
        self.is_close_delimited = not (has_length or is_chunked or is_bodiless)

    def on_body(self, content: bytes) -> None:
        """Append a piece of the body."""
        if not self.is_complete:
            self.body += content

    def on_message_complete(self) -> None:
        """Complete the response, or drop an interim or late one."""
        if self.is_complete:
            return
        is_late = self._is_late()
        if is_late or self.status < FIRST_FINAL_STATUS:
            self.must_close = self.must_close or is_late
            self.status = 0
            self._has_head = False
            self.headers = []
            self.body.clear()
            return
        self.is_complete = True

    def select_end_to_end_headers(self, hop_headers: frozenset[bytes]) -> Headers:
        """Return the headers except the given hop-by-hop ones."""
        return tuple(each for each in self.headers if each[0] not in hop_headers)

    def _is_late(self) -> bool:
        if self._expected_header is None:
            return False
        name, value = self._expected_header
        return self.find_header(name) not in {None, value}


class HttpClientConnection(asyncio.Protocol):
    """One open connection, which carries one request at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._response: HttpResponse | None = None
        self._exchange_done: asyncio.Future[None] | None = None
        self._is_open = False
        self._must_close = False

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        if self._transport is None or self._transport.get_write_buffer_size():
            return False
        return self._is_open and not self._must_close

    async def exchange(
        self, content: tuple[bytes, ...], response: HttpResponse, budget: Seconds
    ) -> None:
        """Send a request and read its response to the end.

        Args:
            content: the pieces of the request, head first.
            response: receives the response.
            budget: seconds to wait for the complete response.

        Raises:
            HttpConnectionBroken: when the connection is not reusable, or ended or
                sent bytes that do not parse before the response was complete. In the
                last two cases the request may have run.
            TimeoutError: when the response was not complete within the budget.
        """
        if self._transport is None or not self.is_reusable:
            raise HttpConnectionBroken('the connection is not reusable')
        response.parser = httptools.HttpResponseParser(response)
        self._response = response
        self._exchange_done = asyncio.get_running_loop().create_future()
        self._must_close = True  # until the response is complete
        self._transport.writelines(content)
        try:
            async with asyncio.timeout(budget):
                await self._exchange_done
        finally:
            self._response = None
            self._exchange_done = None
        if not response.is_complete:
            raise HttpConnectionBroken('the response is incomplete or malformed')
        is_closing = b'close' in (response.find_header(b'connection') or b'').lower()
        self._must_close = response.must_close or is_closing

    def abort(self) -> None:
        """Abort the connection, along with any request in flight."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection; abort it if a response may still be arriving."""
        if self._transport is None:
            return
        if self._must_close:
            self._transport.abort()
        else:
            self._transport.close()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection and set its TCP timeouts."""
        self._transport = cast(asyncio.Transport, transport)
        self._is_open = True
        _set_tcp_timeouts(transport.get_extra_info('socket'))

    def data_received(self, content: bytes) -> None:
        """Feed the parser; abort the connection on bytes outside an exchange.

        Such bytes belong to no request, and more of them may follow without end.
        """
        response = self._response
        if response is None:
            self._must_close = True
            self.abort()
            return
        try:
            response.parser.feed_data(content)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            response.must_close = True
            self._finish_exchange()
        if response.is_complete:
            self._finish_exchange()
        elif not response.count_received(len(content)):
            response.must_close = True
            self.abort()
            self._finish_exchange()

    def eof_received(self) -> bool:
        """Complete a close-delimited response: an orderly close marks its end."""
        response = self._response
        if response is not None and response.is_close_delimited:
            response.on_message_complete()
            response.must_close = True
        self._is_open = False
        self._finish_exchange()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange in flight; after a reset its response stays incomplete."""
        self._is_open = False
        self._finish_exchange()

    def _finish_exchange(self) -> None:
        if self._exchange_done is not None and not self._exchange_done.done():
            self._exchange_done.set_result(None)


async def open_http_connection(address: str, limit: Seconds) -> HttpClientConnection:
    """Open a connection to an address.

    Args:
        address: host name or IP address and port, as host:port.
        limit: seconds after which the attempt fails.

    Raises:
        OSError: when the connection cannot be opened.
        TimeoutError: when it is not open within the limit.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(limit):
            _, connection = await loop.create_connection(
                HttpClientConnection, host, int(port)
            )
    except (ValueError, OverflowError) as error:
        raise OSError(f'{address!r} is not an address') from error
    return connection


def _set_tcp_timeouts(sock: Any) -> None:
    """Make the kernel close a connection whose peer stops acknowledging."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)

"""HTTP/1.1 connections, parsed by httptools.

A general client hides what the outcome of a request depends on: whether the end of an
answer without a length was a reset, whether bytes followed a whole answer, and whether
a request was repeated on a new connection. This one tells.
"""

import asyncio
import socket
from types import TracebackType
from typing import Any, Self, cast

import httptools

from ..model import Headers, Seconds

UNACKNOWLEDGED_TIMEOUT_MS = (
    1500  # for sent bytes that the peer's machine does not confirm
)
KEEPALIVE_IDLE_S = 5  # of silence until keep-alive probes begin
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 3
FIRST_FINAL_STATUS = 200  # lower ones announce that the answer is still to come
BODILESS_STATUSES = frozenset((204, 304))


class HttpConnectionBroken(Exception):
    """Raised when a connection ends, or goes out of step, before an answer is whole."""


class HttpResponse:
    """The answer that is being read; the parser calls its methods.

    Args:
        mark: a header and its value that the answer has if it has the header at all;
            a message with another value is a late answer to an earlier request.
        has_body: whether an answer to the request's method has a body.
    """

    def __init__(
        self,
        expected_header: tuple[bytes, bytes] | None = None,
        *,
        has_body: bool = True,
    ) -> None:
        self._expected_header = expected_header
        self._has_body = has_body
        self.parser: Any = None
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.is_complete = False
        self.is_close_delimited = False
        self.must_close = False

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of a header."""
        return next((each for key, each in self.headers if key == name), None)

    def on_message_begin(self) -> None:
        """Start a message; one that follows a whole answer belongs to no request."""
        if self.is_complete:
            self.must_close = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header of the message."""
        if not self.is_complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Take the status, and tell how the body will end."""
        if self.is_complete:
            return
        self.status = self.parser.get_status_code()
        if not self._has_body and self.status >= FIRST_FINAL_STATUS:
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
        """Take a piece of the body."""
        if not self.is_complete:
            self.body += content

    def on_message_complete(self) -> None:
        """End a message: an interim or late one, or the answer."""
        if self.is_complete:
            return
        is_late = self._is_late()
        if is_late or self.status < FIRST_FINAL_STATUS:
            self.must_close = self.must_close or is_late
            self.status = 0
            self.headers = []
            self.body.clear()
            return
        self.is_complete = True

    def select_end_to_end_headers(self, hop_headers: frozenset[bytes]) -> Headers:
        """Return the headers that do not concern one connection only."""
        return tuple(each for each in self.headers if each[0] not in hop_headers)

    def _is_late(self) -> bool:
        if self._expected_header is None:
            return False
        name, value = self._expected_header
        return self.find_header(name) not in {None, value}


class HttpClientConnection(asyncio.Protocol):
    """One open connection; it takes one request at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._response: HttpResponse | None = None
        self._exchange_done: asyncio.Future[None] | None = None
        self._is_open = False
        self._must_close = False

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on it."""
        if self._transport is None or self._transport.get_write_buffer_size():
            return False
        return self._is_open and not self._must_close

    async def exchange(
        self, content: tuple[bytes, ...], response: HttpResponse, budget: Seconds
    ) -> None:
        """Send a request and read the whole answer.

        Raises:
            LineBroken: when there is no whole answer; the request may have run.
            TimeoutError: when it did not come within the budget.
        """
        if self._transport is None or not self.is_reusable:
            raise HttpConnectionBroken('the connection is closed')
        response.parser = httptools.HttpResponseParser(response)
        self._response = response
        self._exchange_done = asyncio.get_running_loop().create_future()
        self._must_close = True  # until the whole answer is read
        self._transport.writelines(content)
        try:
            async with asyncio.timeout(budget):
                await self._exchange_done
        finally:
            self._response = None
            self._exchange_done = None
        if not response.is_complete:
            raise HttpConnectionBroken('the answer broke off')
        is_closing = b'close' in (response.find_header(b'connection') or b'').lower()
        self._must_close = response.must_close or is_closing

    def abort(self) -> None:
        """Break the connection off, whatever is in flight."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection; what is unread or unsent is dropped."""
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
        """Take the transport of a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._is_open = True
        _set_tcp_timeouts(transport.get_extra_info('socket'))

    def data_received(self, content: bytes) -> None:
        """Feed the parser; bytes that no request asked for end the connection's use."""
        response = self._response
        if response is None:
            self._must_close = True
            return
        try:
            response.parser.feed_data(content)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            response.must_close = True
            self._finish_exchange()
        if response.is_complete:
            self._finish_exchange()

    def eof_received(self) -> bool:
        """End an answer without a length: the other end has sent all of it."""
        response = self._response
        if response is not None and response.is_close_delimited:
            response.on_message_complete()
            response.must_close = True
        self._is_open = False
        self._finish_exchange()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is in flight."""
        self._is_open = False
        self._finish_exchange()

    def _finish_exchange(self) -> None:
        if self._exchange_done is not None and not self._exchange_done.done():
            self._exchange_done.set_result(None)


async def open_http_connection(address: str, limit: Seconds) -> HttpClientConnection:
    """Open a connection to host:port; raises OSError or TimeoutError."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(limit):
        _, connection = await loop.create_connection(
            HttpClientConnection, host, int(port)
        )
    return connection


def _set_tcp_timeouts(sock: Any) -> None:
    """Let the kernel end a connection whose other end no longer confirms anything."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)

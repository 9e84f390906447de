"""Connections to upstreams over HTTP/1.1, parsed by httptools.

A general client hides what the outcome of a request depends on: whether the end of an
answer without a length was a reset, whether bytes followed a whole answer, and whether
a request was repeated on a new connection. This one tells.
"""

import asyncio
import socket
from types import TracebackType
from typing import Any, Self, cast

import httptools

from ..model import (
    CallerRequest,
    Headers,
    Outcome,
    Reason,
    Seal,
    Seconds,
    UpstreamError,
    UpstreamId,
    UpstreamReply,
)
from ._words import (
    ATTEMPT_HEADER,
    HOP_HEADERS,
    MILLISECONDS,
    MISDIRECTED,
    NOT_EXECUTED_HEADER,
    OWN_HEADERS,
    SEAL_HEADER,
)

UNANSWERED_LIMIT_MS = 3000  # for sent bytes that the peer's machine does not confirm
PROBE_IDLE_S = 5  # of silence until keep-alive probes begin
PROBE_INTERVAL_S = 1
PROBE_COUNT = 3
FIRST_FINAL_STATUS = 200  # lower ones announce that the answer is still to come
BODILESS = frozenset((204, 304))
WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))


class HttpConnections:
    """Open connections to upstreams."""

    async def open(self, address: str, limit: Seconds) -> 'HttpConnection':
        """Open a connection within some seconds; raises UpstreamError, nothing sent."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(limit):
                _, connection = await loop.create_connection(
                    HttpConnection, host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise UpstreamError(
                Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN, repr(error)
            ) from error
        return connection


class _Answer:
    """The answer that is being read; the parser calls its methods."""

    def __init__(self, attempt: bytes, *, has_body: bool) -> None:
        self._attempt = attempt
        self._has_body = has_body
        self.parser: Any = None
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.is_whole = False
        self.is_unframed = False
        self.is_dirty = False
        self._was_late = False

    def find(self, name: bytes) -> bytes | None:
        """Return the value of a header."""
        return next((each for key, each in self.headers if key == name), None)

    def on_message_begin(self) -> None:
        """Start a message; one that follows a whole answer belongs to no request."""
        if self.is_whole:
            self.is_dirty = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header of the message."""
        if not self.is_whole:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Take the status, and tell how the body will end."""
        if self.is_whole:
            return
        self.status = self.parser.get_status_code()
        if not self._has_body and self.status >= FIRST_FINAL_STATUS:
            self.is_whole = True
            self.is_dirty = True
            return
        has_length = self.find(b'content-length') is not None
        is_chunked = self.find(b'transfer-encoding') is not None
        is_bodiless = self.status in BODILESS or self.status < FIRST_FINAL_STATUS
        self.is_unframed = not (has_length or is_chunked or is_bodiless)

    def on_body(self, content: bytes) -> None:
        """Take a piece of the body."""
        if not self.is_whole:
            self.body += content

    def on_message_complete(self) -> None:
        """End a message: an interim or late one, or the answer."""
        if self.is_whole:
            return
        echoed = self.find(ATTEMPT_HEADER)
        is_late = echoed is not None and echoed != self._attempt
        if is_late or self.status < FIRST_FINAL_STATUS:
            self.is_dirty = self.is_dirty or is_late
            self.status = 0
            self.headers = []
            self.body.clear()
            return
        self.is_whole = True


class HttpConnection(asyncio.Protocol):
    """One open connection; it takes one request at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._answer: _Answer | None = None
        self._ended: asyncio.Future[None] | None = None
        self._is_open = False
        self._is_dirty = False
        self._kept_for: Seconds | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on it."""
        if self._transport is None or self._transport.get_write_buffer_size():
            return False
        return self._is_open and not self._is_dirty

    @property
    def kept_for(self) -> Seconds | None:
        """Seconds for which the upstream keeps it open while idle, if it told."""
        return self._kept_for

    async def exchange(
        self, request: CallerRequest, upstream: UpstreamId, budget: Seconds
    ) -> UpstreamReply:
        """Send a request and return the whole reply; raises UpstreamError."""
        if self._transport is None or not self.is_reusable:
            raise UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN)
        head = _write_head(request, upstream, budget)
        answer = _Answer(request.attempt.encode(), has_body=request.method != 'HEAD')
        answer.parser = httptools.HttpResponseParser(answer)
        self._answer = answer
        self._ended = asyncio.get_running_loop().create_future()
        self._is_dirty = True  # until the whole answer is read
        self._transport.writelines((head, request.body))
        try:
            async with asyncio.timeout(budget):
                await self._ended
        except TimeoutError as error:
            raise UpstreamError(Reason.DEADLINE, Outcome.UNKNOWN) from error
        finally:
            self._answer = None
            self._ended = None
        if not answer.is_whole:
            raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN)
        return self._read_reply(upstream, answer)

    def abort(self) -> None:
        """Break the connection off, whatever is in flight."""
        if self._transport is not None:
            self._transport.abort()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._transport is None:
            return
        if self._is_dirty:
            self._transport.abort()
        else:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport of a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._is_open = True
        _watch_silence(transport.get_extra_info('socket'))

    def data_received(self, content: bytes) -> None:
        """Feed the parser; bytes that no request asked for end the connection's use."""
        answer = self._answer
        if answer is None:
            self._is_dirty = True
            return
        try:
            answer.parser.feed_data(content)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            answer.is_dirty = True
            self._end()
        if answer.is_whole:
            self._end()

    def eof_received(self) -> bool:
        """End an answer without a length: the upstream has sent all of it."""
        answer = self._answer
        if answer is not None and answer.is_unframed:
            answer.on_message_complete()
            answer.is_dirty = True
        self._is_open = False
        self._end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is in flight."""
        self._is_open = False
        self._end()

    def _end(self) -> None:
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(None)

    def _read_reply(self, upstream: UpstreamId, answer: _Answer) -> UpstreamReply:
        if answer.find(b'content-encoding') is not None:
            raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN)
        connection = (answer.find(b'connection') or b'').lower()
        is_last = b'close' in connection
        self._is_dirty = answer.is_dirty or is_last
        self._kept_for = _read_kept_for(answer.find(b'keep-alive'))
        is_foreign = answer.status == MISDIRECTED
        not_executed = answer.find(NOT_EXECUTED_HEADER) is not None
        seal = answer.find(SEAL_HEADER)
        return UpstreamReply(
            upstream=upstream,
            status=answer.status,
            headers=_keep_end_to_end(answer.headers),
            body=bytes(answer.body),
            outcome=Outcome.NOT_RUN if not_executed or is_foreign else Outcome.RAN,
            seal=None if seal is None else Seal(seal.decode('latin-1')),
            is_foreign=is_foreign,
            is_last=is_last,
        )


def _write_head(request: CallerRequest, upstream: UpstreamId, budget: Seconds) -> bytes:
    left = max(1, int(budget * MILLISECONDS))
    lines = [f'{request.method} {request.target} HTTP/1.1'.encode('latin-1')]
    lines += [
        b'%b: %b' % (name, value)
        for name, value in request.headers
        if name not in HOP_HEADERS and name not in OWN_HEADERS
    ]
    lines.append(b'Rattanspoke-Time-Budget: %d' % left)
    lines.append(b'Rattanspoke-Target-Instance: %b' % upstream.encode('latin-1'))
    if request.body or request.method in WITH_BODY:
        lines.append(b'Content-Length: %d' % len(request.body))
    return b'\r\n'.join((*lines, b'', b''))


def _keep_end_to_end(headers: list[tuple[bytes, bytes]]) -> Headers:
    return tuple((name, value) for name, value in headers if name not in HOP_HEADERS)


def _read_kept_for(value: bytes | None) -> Seconds | None:
    """Return the timeout of a Keep-Alive header, None where it states none."""
    for field in (value or b'').split(b','):
        name, _, number = field.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return Seconds(int(number))
    return None


def _watch_silence(sock: Any) -> None:
    """Let the kernel end a connection whose other end no longer confirms anything."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNANSWERED_LIMIT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)

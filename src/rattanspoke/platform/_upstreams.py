"""Forwarding of requests to upstreams over HTTP.

Each failure carries an `Outcome`, which says whether the upstream ran the request.
"""

import re
import time
from email.utils import parsedate_to_datetime
from types import TracebackType
from typing import Self

import structlog

from ..model import (
    MS_PER_SECOND,
    CallerRequest,
    Outcome,
    Reason,
    Seal,
    Seconds,
    UpstreamError,
    UpstreamId,
    UpstreamReply,
)
from ._http import (
    HttpClientConnection,
    HttpConnectionBroken,
    HttpResponse,
    open_http_connection,
)
from ._words import (
    ACCEPT_ENCODING_HEADER,
    ATTEMPT_ID_HEADER,
    HOP_BY_HOP_HEADERS,
    MISDIRECTED_STATUS,
    NOT_EXECUTED_HEADER,
    PROMISE_STATUSES,
    REPLACED_HEADERS,
    REPLY_HOP_HEADERS,
    RETRY_AFTER_HEADER,
    SERVER_LEAVES,
    SERVER_LEAVING_HEADER,
    SERVER_SEAL_HEADER,
    UNAVAILABLE_STATUS,
)

SECONDS = re.compile(r'[0-9]{1,15}([.][0-9]{1,15})?')
LOGGED_CHARACTERS = 40  # of a header's value
METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))

_LOG = structlog.get_logger()


class HttpUpstreamConnector:
    """Opens HTTP/1.1 connections to upstreams."""

    async def open(self, address: str, limit: Seconds) -> 'HttpUpstreamConnection':
        """Open a connection.

        Args:
            address: host name or IP address and port of the upstream, as host:port.
            limit: seconds after which the attempt fails.

        Raises:
            UpstreamError: with UPSTREAM_REFUSED when the connection is refused, else
                UPSTREAM_UNREACHABLE; no request was sent.
        """
        try:
            return HttpUpstreamConnection(await open_http_connection(address, limit))
        except ConnectionRefusedError as error:
            raise UpstreamError(
                Reason.UPSTREAM_REFUSED, Outcome.NOT_RUN, repr(error)
            ) from error
        except (OSError, TimeoutError) as error:
            raise UpstreamError(
                Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN, repr(error)
            ) from error


class HttpUpstreamConnection:
    """One open connection to an upstream, which carries one request at a time."""

    def __init__(self, connection: HttpClientConnection) -> None:
        self._connection = connection
        self._keep_alive_timeout: Seconds | None = None
        self._has_echoed = False  # whether the upstream repeats the attempt's id

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self._connection.is_reusable

    @property
    def keep_alive_timeout(self) -> Seconds | None:
        """Idle timeout in seconds from the last reply's Keep-Alive header, or None."""
        return self._keep_alive_timeout

    async def exchange(
        self, request: CallerRequest, upstream: UpstreamId, budget: Seconds
    ) -> UpstreamReply:
        """Send a request and return the complete reply.

        Args:
            request: the caller's request, forwarded unchanged except for the
                hop-by-hop headers and those that this system sets.
            upstream: name of the upstream that is to run the request.
            budget: seconds to wait; passed on to the upstream in a header.

        Raises:
            UpstreamError: when there is no complete reply.
        """
        if not self._connection.is_reusable:
            raise UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN)
        head = _write_head(request, upstream, budget)
        expected_header = ATTEMPT_ID_HEADER, request.attempt.encode('latin-1')
        response = HttpResponse(expected_header, has_body=request.method != 'HEAD')
        try:
            await self._connection.exchange((head, request.body), response, budget)
        except TimeoutError as error:
            raise UpstreamError(Reason.DEADLINE, Outcome.UNKNOWN) from error
        except HttpConnectionBroken as error:
            raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN) from error
        self._check_echo(response)
        self._keep_alive_timeout = _read_keep_alive_timeout(
            response.find_header(b'keep-alive')
        )
        return _read_reply(upstream, response)

    def abort(self) -> None:
        """Abort the connection, along with any request in flight."""
        self._connection.abort()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._connection.close()

    def _check_echo(self, response: HttpResponse) -> None:
        """Reject a reply that may be a second copy of an earlier one.

        A copy without the attempt's id cannot be told apart by that id, but an upstream
        that has repeated the id on this connection does so in each reply of its own.
        """
        if response.find_header(ATTEMPT_ID_HEADER) is not None:
            self._has_echoed = True
        elif self._has_echoed:
            self._connection.abort()
            raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN)


def _read_reply(upstream: UpstreamId, response: HttpResponse) -> UpstreamReply:
    if response.find_header(b'content-encoding') is not None:
        # No request is meant to ask for a content encoding, so an encoded body is not
        # the one that the upstream produced.
        raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN)
    is_misdirected = response.status == MISDIRECTED_STATUS
    not_executed = response.find_header(NOT_EXECUTED_HEADER) is not None
    seal = response.find_header(SERVER_SEAL_HEADER)
    return UpstreamReply(
        upstream=upstream,
        status=response.status,
        headers=response.select_end_to_end_headers(REPLY_HOP_HEADERS),
        body=bytes(response.body),
        outcome=Outcome.NOT_RUN if not_executed or is_misdirected else Outcome.RAN,
        seal=None if seal is None else Seal(seal.decode('latin-1')),
        is_misdirected=is_misdirected,
        is_refusal=response.status in PROMISE_STATUSES,
        is_leaving=response.find_header(SERVER_LEAVING_HEADER) == SERVER_LEAVES,
        quiet_time=_read_quiet_time(response),
    )


def _read_quiet_time(response: HttpResponse) -> Seconds | None:
    """Return the seconds in the Retry-After header of a 503, None if it asks for none.

    The header holds seconds, which may be fractional, or a date.
    """
    value = response.find_header(RETRY_AFTER_HEADER)
    if value is None or response.status != UNAVAILABLE_STATUS:
        return None
    text = value.decode('latin-1').strip()
    if SECONDS.fullmatch(text):
        return Seconds(float(text)) or None
    try:
        moment = parsedate_to_datetime(text)
        return Seconds(max(0, moment.timestamp() - time.time())) or None
    except (ValueError, OverflowError):
        _LOG.info('retry-after not readable', value=text[:LOGGED_CHARACTERS])
        return None


def _write_head(request: CallerRequest, upstream: UpstreamId, budget: Seconds) -> bytes:
    budget_ms = max(1, int(budget * MS_PER_SECOND))
    lines = [f'{request.method} {request.target} HTTP/1.1'.encode('latin-1')]
    lines += [
        b'%b: %b' % (name, value)
        for name, value in request.headers
        if name not in HOP_BY_HOP_HEADERS and name not in REPLACED_HEADERS
    ]
    if any(name == ACCEPT_ENCODING_HEADER for name, _ in request.headers):
        lines.append(b'Accept-Encoding: identity')
    lines.append(b'Rattanspoke-Time-Budget: %d' % budget_ms)
    lines.append(b'Rattanspoke-Target-Instance: %b' % upstream.encode('latin-1'))
    if request.body or request.method in METHODS_WITH_BODY:
        lines.append(b'Content-Length: %d' % len(request.body))
    return b'\r\n'.join((*lines, b'', b''))


def _read_keep_alive_timeout(value: bytes | None) -> Seconds | None:
    """Return the timeout of a Keep-Alive header in seconds, None without one."""
    for field in (value or b'').split(b','):
        name, _, number = field.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return Seconds(int(number))
    return None

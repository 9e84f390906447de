"""Requests to upstreams: forwarded unchanged, their outcome told exactly."""

from types import TracebackType
from typing import Self

from ..model import (
    MILLISECONDS,
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
    ATTEMPT_ID_HEADER,
    HOP_BY_HOP_HEADERS,
    MISDIRECTED_STATUS,
    NOT_EXECUTED_HEADER,
    REPLACED_HEADERS,
    SERVER_SEAL_HEADER,
)

METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))


class HttpUpstreamConnector:
    """Open connections to upstreams."""

    async def open(self, address: str, limit: Seconds) -> 'HttpUpstreamConnection':
        """Open a connection within some seconds; raises UpstreamError, nothing sent."""
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
    """One open connection to an upstream; it takes one request at a time."""

    def __init__(self, connection: HttpClientConnection) -> None:
        self._connection = connection
        self._keep_alive_timeout: Seconds | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on it."""
        return self._connection.is_reusable

    @property
    def keep_alive_timeout(self) -> Seconds | None:
        """Seconds for which the upstream keeps it open while idle, if it told."""
        return self._keep_alive_timeout

    async def exchange(
        self, request: CallerRequest, upstream: UpstreamId, budget: Seconds
    ) -> UpstreamReply:
        """Send a request and return the whole reply; raises UpstreamError."""
        if not self._connection.is_reusable:
            raise UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN)
        head = _write_head(request, upstream, budget)
        expected_header = ATTEMPT_ID_HEADER, request.attempt.encode()
        response = HttpResponse(expected_header, has_body=request.method != 'HEAD')
        try:
            await self._connection.exchange((head, request.body), response, budget)
        except TimeoutError as error:
            raise UpstreamError(Reason.DEADLINE, Outcome.UNKNOWN) from error
        except HttpConnectionBroken as error:
            raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN) from error
        self._keep_alive_timeout = _read_keep_alive_timeout(
            response.find_header(b'keep-alive')
        )
        return _read_reply(upstream, response)

    def abort(self) -> None:
        """Break the connection off, whatever is in flight."""
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


def _read_reply(upstream: UpstreamId, response: HttpResponse) -> UpstreamReply:
    if response.find_header(b'content-encoding') is not None:
        # Nobody asked for an encoding, so this is not the upstream's own body.
        raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN)
    is_foreign = response.status == MISDIRECTED_STATUS
    not_executed = response.find_header(NOT_EXECUTED_HEADER) is not None
    seal = response.find_header(SERVER_SEAL_HEADER)
    return UpstreamReply(
        upstream=upstream,
        status=response.status,
        headers=response.select_end_to_end_headers(HOP_BY_HOP_HEADERS),
        body=bytes(response.body),
        outcome=Outcome.NOT_RUN if not_executed or is_foreign else Outcome.RAN,
        seal=None if seal is None else Seal(seal.decode('latin-1')),
        is_foreign=is_foreign,
    )


def _write_head(request: CallerRequest, upstream: UpstreamId, budget: Seconds) -> bytes:
    budget_ms = max(1, int(budget * MILLISECONDS))
    lines = [f'{request.method} {request.target} HTTP/1.1'.encode('latin-1')]
    lines += [
        b'%b: %b' % (name, value)
        for name, value in request.headers
        if name not in HOP_BY_HOP_HEADERS and name not in REPLACED_HEADERS
    ]
    lines.append(b'Rattanspoke-Time-Budget: %d' % budget_ms)
    lines.append(b'Rattanspoke-Target-Instance: %b' % upstream.encode('latin-1'))
    if request.body or request.method in METHODS_WITH_BODY:
        lines.append(b'Content-Length: %d' % len(request.body))
    return b'\r\n'.join((*lines, b'', b''))


def _read_keep_alive_timeout(value: bytes | None) -> Seconds | None:
    """Return the timeout of a Keep-Alive header, None where it states none."""
    for field in (value or b'').split(b','):
        name, _, number = field.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return Seconds(int(number))
    return None

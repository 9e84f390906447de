"""Requests to upstreams: forwarded unchanged, their outcome told exactly."""

from types import TracebackType
from typing import Self

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
from ._http import HttpAnswer, HttpLine, LineBroken, open_line
from ._words import (
    ATTEMPT_HEADER,
    HOP_HEADERS,
    MISDIRECTED,
    NOT_EXECUTED_HEADER,
    OWN_HEADERS,
    SEAL_HEADER,
)

WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))


class HttpConnections:
    """Open connections to upstreams."""

    async def open(self, address: str, limit: Seconds) -> 'HttpConnection':
        """Open a connection within some seconds; raises UpstreamError, nothing sent."""
        try:
            return HttpConnection(await open_line(address, limit))
        except ConnectionRefusedError as error:
            raise UpstreamError(
                Reason.UPSTREAM_REFUSED, Outcome.NOT_RUN, repr(error)
            ) from error
        except (OSError, TimeoutError) as error:
            raise UpstreamError(
                Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN, repr(error)
            ) from error


class HttpConnection:
    """One open connection to an upstream; it takes one request at a time."""

    def __init__(self, line: HttpLine) -> None:
        self._line = line
        self._kept_for: Seconds | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on it."""
        return self._line.is_reusable

    @property
    def keep_alive_timeout(self) -> Seconds | None:
        """Seconds for which the upstream keeps it open while idle, if it told."""
        return self._kept_for

    async def exchange(
        self, request: CallerRequest, upstream: UpstreamId, budget: Seconds
    ) -> UpstreamReply:
        """Send a request and return the whole reply; raises UpstreamError."""
        if not self._line.is_reusable:
            raise UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN)
        head = _write_head(request, upstream, budget)
        mark = ATTEMPT_HEADER, request.attempt.encode()
        answer = HttpAnswer(mark, has_body=request.method != 'HEAD')
        try:
            await self._line.exchange((head, request.body), answer, budget)
        except TimeoutError as error:
            raise UpstreamError(Reason.DEADLINE, Outcome.UNKNOWN) from error
        except LineBroken as error:
            raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN) from error
        self._kept_for = _read_kept_for(answer.find(b'keep-alive'))
        return _read_reply(upstream, answer)

    def abort(self) -> None:
        """Break the connection off, whatever is in flight."""
        self._line.abort()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._line.close()


def _read_reply(upstream: UpstreamId, answer: HttpAnswer) -> UpstreamReply:
    if answer.find(b'content-encoding') is not None:
        # Nobody asked for an encoding, so this is not the upstream's own body.
        raise UpstreamError(Reason.REPLY_BROKEN, Outcome.UNKNOWN)
    is_misdirected = answer.status == MISDIRECTED
    not_executed = answer.find(NOT_EXECUTED_HEADER) is not None
    seal = answer.find(SEAL_HEADER)
    return UpstreamReply(
        upstream=upstream,
        status=answer.status,
        headers=answer.keep_end_to_end(HOP_HEADERS),
        body=bytes(answer.body),
        outcome=Outcome.NOT_RUN if not_executed or is_misdirected else Outcome.RAN,
        seal=None if seal is None else Seal(seal.decode('latin-1')),
        is_misdirected=is_misdirected,
    )


def _write_head(request: CallerRequest, upstream: UpstreamId, budget: Seconds) -> bytes:
    left = max(1, int(budget * MS_PER_SECOND))
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


def _read_kept_for(value: bytes | None) -> Seconds | None:
    """Return the timeout of a Keep-Alive header, None where it states none."""
    for field in (value or b'').split(b','):
        name, _, number = field.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return Seconds(int(number))
    return None

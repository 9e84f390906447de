"""ASGI applications that serve callers and the load balancer's probes."""

import asyncio
import math
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, TypeAlias

from ..contracts import COUNTERS, READINESS, REQUEST_HANDLER, SHARED_STATE, Metric
from ..kernel import Kernel
from ..model import (
    MS_PER_SECOND,
    CallerAnswer,
    CallerRequest,
    Failed,
    Headers,
    Merged,
    Reason,
    Refused,
    Rejected,
    Relayed,
    RequestId,
    Seconds,
)
from ._words import (
    ATTEMPT_ID_HEADER,
    HOP_BY_HOP_HEADERS,
    MISSING_PARTS_HEADER,
    PART_SEALS_HEADER,
    READINESS_PATH,
    TIME_BUDGET_HEADER,
)

Message: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
Application: TypeAlias = Callable[[Message, Receive, Send], Awaitable[None]]

# Extension of the ASGI scope that holds the target of the request in origin form. The
# scope itself does not distinguish an empty query from none.
TARGET_EXTENSION = 'rattanspoke.target'
DEFAULT_TIME_BUDGET = Seconds(60)  # for a request without the header
MAX_TIME_BUDGET = Seconds(3600)
DEFAULT_BODY_BYTES = 1024 * 1024  # limit while no desired state is known
REJECTION_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.DEADLINE: 408,
}
# Rejections before the body was read. The rest of it may be without end, so the
# connection cannot be used again.
UNREAD_REASONS = frozenset((Reason.TOO_LARGE, Reason.DEADLINE))
UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


class _CallerDisconnected(Exception):
    """Raised when a caller closes its connection before its request is read."""


def make_caller_app(kernel: Kernel) -> Application:
    """Return the application that serves callers."""

    async def serve(scope: Message, receive: Receive, send: Send) -> None:
        if scope['type'] != 'http':
            return
        try:
            request = await _read_request(kernel, scope, receive)
        except _CallerDisconnected:
            kernel.find(COUNTERS).add(Metric.CALLERS_LEFT, 'reading')
            return
        if isinstance(request, Rejected):
            await _write(kernel, send, request)
            return
        answer = await _serve_while_connected(kernel, request, receive)
        if answer is not None:
            await _write(kernel, send, answer)

    return serve


def make_probe_app(kernel: Kernel, render: Callable[[Kernel], str]) -> Application:
    """Return the application that answers readiness probes and serves metrics.

    Args:
        kernel: the kernel of the host that is probed.
        render: returns the host's metrics as text.
    """

    async def serve(scope: Message, receive: Receive, send: Send) -> None:
        if scope['type'] != 'http':
            return
        if scope['path'] == '/metrics':
            await _send(send, 200, [], render(kernel).encode())
        elif scope['path'] == READINESS_PATH:
            is_ready = kernel.find(READINESS).is_ready
            await _send(send, 200 if is_ready else UNAVAILABLE, [], b'')
        else:
            await _send(send, 404, [], b'')

    return serve


async def _read_request(
    kernel: Kernel, scope: Message, receive: Receive
) -> CallerRequest | Rejected:
    arrived = Seconds(asyncio.get_running_loop().time())
    desired = kernel.find(SHARED_STATE).desired
    limits = desired.limits if desired else None
    headers: Headers = tuple(scope['headers'])
    values = dict(headers)
    if limits is not None and _count_header_bytes(headers) > limits.header_bytes:
        return Rejected(Reason.HEADERS_TOO_LARGE)
    budget = _read_budget(values.get(TIME_BUDGET_HEADER))
    authority = values.get(b'host', b'').decode('latin-1').lower()
    if budget is None or not authority:
        return Rejected(Reason.BAD_REQUEST)
    body_bytes = limits.body_bytes if limits else DEFAULT_BODY_BYTES
    try:
        async with asyncio.timeout_at(arrived + budget):
            body = await _read_body(receive, body_bytes, values.get(b'content-length'))
    except TimeoutError:
        return Rejected(Reason.DEADLINE)
    if body is None:
        return Rejected(Reason.TOO_LARGE)
    return CallerRequest(
        attempt=RequestId(values.get(ATTEMPT_ID_HEADER, b'').decode('latin-1')),
        method=scope['method'],
        target=_read_target(scope).decode('latin-1'),
        authority=authority.partition(':')[0],
        headers=headers,
        body=body,
        deadline=Seconds(arrived + budget),
        arrived=arrived,
    )


def _read_target(scope: Message) -> bytes:
    """Return path and query, as the caller sent them if the server passes that on."""
    extension = scope.get('extensions', {}).get(TARGET_EXTENSION)
    if extension is not None:
        target: bytes = extension['target']
        return target
    query = scope['query_string']
    return b'?'.join((scope['raw_path'], query) if query else (scope['raw_path'],))


def _count_header_bytes(headers: Headers) -> int:
    separators = len(b': \r\n')
    return sum(len(name) + len(value) + separators for name, value in headers)


def _read_budget(value: bytes | None) -> Seconds | None:
    """Return the seconds that a caller waits, None if the header has no such number."""
    if value is None:
        return DEFAULT_TIME_BUDGET
    try:
        budget = float(value) / MS_PER_SECOND
    except ValueError:
        return None
    if budget < 0 or not math.isfinite(budget):
        return None
    return Seconds(min(budget, MAX_TIME_BUDGET))


async def _read_body(
    receive: Receive, limit: int, length: bytes | None
) -> bytes | None:
    """Return the complete body, None when it is over the limit in bytes.

    Raises:
        _CallerDisconnected: when the caller closes its connection first.
    """
    if length is not None and int(length) > limit:
        return None
    body = b''
    while len(body) <= limit:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise _CallerDisconnected
        body += message.get('body', b'')
        if not message.get('more_body', False):
            break
    return body if len(body) <= limit else None


async def _serve_while_connected(
    kernel: Kernel, request: CallerRequest, receive: Receive
) -> CallerAnswer | None:
    """Return the answer; None if the caller disconnects, which cancels the request."""
    serving = asyncio.ensure_future(kernel.find(REQUEST_HANDLER).serve(request))
    disconnected: asyncio.Future[Message] = asyncio.ensure_future(receive())
    try:
        await asyncio.wait((serving, disconnected), return_when=asyncio.FIRST_COMPLETED)
    finally:
        disconnected.cancel()
        if not serving.done():
            serving.cancel()
    if serving.done():
        return serving.result()
    kernel.find(COUNTERS).add(Metric.CALLERS_LEFT, 'waiting')
    return None


async def _write(kernel: Kernel, send: Send, answer: CallerAnswer) -> None:
    headers: list[tuple[bytes, bytes]] = []
    if kernel.find(READINESS).should_close_connections():
        headers.append((b'connection', b'close'))
    match answer:
        case Relayed(reply):
            end_to_end = [
                each for each in reply.headers if each[0] not in HOP_BY_HOP_HEADERS
            ]
            await _send(send, reply.status, headers + end_to_end, reply.body)
        case Merged(seals, missing, body):
            headers.append((PART_SEALS_HEADER, ', '.join(seals).encode('latin-1')))
            headers.append((MISSING_PARTS_HEADER, b'%d' % missing))
            await _send(send, 200, headers, body)
        case Refused(reason, retry_after):
            headers.append((b'retry-after', f'{retry_after:.3f}'.encode()))
            await _send(send, UNAVAILABLE, headers, reason.value.encode())
        case Failed(reason):
            is_timeout = reason is Reason.DEADLINE
            status = GATEWAY_TIMEOUT if is_timeout else BAD_GATEWAY
            await _send(send, status, headers, reason.value.encode())
        case Rejected(reason):
            status = REJECTION_STATUS[reason]
            if reason in UNREAD_REASONS:
                headers = [(b'connection', b'close')]
            await _send(send, status, headers, reason.value.encode())


async def _send(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    length = (b'content-length', b'%d' % len(body))
    start = {
        'type': 'http.response.start',
        'status': status,
        'headers': [*headers, length],
    }
    await send(start)
    await send({'type': 'http.response.body', 'body': body})

"""The HTTP API for callers and operators, built on litestar."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from litestar import Litestar, Request, Response, get, post
from litestar.exceptions import ClientException, HTTPException
from litestar.openapi.config import OpenAPIConfig

from ..contracts import (
    BOOKINGS,
    COUNTERS,
    LIFECYCLE,
    ORGANISATIONS,
    SEARCHES,
    SUPERVISOR,
    TIMELINE,
    Metric,
)
from ..kernel import Kernel
from ..model import (
    MS_PER_SECOND,
    Answer,
    Booking,
    EventKind,
    IdempotencyKey,
    OrganisationRecord,
    Outcome,
    Reason,
    Receipt,
    RequestError,
    RequestId,
    Search,
    Seconds,
    ServiceId,
)
from ..observability import render_metrics
from ..platform import UnreadableJson, decode_json
from ._status import describe_status, describe_timeline

MAX_DEADLINE = Seconds(30)
MAX_HITS = 1000  # that a search may ask for
MAX_QUERY_LENGTH = 1000  # in characters
MAX_KEY_LENGTH = 200  # of an idempotency key, in characters
MAX_URGENCY = 9

STATUS_CODES: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.TOO_LARGE: 413,
    Reason.OVER_QUOTA: 429,
    Reason.KEY_IN_USE: 409,
    Reason.SUSPECT: 422,
    Reason.DEADLINE: 504,
}
DEFAULT_STATUS_CODE = 503

Result = TypeVar('Result')


class SearchForm(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON body of a search request."""

    service: str
    query: str
    limit: int = 10
    deadline_ms: float = 1000
    urgency: int = 0


class BookingForm(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON body of a booking request."""

    service: str
    key: str
    content: str
    deadline_ms: float = 2000
    urgency: int = 0


def make_http_app(kernel: Kernel, max_body: int) -> Litestar:
    """Return the ASGI application that serves a host's callers and operators.

    Args:
        max_body: size of a request body, in bytes, above which it is rejected.
    """

    @post('/v1/search', status_code=200)
    async def search(request: Request[Any, Any, Any]) -> Response[Any]:
        """Search the index of a service."""
        return await _handle_request(kernel, request, _run_search)

    @post('/v1/bookings', status_code=200)
    async def book(request: Request[Any, Any, Any]) -> Response[Any]:
        """Run a booking, which is not idempotent, at most once."""
        return await _handle_request(kernel, request, _run_booking)

    @get('/ready')
    async def ready() -> Response[Any]:
        """Tell the load balancer whether to send requests to this host."""
        is_ready = not (
            kernel.find(LIFECYCLE).is_leaving or kernel.find(SUPERVISOR).is_impaired
        )
        return Response({'ready': is_ready}, status_code=200 if is_ready else 503)

    @get('/metrics')
    async def metrics() -> Response[Any]:
        """Return all metrics in the Prometheus text format."""
        return Response(render_metrics(kernel), media_type='text/plain; version=0.0.4')

    @get('/v1/status')
    async def status() -> Response[Any]:
        """Return the host's view of hosts, zones and upstreams."""
        return Response(describe_status(kernel))

    @get('/v1/timeline')
    async def timeline() -> Response[Any]:
        """Return the events in the host's time line."""
        return Response(describe_timeline(kernel))

    return Litestar(
        [search, book, ready, metrics, status, timeline],
        request_max_body_size=max_body,
        logging_config=None,
        openapi_config=OpenAPIConfig(title='rattanspoke', version='1'),
        exception_handlers={HTTPException: _make_http_error_response},
    )


async def _handle_request(
    kernel: Kernel,
    request: Request[Any, Any, Any],
    operation: Callable[[Kernel, OrganisationRecord, bytes], Awaitable[Response[Any]]],
) -> Response[Any]:
    """Authenticate a request and run it; turn a RequestError into an error response.

    The operation is cancelled when the caller disconnects.
    """
    kernel.find(COUNTERS).add(Metric.REQUESTS, request.url.path)
    try:
        organisation = kernel.find(ORGANISATIONS).authenticate(_read_token(request))
        body = await request.body()
        return await _run_while_connected(
            request, operation(kernel, organisation, body)
        )
    except RequestError as error:
        kernel.find(COUNTERS).add(Metric.REFUSALS, error.reason.value)
        kernel.find(TIMELINE).note(EventKind.REFUSAL, str(error))
        return _make_error_response(error)


async def _run_while_connected(
    request: Request[Any, Any, Any], operation: Awaitable[Result]
) -> Result:
    operation_task = asyncio.ensure_future(operation)
    disconnect_task = asyncio.ensure_future(_await_disconnect(request))
    try:
        await asyncio.wait(
            (operation_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED
        )
        if not operation_task.done():
            raise RequestError(Reason.CANCELLED, Outcome.UNKNOWN)
        return await operation_task
    finally:
        operation_task.cancel()
        disconnect_task.cancel()


async def _await_disconnect(request: Request[Any, Any, Any]) -> None:
    while True:
        message = await request.receive()
        if message['type'] == 'http.disconnect':
            return


async def _run_search(
    kernel: Kernel, organisation: OrganisationRecord, body: bytes
) -> Response[Any]:
    form = _decode(body, SearchForm)
    _require(0 < form.limit <= MAX_HITS, f'limit: must be 1 to {MAX_HITS}')
    _require(
        len(form.query) <= MAX_QUERY_LENGTH,
        f'query: over {MAX_QUERY_LENGTH} characters',
    )
    _require(bool(form.query.strip()), 'query: must not be empty')
    search = Search(
        request=_generate_request_id(),
        organisation=organisation.organisation,
        service=ServiceId(form.service),
        query=form.query,
        limit=form.limit,
        budget=_read_budget(form.deadline_ms),
        urgency=_read_urgency(form.urgency),
    )
    _admit(kernel, organisation, search.service, search.request)
    return Response(_describe_answer(await kernel.find(SEARCHES).search(search)))


async def _run_booking(
    kernel: Kernel, organisation: OrganisationRecord, body: bytes
) -> Response[Any]:
    form = _decode(body, BookingForm)
    _require(
        0 < len(form.key) <= MAX_KEY_LENGTH,
        f'key: must be 1 to {MAX_KEY_LENGTH} characters',
    )
    booking = Booking(
        request=_generate_request_id(),
        organisation=organisation.organisation,
        service=ServiceId(form.service),
        key=IdempotencyKey(form.key),
        content=form.content,
        budget=_read_budget(form.deadline_ms),
        urgency=_read_urgency(form.urgency),
    )
    _admit(kernel, organisation, booking.service, booking.request)
    return Response(_describe_receipt(await kernel.find(BOOKINGS).book(booking)))


def _admit(
    kernel: Kernel,
    organisation: OrganisationRecord,
    service: ServiceId,
    request: RequestId,
) -> None:
    kernel.find(ORGANISATIONS).admit(organisation, service)
    kernel.find(TIMELINE).note(
        EventKind.REQUEST,
        service,
        request=request,
        organisation=organisation.organisation,
    )


def _describe_answer(answer: Answer) -> dict[str, Any]:
    return {
        'request': answer.request,
        'service': answer.service,
        'version': answer.version,
        'complete': not answer.missing,
        'covered': answer.covered,
        'missing': {shard: reason.value for shard, reason in answer.missing.items()},
        'hits': [msgspec.to_builtins(hit) for hit in answer.hits],
    }


def _describe_receipt(receipt: Receipt) -> dict[str, Any]:
    return {
        'request': receipt.request,
        'outcome': receipt.outcome.value,
        'reference': receipt.reference,
        'repeated': receipt.repeated,
    }


def _make_error_response(error: RequestError) -> Response[Any]:
    return Response(
        {
            'outcome': error.outcome.value,
            'reason': error.reason.value,
            'detail': error.detail,
        },
        status_code=STATUS_CODES.get(error.reason, DEFAULT_STATUS_CODE),
    )


def _make_http_error_response(
    request: Request[Any, Any, Any], error: HTTPException
) -> Response[Any]:
    """Return the response to a request that litestar rejected before it was handled."""
    too_large = error.status_code == STATUS_CODES[Reason.TOO_LARGE]
    reason = Reason.TOO_LARGE if too_large else Reason.BAD_REQUEST
    return Response(
        {
            'outcome': Outcome.NOT_RUN.value,
            'reason': reason.value,
            'detail': error.detail,
        },
        status_code=error.status_code,
    )


def _read_token(request: Request[Any, Any, Any]) -> str:
    scheme, _, token = request.headers.get('authorization', '').partition(' ')
    return token if scheme.lower() == 'bearer' else ''


def _decode(body: bytes, form: type[Result]) -> Result:
    try:
        return decode_json(body, form)
    except (UnreadableJson, ClientException) as error:
        raise RequestError(Reason.BAD_REQUEST, Outcome.NOT_RUN, str(error)) from error


def _read_budget(deadline_ms: float) -> Seconds:
    budget = Seconds(deadline_ms / MS_PER_SECOND)
    if budget <= 0:
        raise RequestError(Reason.DEADLINE, Outcome.NOT_RUN, 'deadline_ms has passed')
    return min(budget, MAX_DEADLINE)


def _read_urgency(urgency: int) -> int:
    return max(0, min(MAX_URGENCY, urgency))


def _require(condition: bool, detail: str) -> None:
    if not condition:
        raise RequestError(Reason.BAD_REQUEST, Outcome.NOT_RUN, detail)


def _generate_request_id() -> RequestId:
    return RequestId(uuid.uuid4().hex)

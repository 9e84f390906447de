"""Fields of the log lines about requests that ended late or without success."""

from collections.abc import Iterable
from typing import Any

from ..model import (
    MS_PER_SECOND,
    CallerAnswer,
    CallerRequest,
    Failed,
    Merged,
    Refused,
    Rejected,
    Relayed,
    Route,
    ServiceId,
)
from ._service_request import ServiceRequest
from ._tasks import read_clock


def describe_answer(
    request: CallerRequest, route: Route, answer: CallerAnswer, version: int
) -> dict[str, Any] | None:
    """Return the fields of a request's log line; None for a complete answer in time."""
    waited = read_clock() - request.arrived
    match answer:
        case Relayed(reply) if not reply.is_success:
            outcome = {'answer': 'relayed', 'status': reply.status}
        case Merged(missing=missing) if missing:
            outcome = {'answer': 'merged', 'missing': missing}
        case Refused(reason, retry_after):
            retry_ms = round(retry_after * MS_PER_SECOND)
            outcome = {
                'answer': 'refused',
                'reason': reason.value,
                'retry_after_ms': retry_ms,
            }
        case Failed(reason) | Rejected(reason):
            outcome = {'answer': 'failed', 'reason': reason.value}
        case _ if waited > route.objective:
            outcome = {'answer': 'late'}
        case _:
            return None
    return outcome | {
        'request': request.attempt,
        'route': route.route,
        'version': version,
        'waited_ms': round(waited * MS_PER_SECOND),
        'objective_ms': round(route.objective * MS_PER_SECOND),
    }


def describe_missing_shards(
    service_requests: Iterable[ServiceRequest], covered: set[ServiceId]
) -> dict[ServiceId, str]:
    """Return for each missing shard the reason and the upstreams that were tried."""
    return {
        each.service: f'{failure.reason.value}: {" ".join(failure.tried) or "unsent"}'
        for each in service_requests
        if each.service not in covered and (failure := each.describe_failure())
    }

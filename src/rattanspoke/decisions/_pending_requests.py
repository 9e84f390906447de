"""Rank the requests that wait for capacity at the upstreams of a service.

Load pattern: a service gets more requests than its upstreams can run. Serving them in
order of arrival would answer all of them too late. Therefore the requests that can
still meet their latency objective are sent first, by priority and then by the end of
the objective. Requests that can no longer meet it get the capacity that is left.
"""

from ..model import PendingRequest, Seconds


def rank_pending(
    pending: PendingRequest, baseline: Seconds, now: Seconds
) -> tuple[bool, int, float]:
    """Return the sort key of a pending request; the lowest key is sent first.

    Args:
        pending: the pending request.
        baseline: the seconds that a call of its route takes without queueing.
        now: the time on the clock of the event loop.
    """
    is_late = now + baseline > pending.answer_by
    limit = pending.give_up_at if is_late else pending.answer_by
    return is_late, pending.route.priority, limit


def is_waiting_useful(
    available_in: Seconds | None,
    queue_time: Seconds,
    pending: PendingRequest,
    now: Seconds,
) -> bool:
    """Return whether a service should have capacity in time for a request to use it.

    Every reply of a busy upstream frees capacity, so a request waits for busy upstreams
    until it gives up. It waits for paused upstreams, which have failed, only while it
    can still meet its latency objective; after that, other hosts serve the caller
    better.

    Args:
        available_in: the seconds until an upstream accepts work again: zero for busy
            upstreams, None when there is no upstream.
        queue_time: the seconds until the requests that rank first are sent.
        pending: the pending request.
        now: the time on the clock of the event loop.
    """
    if available_in is None:
        return False
    if available_in and now + available_in >= pending.answer_by:
        return False
    return now + queue_time < pending.give_up_at

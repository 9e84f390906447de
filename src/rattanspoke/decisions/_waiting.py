"""In which order requests that wait for an upstream get the next room.

Load pattern: more requests for a service than its upstreams can run. Those that can
still be answered within their objective go first, by priority and then by objective;
serving in order of arrival would answer all of them too late. What has missed its
objective takes what is left over.
"""

from ..model import PendingRequest, Seconds


def rank_pending(
    pending: PendingRequest, baseline: Seconds, now: Seconds
) -> tuple[bool, int, float]:
    """Return what orders waiters, the lowest first.

    Args:
        waiter: who waits.
        usual: seconds that a call of its route usually takes.
        now: the time, on the loop's clock.
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
    """Whether a service is expected to have room while that helps a request.

    Busy upstreams make room with every reply, so a request waits for them until it
    gives up. Upstreams that failed are waited for only while the objective can still be
    met; after that the caller is better off elsewhere.

    Args:
        opens_in: seconds until an upstream takes work again, None when there is none.
        queue_time: seconds until those that go first are sent.
        waiter: who would wait.
        now: the time, on the loop's clock.
    """
    if available_in is None:
        return False
    if available_in and now + available_in >= pending.answer_by:
        return False
    return now + queue_time < pending.give_up_at

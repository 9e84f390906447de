"""Choose when a rejected caller should retry.

Load pattern: many callers are rejected at the same time, because of a burst or because
all upstreams of a service are gone. If all of them were given the same retry time, they
would retry at once and be rejected again. Therefore each caller is asked to retry after
the time at which capacity is expected, spread over a part of the time that it has left.
"""

from ..model import Seconds

MIN_RETRY_AFTER = Seconds(0.05)
# No caller is asked to wait for more than this fraction of the time it has left, unless
# capacity is expected later.
MAX_TIME_LEFT_SHARE = 1 / 3


def choose_retry_after(
    available_in: Seconds | None,
    queue_time: Seconds,
    time_left: Seconds,
    random_sample: float,
) -> Seconds:
    """Return the seconds after which a rejected caller should retry.

    Args:
        available_in: the seconds until an upstream accepts work again, None when the
            service has no upstream.
        queue_time: the seconds until the pending requests that rank first are sent.
        time_left: the seconds until the caller stops waiting.
        random_sample: a random number from 0 to 1, a new one for each caller.
    """
    earliest = max(MIN_RETRY_AFTER, available_in or 0, queue_time)
    latest = max(earliest, time_left * MAX_TIME_LEFT_SHARE)
    return Seconds(earliest + (latest - earliest) * random_sample)

"""When a refused caller is told to come back.

Load pattern: many callers are refused at one moment, by a burst or because the
upstreams of a service are gone. Told the same time, they would return as one and be
refused again. They return when room is expected, spread over the time that one of them
can spare.
"""

from ..model import Seconds

MIN_RETRY_AFTER = Seconds(0.05)
MAX_TIME_LEFT_SHARE = (
    1 / 3
)  # of the time left, up to which callers wait as they are told


def choose_retry_after(
    available_in: Seconds | None,
    queue_time: Seconds,
    time_left: Seconds,
    random_sample: float,
) -> Seconds:
    """Return the seconds after which a caller may be served.

    Args:
        opens_in: seconds until an upstream takes work again, None when there is none.
        queue_time: seconds until those that wait have been sent.
        left: seconds that the caller will still wait.
        draw: a number from 0 to 1 that differs from caller to caller.
    """
    earliest = max(MIN_RETRY_AFTER, available_in or 0, queue_time)
    latest = max(earliest, time_left * MAX_TIME_LEFT_SHARE)
    return Seconds(earliest + (latest - earliest) * random_sample)

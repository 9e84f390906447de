"""Decide whether an owner refuses work for an upstream before it is queued.

Load pattern: an upstream gets more work than it can run, so work would reach it after
the search has ended. Such work is refused at once as overload, which makes the entry
hosts admit fewer searches. A search with a very short time budget is refused as well,
but says nothing about the load: a queue of a single call is too long for it.
"""

from ..model import Reason, Seconds

MAX_WAIT_SHARE = 0.5  # fraction of its remaining time that work may be queued
# A wait of no more than this many calls of the upstream is no overload, however short
# the time budget of the work is.
OVERLOAD_CALLS = 2


def choose_shed_reason(
    wait: Seconds, duration: Seconds, time_left: Seconds
) -> Reason | None:
    """Return why to refuse work instead of queueing it, None to queue it.

    Args:
        wait: seconds that the work is expected to spend in the queue.
        duration: seconds that a call of the upstream takes.
        time_left: seconds until the deadline of the work.
    """
    is_late = wait + duration > time_left
    if not is_late and wait <= MAX_WAIT_SHARE * time_left:
        return None
    is_overloaded = wait > OVERLOAD_CALLS * duration
    return Reason.OVERLOADED if is_overloaded else Reason.DEADLINE

"""How many requests this host keeps in flight at one upstream.

Load pattern: some replicas of a shard leave or turn slow, and those that are left get
more than they can run. Sent on regardless, every request would wait in the upstream's
own queue until its objective has passed. With a limit that follows the wait at the
upstream, what is sent is answered in time, and the rest is turned away or left out
before it costs anything. Hosts need not know of each other's load: each sees it in the
replies.
"""

from dataclasses import dataclass

from ..model import Seconds

INITIAL_CONCURRENCY = 3.0  # requests in flight at an upstream that is not known yet
MIN_CONCURRENCY = 1.0
MAX_CONCURRENCY = 64.0
OVERLOAD_EXCESS = 2.0  # extra time over the usual one, in usual times, that is overload
DECREASE_FACTOR = 0.75  # of the limit that is kept after a reply that waited too long
ADDITIVE_INCREASE = 1.0  # added over one limit's worth of replies in time
SHED_DECREASE_FACTOR = 0.5  # of the limit that is kept when the upstream itself is full


@dataclass(slots=True)
class ConcurrencyLimit:
    """Additive increase and multiplicative decrease, once a round trip at most."""

    limit: float = INITIAL_CONCURRENCY
    decreased_at: Seconds = Seconds(0)

    def allows(self, in_flight: int) -> bool:
        """Whether one more request may be sent."""
        return in_flight < max(1, int(self.limit))

    def note_reply(
        self, ratio: float, in_flight: int, sent: Seconds, now: Seconds
    ) -> None:
        """Learn from a reply.

        Args:
            ratio: what the call took, as a multiple of the usual time.
            in_flight: calls in flight when it ended, itself included.
            sent: when the call was sent.
            now: when it ended.
        """
        if ratio > 1 + OVERLOAD_EXCESS:
            self._decrease(DECREASE_FACTOR, sent, now)
        elif in_flight + 1 >= int(self.limit):
            self.limit = min(
                MAX_CONCURRENCY, self.limit + ADDITIVE_INCREASE / self.limit
            )

    def note_shed(self, sent: Seconds, now: Seconds) -> None:
        """Learn that the upstream was full."""
        self._decrease(SHED_DECREASE_FACTOR, sent, now)

    def _decrease(self, factor: float, sent: Seconds, now: Seconds) -> None:
        if sent < self.decreased_at:
            return  # sent before the last decrease took effect
        self.limit = max(MIN_CONCURRENCY, self.limit * factor)
        self.decreased_at = now

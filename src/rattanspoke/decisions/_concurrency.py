"""Adaptive concurrency limit of this host at one upstream.

Load pattern: some replicas of a shard drain or turn slow, and the remaining ones get
more requests than they can run. Without a limit, every request would wait in the
upstream's own queue until its latency objective has passed. This limit follows the
queueing time at the upstream, so requests that are sent are answered in time, and the
others are rejected, or left out of a partial result, before they use any capacity.
Hosts do not exchange their loads: each one sees the total load in the latency of the
replies.
"""

from dataclasses import dataclass

from ..model import Seconds

INITIAL_CONCURRENCY = 3.0  # requests in flight at an upstream without any replies yet
MIN_CONCURRENCY = 1.0
MAX_CONCURRENCY = 64.0
# A reply shows overload when its latency exceeds the baseline by this many baselines.
OVERLOAD_EXCESS = 2.0
DECREASE_FACTOR = 0.75  # applied to the limit after a reply that shows overload
ADDITIVE_INCREASE = 1.0  # added to the limit after as many timely replies as the limit
SHED_DECREASE_FACTOR = 0.5  # applied to the limit when the upstream sheds a request


@dataclass(slots=True)
class ConcurrencyLimit:
    """Additive increase and multiplicative decrease (AIMD) of a concurrency limit.

    The limit decreases at most once per round trip. It increases only while it is
    nearly used up, since otherwise replies in time prove nothing about a higher one.

    Attributes:
        limit: the largest number of requests in flight, rounded down, at least one.
        decreased_at: the time of the last decrease.
    """

    limit: float = INITIAL_CONCURRENCY
    decreased_at: Seconds = Seconds(0)

    def allows(self, in_flight: int) -> bool:
        """Return whether one more request may be sent.

        Args:
            in_flight: requests that are in flight now.
        """
        return in_flight < max(1, int(self.limit))

    def note_reply(
        self, ratio: float, in_flight: int, sent: Seconds, now: Seconds
    ) -> None:
        """Adjust the limit after a reply.

        Args:
            ratio: the latency of the call, as a multiple of the baseline latency.
            in_flight: calls in flight when it ended, itself included.
            sent: the time at which the call was sent.
            now: the time at which it ended.
        """
        if ratio > 1 + OVERLOAD_EXCESS:
            self._decrease(DECREASE_FACTOR, sent, now)
        elif in_flight + 1 >= int(self.limit):
            self.limit = min(
                MAX_CONCURRENCY, self.limit + ADDITIVE_INCREASE / self.limit
            )

    def note_shed(self, sent: Seconds, now: Seconds) -> None:
        """Lower the limit after the upstream shed a call.

        Args:
            sent: the time at which the call was sent.
            now: the time at which it was refused.
        """
        self._decrease(SHED_DECREASE_FACTOR, sent, now)

    def restart(self, now: Seconds) -> None:
        """Begin anew with one request at a time, and grow with timely replies."""
        self.limit = MIN_CONCURRENCY
        self.decreased_at = now

    def _decrease(self, factor: float, sent: Seconds, now: Seconds) -> None:
        if sent < self.decreased_at:
            return  # the call was sent under the previous, higher limit
        self.limit = max(MIN_CONCURRENCY, self.limit * factor)
        self.decreased_at = now

"""Reject whole requests on arrival while owners of the upstreams shed parts of them.

This is client-side adaptive throttling as described in Google's SRE book. Without it,
each owner would reject parts of different requests. Most requests would then lose a
part, and the work on their other parts would be wasted.
"""

from dataclasses import dataclass

from ..model import Seconds

HALF_LIFE = Seconds(2)  # of the counts of requests
ACCEPTS_MULTIPLIER = 1.1  # requests admitted for each one that was fully answered
INITIAL_TIME = Seconds(0)
MIN_REQUESTS = 5  # requests that are always admitted within a half-life


@dataclass(slots=True)
class Throttle:
    """Count the requests of one service with exponential decay, and limit admission.

    Attributes:
        requests: the decayed count of requests, including those that were rejected.
        accepted: the decayed count of requests of which no owner rejected a part.
        updated: the time up to which the counts are decayed.
    """

    requests: float = 0
    accepted: float = 0
    updated: Seconds = INITIAL_TIME

    def admits(self, random_sample: float, now: Seconds) -> bool:
        """Decide whether to admit a request, and count it if it is rejected.

        Args:
            random_sample: a random number from 0 to 1.
            now: the time.
        """
        self._decay(now)
        excess = self.requests - MIN_REQUESTS - ACCEPTS_MULTIPLIER * self.accepted
        is_admitted = random_sample >= excess / (self.requests + 1)
        if not is_admitted:
            self.requests += 1
        return is_admitted

    def note_ended(self, now: Seconds, *, accepted: bool) -> None:
        """Count an admitted request at its end.

        Args:
            now: the time.
            accepted: whether no owner rejected a part of the request.
        """
        self._decay(now)
        self.requests += 1
        self.accepted += accepted

    def _decay(self, now: Seconds) -> None:
        factor: float = 0.5 ** (max(0, now - self.updated) / HALF_LIFE)
        self.requests *= factor
        self.accepted *= factor
        self.updated = now

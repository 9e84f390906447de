"""Refuse whole requests at the entry when their parts are refused further in.

This is client-side adaptive throttling as in Google's SRE book. Without it every owner
refuses other parts, so most requests lose one and the rest of their work is wasted.
"""

from dataclasses import dataclass

from ..model import Seconds

HALF_LIFE = Seconds(2)
ACCEPTS_MULTIPLIER = 1.1  # requests let in for each that was answered in full
INITIAL_TIME = Seconds(0)
MIN_REQUESTS = 5  # that are always let in within a half-life


@dataclass(slots=True)
class Throttle:
    """Fading counts of one service's requests and of those answered in full.

    Attributes:
        updated: the time at which the counts were right.
    """

    requests: float = 0
    accepted: float = 0
    updated: Seconds = INITIAL_TIME

    def admits(self, random_sample: float, now: Seconds) -> bool:
        """Decide on a request, and count it if it is refused.

        Args:
            draw: a random number from zero to one.
            now: the time.
        """
        self._decay(now)
        excess = self.requests - MIN_REQUESTS - ACCEPTS_MULTIPLIER * self.accepted
        is_admitted = random_sample >= excess / (self.requests + 1)
        if not is_admitted:
            self.requests += 1
        return is_admitted

    def note_ended(self, now: Seconds, *, accepted: bool) -> None:
        """Count a request that ended, and whether no owner refused a part of it."""
        self._decay(now)
        self.requests += 1
        self.accepted += accepted

    def _decay(self, now: Seconds) -> None:
        factor: float = 0.5 ** (max(0, now - self.updated) / HALF_LIFE)
        self.requests *= factor
        self.accepted *= factor
        self.updated = now

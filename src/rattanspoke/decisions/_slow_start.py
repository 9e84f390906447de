"""Limit the use of an upstream that has just started (slow start).

A seat is the right to use one slot of an upstream over one connection; the hosts that
hold seats of an upstream are its owners. A cold upstream gets work on a few seats only,
and on more of them the longer it succeeds.

An upstream turns cold on evidence from the data path only: a refused or lost
connection, a reply from a new incarnation, a jump in latency, or the report of another
owner. An upstream without any evidence counts as cold.
"""

from dataclasses import dataclass

from ..model import Incarnation, Seconds, UpstreamRecord, Warmth

# A call that takes this many times the baseline latency hints at a cold start.
LATENCY_JUMP_FACTOR = 5.0
LATENCY_JUMP_CALLS = 2  # consecutive slow calls that count as a cold start
SMOOTHING = 0.05  # weight of the newest call in the baseline latency
MIN_BASELINE_CALLS = 20  # successes after which the baseline latency is reliable

UNKNOWN_INCARNATION = Incarnation('')


@dataclass(slots=True)
class SlowStart:
    """The progress of one upstream through slow start, as one owner sees it.

    Attributes:
        incarnation: the incarnation of the upstream to which the level applies.
        lost_incarnation: the last incarnation whose connection was lost or refused.
        level: the number of seats that may be used, counted from the first seat.
        first_success: the time of the first success since the upstream turned cold.
        baseline: the smoothed latency of a call in seconds.
        successes: the successful calls since the upstream turned cold.
        slow_streak: the number of consecutive slow calls.
    """

    incarnation: Incarnation = UNKNOWN_INCARNATION
    lost_incarnation: Incarnation = UNKNOWN_INCARNATION
    level: int = 0
    first_success: Seconds | None = None
    baseline: float = 0
    successes: int = 0
    slow_streak: int = 0

    def find_seat_limit(self, record: UpstreamRecord) -> int:
        """Return the number of seats that may be used, counted from the first seat."""
        return min(record.slots, max(self.level, record.cold_slots))

    def classify_warmth(self, record: UpstreamRecord) -> Warmth:
        """Return whether the upstream is cold, warming or warm at the current level."""
        allowed = self.find_seat_limit(record)
        if allowed >= record.slots:
            return Warmth.WARM
        return Warmth.WARMING if allowed > record.cold_slots else Warmth.COLD

    def note_success(
        self,
        record: UpstreamRecord,
        incarnation: Incarnation,
        took: Seconds,
        now: Seconds,
        *,
        owns_first_seat: bool,
    ) -> None:
        """Count a reply and raise the level in proportion to the time since the first.

        Args:
            record: the record of the upstream.
            incarnation: the incarnation that replied; a new one is cold.
            took: the latency of the call in seconds.
            now: the time.
            owns_first_seat: whether this host holds the first seat of the upstream.
                Only that owner raises the level; the others adopt its reports.
        """
        if incarnation != self.incarnation:
            self._restart(incarnation)
        self._detect_latency_jump(took)
        self.successes += 1
        if self.first_success is None:
            self.first_success = now
        if owns_first_seat:
            progress = min(1, (now - self.first_success) / max(record.ramp, 0.001))
            slots_beyond_cold = record.slots - record.cold_slots
            self.level = max(
                self.level, record.cold_slots + int(slots_beyond_cold * progress)
            )

    def note_loss(self) -> None:
        """Treat the upstream as cold after a refused or lost connection."""
        self.lost_incarnation = self.incarnation
        self._restart(UNKNOWN_INCARNATION)

    def note_idle_period(self) -> None:
        """Treat the upstream as cold after it received no work for a while."""
        self._restart(self.incarnation)

    def note_report(self, incarnation: Incarnation, level: int) -> None:
        """Adopt the level that the owner of the first seat reports.

        Level zero may come from any owner: it found that the upstream is cold again.
        Reports on an incarnation that this host has seen end are ignored.
        """
        if incarnation == self.lost_incarnation and incarnation != UNKNOWN_INCARNATION:
            return
        if incarnation != self.incarnation or level == 0:
            self._restart(incarnation)
        self.level = level

    def _detect_latency_jump(self, took: Seconds) -> None:
        is_baseline_reliable = self.successes >= MIN_BASELINE_CALLS
        if is_baseline_reliable and took > self.baseline * LATENCY_JUMP_FACTOR:
            self.slow_streak += 1
            if self.slow_streak >= LATENCY_JUMP_CALLS:
                self._restart(self.incarnation)
            return
        self.slow_streak = 0
        weight = SMOOTHING if self.baseline else 1
        self.baseline += (took - self.baseline) * weight

    def _restart(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.level = 0
        self.first_success = None
        self.baseline = 0
        self.successes = 0
        self.slow_streak = 0

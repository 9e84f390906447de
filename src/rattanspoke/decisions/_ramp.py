"""How many seats of an upstream may be used while it warms up.

Evidence comes from the data path only: a refused or lost connection, a new
incarnation, a jump in latency, or another owner's report. An upstream that nothing
is known of counts as cold.
"""

from dataclasses import dataclass

from ..model import Incarnation, Seconds, UpstreamRecord, Warmth

LATENCY_JUMP_FACTOR = (
    5.0  # a call this many times slower than usual hints at a cold start
)
LATENCY_JUMP_CALLS = 2  # slow calls in a row that count as a cold start
SMOOTHING = 0.05  # weight of the newest call in the usual duration
MIN_BASELINE_CALLS = 20  # calls after which the usual duration is trusted

UNKNOWN_INCARNATION = Incarnation('')


@dataclass(slots=True)
class SlowStart:
    """The warmth of one upstream as one owner knows it.

    Attributes:
        life: the upstream's incarnation that the level is about.
        lost: the incarnation that was last seen to end.
        level: seats that may be used, counted from the first.
        started: the time of the first success since the upstream was cold.
        usual: the smoothed duration of a call in seconds.
        calls: successes since the upstream was cold.
        slow: slow calls in a row.
    """

    life: Incarnation = UNKNOWN_INCARNATION
    lost_incarnation: Incarnation = UNKNOWN_INCARNATION
    level: int = 0
    first_success: Seconds | None = None
    baseline: float = 0
    successes: int = 0
    slow_streak: int = 0

    def find_seat_limit(self, record: UpstreamRecord) -> int:
        """Return how many seats may be used, counted from the first."""
        return min(record.slots, max(self.level, record.cold_slots))

    def classify_warmth(self, record: UpstreamRecord) -> Warmth:
        """Return the warmth that the level stands for."""
        allowed = self.find_seat_limit(record)
        if allowed >= record.slots:
            return Warmth.WARM
        return Warmth.WARMING if allowed > record.cold_slots else Warmth.COLD

    def note_success(
        self,
        record: UpstreamRecord,
        life: Incarnation,
        took: Seconds,
        now: Seconds,
        *,
        owns_first_seat: bool,
    ) -> None:
        """Count a reply; only the owner of the first seat raises the level."""
        if life != self.life:
            self._restart(life)
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
        """Count a refused or lost connection: whatever comes back is cold."""
        self.lost_incarnation = self.life
        self._restart(UNKNOWN_INCARNATION)

    def note_return(self) -> None:
        """Forget the warmth of an upstream that received no work for a while."""
        self._restart(self.life)

    def note_report(self, life: Incarnation, level: int) -> None:
        """Take over the level that the owner of the first seat reports.

        Level zero is any owner's word that the upstream is cold again.
        """
        if life == self.lost_incarnation and life != UNKNOWN_INCARNATION:
            return
        if life != self.life or level == 0:
            self._restart(life)
        self.level = level

    def _detect_latency_jump(self, took: Seconds) -> None:
        is_baseline_reliable = self.successes >= MIN_BASELINE_CALLS
        if is_baseline_reliable and took > self.baseline * LATENCY_JUMP_FACTOR:
            self.slow_streak += 1
            if self.slow_streak >= LATENCY_JUMP_CALLS:
                self._restart(self.life)
            return
        self.slow_streak = 0
        weight = SMOOTHING if self.baseline else 1
        self.baseline += (took - self.baseline) * weight

    def _restart(self, life: Incarnation) -> None:
        self.life = life
        self.level = 0
        self.first_success = None
        self.baseline = 0
        self.successes = 0
        self.slow_streak = 0

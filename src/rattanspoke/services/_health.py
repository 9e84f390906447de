"""An owner's view of one upstream: whether it is warm, down, draining or in service."""

from collections.abc import Callable

from ..contracts import (
    CATALOG,
    COUNTERS,
    MEMBERS,
    SEATS,
    TIMELINE,
    Metric,
)
from ..decisions import SlowStart
from ..kernel import Kernel
from ..model import (
    EventKind,
    Incarnation,
    Reason,
    Seconds,
    UpstreamId,
    UpstreamRecord,
    Warmth,
)
from ._tasks import read_clock

SMOOTHING = 0.1  # weight of the newest call in the smoothed duration
INITIAL_DURATION = Seconds(0.005)  # assumed for a call before one was measured
# Seconds without work after a refused or lost connection. They double with each one, up
# to MAX_DOWN_TIME, until a call succeeds.
MIN_DOWN_TIME = Seconds(0.1)
MAX_DOWN_TIME = Seconds(2)

SendReport = Callable[[UpstreamId, Incarnation, int | None], None]


class UpstreamHealth:
    """Decide from an upstream's calls whether, and over how many seats, to send work.

    Attributes:
        record: the upstream's record in force.
        duration: the smoothed duration of a call, in seconds.
        draining_incarnation: the incarnation that announced its draining, None if the
            upstream is not draining.
    """

    def __init__(
        self, kernel: Kernel, record: UpstreamRecord, send_report: SendReport
    ) -> None:
        self.record = record
        self.duration = INITIAL_DURATION
        self.draining_incarnation: Incarnation | None = None
        self._slow_start = SlowStart()
        self._catalog = kernel.find(CATALOG)
        self._counters = kernel.find(COUNTERS)
        self._timeline = kernel.find(TIMELINE)
        self._members = kernel.find(MEMBERS)
        self._seats = kernel.find(SEATS)
        self._send_report = send_report
        self._down_until = Seconds(0)
        self._next_down_time = MIN_DOWN_TIME
        self._warmth = Warmth.COLD

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that answered last, empty after its connection was lost."""
        return self._slow_start.incarnation

    @property
    def crashed_incarnation(self) -> Incarnation:
        """The incarnation that a connection lost now ended."""
        return self._slow_start.incarnation or self._slow_start.lost_incarnation

    @property
    def level(self) -> int:
        """Seats that may be used, counted from the first; zero if nothing is known."""
        return self._slow_start.level

    def is_warm(self) -> bool:
        """Return whether all slots of the upstream may be used."""
        return self._slow_start.classify_warmth(self.record) is Warmth.WARM

    def classify_warmth(self) -> Warmth:
        """Return whether the upstream is cold, warming or warm."""
        return self._slow_start.classify_warmth(self.record)

    def count_allowed_seats(self) -> int:
        """Return how many seats may be used, counted from the first."""
        return self._slow_start.find_seat_limit(self.record)

    def count_usable_seats(self) -> int:
        """Return how many of this host's seats may be used."""
        allowed = self.count_allowed_seats()
        return sum(seat < allowed for seat in self._seats.held(self.record.upstream))

    def estimate_wait(self, ahead: int, running: int) -> Seconds:
        """Return the seconds that new work is expected to spend in the queue.

        Args:
            ahead: pieces of queued work that run before it.
            running: calls in flight from this host.
        """
        usable = self.count_usable_seats()
        if running < usable and ahead == 0:
            return Seconds(0)
        batch = self.record.batch if self.is_warm() else 1
        return Seconds((ahead + 1) / (max(1, usable) * batch) * self.duration)

    def owns_first_seat(self) -> bool:
        """Return whether this host holds the first seat and so raises the level."""
        return 0 in self._seats.held(self.record.upstream)

    def find_refusal(self) -> Reason | None:
        """Return why this owner may not send work to the upstream, None if it may."""
        if not self._seats.held(self.record.upstream):
            return Reason.NOT_OWNER
        out = self._catalog.explain_exclusion(self.record)
        if out is not None:
            return out
        if self.draining_incarnation is not None:
            return Reason.UPSTREAM_DRAINING
        if self._members.is_fenced():
            return Reason.NOT_OWNER
        if read_clock() < self._down_until:
            return Reason.UPSTREAM_UNREACHABLE
        return None

    def note_success(self, incarnation: Incarnation, duration: Seconds) -> None:
        """Count a successful call, and report a changed level to the other owners.

        The owner of the first seat reports any change; every owner reports that the
        upstream turned cold, as level zero.

        Args:
            incarnation: the incarnation of the upstream that answered.
            duration: seconds that the call took.
        """
        self.duration = Seconds(self.duration + (duration - self.duration) * SMOOTHING)
        self._next_down_time = MIN_DOWN_TIME
        before = self._slow_start.level
        owns_first_seat = self.owns_first_seat()
        now = Seconds(read_clock())
        self._slow_start.note_success(
            self.record, incarnation, duration, now, owns_first_seat=owns_first_seat
        )
        turned_cold = self._slow_start.level < before
        if (owns_first_seat and self._slow_start.level != before) or turned_cold:
            level = 0 if turned_cold else self._slow_start.level
            self._send_report(self.record.upstream, incarnation, level)
        self._note_warmth()

    def note_down(self) -> None:
        """Count a refused or lost connection; the next incarnation starts cold.

        The other owners are told. One without a call in flight would not notice.
        """
        ended = self._slow_start.incarnation
        self._slow_start.note_loss()
        if ended:
            self._send_report(self.record.upstream, ended, 0)
        self._down_until = Seconds(read_clock() + self._next_down_time)
        self._next_down_time = Seconds(min(MAX_DOWN_TIME, self._next_down_time * 2))
        self._note_warmth()

    def note_out_of_service(self) -> None:
        """Treat an upstream that operators took out of service as cold again."""
        self._slow_start.note_idle_period()
        self._note_warmth()

    def note_report(self, incarnation: Incarnation, level: int) -> None:
        """Apply the level that another owner reported.

        Args:
            incarnation: the upstream's incarnation that the level is about.
            level: seats that may be used, counted from the first; zero if the upstream
                turned cold.
        """
        if self.draining_incarnation not in {None, incarnation}:
            self.draining_incarnation = None
        self._slow_start.note_report(incarnation, level)
        self._note_warmth()

    def note_draining(self, incarnation: Incarnation) -> bool:
        """Mark the upstream as draining; return whether it was not marked before."""
        if self.draining_incarnation is not None:
            return False
        self.draining_incarnation = incarnation
        self._timeline.note(
            EventKind.DRAIN, 'is leaving', upstream=self.record.upstream
        )
        return True

    def note_restarted(self, incarnation: Incarnation) -> None:
        """Return an upstream to service as cold after it drained and restarted."""
        self.draining_incarnation = None
        self._slow_start.note_loss()
        self._timeline.note(EventKind.DRAIN, 'is back', upstream=self.record.upstream)
        self._send_report(self.record.upstream, incarnation, 0)

    def _note_warmth(self) -> None:
        warmth = self.classify_warmth()
        if warmth is not self._warmth:
            self._warmth = warmth
            self._counters.add(Metric.RAMP_CHANGES, warmth.value)
            self._timeline.note(
                EventKind.RAMP, f'is {warmth.value}', upstream=self.record.upstream
            )

"""What an owner believes of one upstream: warm or cold, down, leaving, and why."""

from collections.abc import Callable

from ..contracts import (
    CATALOG,
    COUNTERS,
    MEMBERS,
    SEATS,
    TIMELINE,
    Metric,
)
from ..decisions import Ramp
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
FIRST_GUESS = Seconds(0.005)  # of a call's duration
MIN_DOWN = Seconds(0.1)  # without work after a refused connection
MAX_DOWN = Seconds(2)

Report = Callable[[UpstreamId, Incarnation, int | None], None]


class UpstreamCondition:
    """Evidence from the data path, and what follows from it for new work.

    Attributes:
        record: the upstream's record in force.
        took: the smoothed duration of a call.
        leaving: the life that said it is leaving, None if it did not.
    """

    def __init__(self, kernel: Kernel, record: UpstreamRecord, report: Report) -> None:
        self.record = record
        self.took = FIRST_GUESS
        self.leaving: Incarnation | None = None
        self._ramp = Ramp()
        self._catalog = kernel.find(CATALOG)
        self._counters = kernel.find(COUNTERS)
        self._timeline = kernel.find(TIMELINE)
        self._members = kernel.find(MEMBERS)
        self._seats = kernel.find(SEATS)
        self._report = report
        self._down_until = Seconds(0)
        self._down_for = MIN_DOWN
        self._warmth = Warmth.COLD

    @property
    def life(self) -> Incarnation:
        """The life that the upstream was last seen in."""
        return self._ramp.life

    @property
    def crashed_life(self) -> Incarnation:
        """The life that a lost connection ends."""
        return self._ramp.life or self._ramp.lost

    @property
    def level(self) -> int:
        """The seats that this owner would report as usable, zero if none is known."""
        return self._ramp.level

    def is_warm(self) -> bool:
        """Tell whether the upstream bears all its slots."""
        return self._ramp.judge(self.record) is Warmth.WARM

    def judge(self) -> Warmth:
        """Return how much the upstream is taken to bear."""
        return self._ramp.judge(self.record)

    def count_allowed(self) -> int:
        """Return how many seats may be used, counted from the first."""
        return self._ramp.allow(self.record)

    def count_usable(self) -> int:
        """Return how many of this host's seats may be used."""
        allowed = self.count_allowed()
        return sum(seat < allowed for seat in self._seats.held(self.record.upstream))

    def estimate_wait(self, ahead: int, running: int) -> Seconds:
        """Return the seconds for which work waits behind other work.

        Args:
            ahead: pieces of work that go first.
            running: calls in flight from this host.
        """
        usable = self.count_usable()
        if running < usable and ahead == 0:
            return Seconds(0)
        batch = self.record.batch if self.is_warm() else 1
        return Seconds((ahead + 1) / (max(1, usable) * batch) * self.took)

    def leads(self) -> bool:
        """Tell whether this host holds the first seat and so raises the level."""
        return 0 in self._seats.held(self.record.upstream)

    def find_refusal(self) -> Reason | None:
        """Return why the upstream takes no work from here now."""
        if not self._seats.held(self.record.upstream):
            return Reason.NOT_OWNER
        out = self._catalog.explain_exclusion(self.record)
        if out is not None:
            return out
        if self.leaving is not None:
            return Reason.UPSTREAM_LEAVING
        if self._members.is_fenced():
            return Reason.NOT_OWNER
        if read_clock() < self._down_until:
            return Reason.UPSTREAM_UNREACHABLE
        return None

    def note_success(self, life: Incarnation, took: Seconds) -> None:
        """Count a reply; the first seat's owner reports a level that rose."""
        self.took = Seconds(self.took + (took - self.took) * SMOOTHING)
        self._down_for = MIN_DOWN
        before = self._ramp.level
        leads = self.leads()
        now = Seconds(read_clock())
        self._ramp.note_success(self.record, life, took, now, leads=leads)
        turned_cold = self._ramp.level < before
        if (leads and self._ramp.level != before) or turned_cold:
            level = 0 if turned_cold else self._ramp.level
            self._report(self.record.upstream, life, level)
        self._note_warmth()

    def note_down(self) -> None:
        """Count a refused or lost connection; what comes back is cold."""
        self._ramp.note_loss()
        self._down_until = Seconds(read_clock() + self._down_for)
        self._down_for = Seconds(min(MAX_DOWN, self._down_for * 2))
        self._note_warmth()

    def note_idle(self) -> None:
        """Forget the warmth of an upstream that operators let receive no work."""
        self._ramp.note_return()
        self._note_warmth()

    def note_report(self, life: Incarnation, level: int) -> None:
        """Take over the level that the first seat's owner reports."""
        if self.leaving not in {None, life}:
            self.leaving = None
        self._ramp.note_report(life, level)
        self._note_warmth()

    def note_leaving(self, life: Incarnation) -> bool:
        """Take an upstream's word that it is leaving; tell whether that is new."""
        if self.leaving is not None:
            return False
        self.leaving = life
        self._timeline.note(
            EventKind.DRAIN, 'is leaving', upstream=self.record.upstream
        )
        return True

    def note_return(self, life: Incarnation) -> None:
        """Count the new life of an upstream that had left; it is cold."""
        self.leaving = None
        self._ramp.note_loss()
        self._timeline.note(EventKind.DRAIN, 'is back', upstream=self.record.upstream)
        self._report(self.record.upstream, life, 0)

    def _note_warmth(self) -> None:
        warmth = self.judge()
        if warmth is not self._warmth:
            self._warmth = warmth
            self._counters.add(Metric.RAMP_CHANGES, warmth.value)
            self._timeline.note(
                EventKind.RAMP, f'is {warmth.value}', upstream=self.record.upstream
            )

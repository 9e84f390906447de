"""When to start failed background work again, and when it counts as failing.

Load pattern: work fails with an unexpected error, either once or, while something in
the shared state makes it fail, each time soon after its start.
"""

from dataclasses import dataclass

from ..model import Seconds

MIN_RESTART_DELAY = Seconds(
    0.1
)  # the first restart, short of what a caller would notice
# The longest delay, below the time after which state that is not followed is stale.
MAX_RESTART_DELAY = Seconds(2)
# Work that ran for so long has recovered from earlier failures.
RECOVERY_TIME = Seconds(10)
# Failures in a row after which work counts as failing; one may be a single bad input.
FAILING_AFTER = 3


@dataclass(slots=True, eq=False)
class RestartPolicy:
    """The failures of one piece of background work.

    Attributes:
        delay: seconds until the next restart.
    """

    delay: Seconds = MIN_RESTART_DELAY
    _in_a_row: int = 0
    _last_failure: Seconds = Seconds(0)

    def note_failure(self, started: Seconds, now: Seconds) -> None:
        """Record a failure of the run that had started at a time."""
        if now - started >= RECOVERY_TIME:
            self._in_a_row = 0
        self._in_a_row += 1
        self._last_failure = now
        self.delay = Seconds(
            min(MAX_RESTART_DELAY, MIN_RESTART_DELAY * 2 ** (self._in_a_row - 1))
        )

    def is_failing(self, now: Seconds) -> bool:
        """Whether the work keeps failing, and has not recovered since."""
        is_recent = now - self._last_failure < self.delay + RECOVERY_TIME
        return self._in_a_row >= FAILING_AFTER and is_recent

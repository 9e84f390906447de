"""Whether the balancer should send callers to this host.

Load pattern: an availability zone is cut off from the others and holds too few replicas
to cover a search. Its hosts would fail most searches of the callers that the balancer
goes on sending them, while hosts of other zones could serve those callers. A host that
fails most searches while it hears no other zone steps back until it hears one again. A
cut-off zone that covers enough goes on serving, and so does every host that is asked.
"""

from collections import deque
from dataclasses import dataclass, field

from ..model import Seconds

SEARCH_WINDOW = Seconds(
    2
)  # searches that are judged; the balancer itself acts within 2 s
MIN_SEARCHES = 4  # of that time, from which a host steps back
MAX_FAILED_SHARE = 0.5  # of them, above which its callers are better off elsewhere


@dataclass(slots=True)
class RotationMonitor:
    """How searches ended lately, and whether this host has stepped back."""

    is_back: bool = False
    _outcomes: deque[tuple[Seconds, bool]] = field(default_factory=deque)

    def note_search(self, now: Seconds, *, is_failed: bool) -> None:
        """Count a search that ended, failed when too few shards were covered."""
        self._outcomes.append((now, is_failed))

    def update(self, now: Seconds, *, is_isolated: bool) -> bool:
        """Return whether callers are better off at other hosts.

        Args:
            now: the time, on the loop's clock.
            is_isolated: whether no host of any other zone is heard, though some exist.
        """
        while self._outcomes and now - self._outcomes[0][0] > SEARCH_WINDOW:
            self._outcomes.popleft()
        if not is_isolated:
            self.is_back = False
        elif len(self._outcomes) >= MIN_SEARCHES:
            failed = sum(is_failed for _, is_failed in self._outcomes)
            self.is_back = failed > MAX_FAILED_SHARE * len(self._outcomes)
        return self.is_back

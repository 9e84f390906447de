"""Decide whether the load balancer should send callers to this host.

Load pattern: a network partition cuts an availability zone off from the others, and the
replicas in the zone are too few to cover a search. The load balancer goes on sending
callers to the hosts of the zone, which fail most of their searches, although hosts of
other zones could serve them. Therefore a host asks to be taken out of rotation when it
receives no heartbeat from another zone and fails most searches, until a heartbeat from
another zone arrives. The hosts of an isolated zone that covers enough shards stay in
rotation. A host out of rotation still serves every request that reaches it.
"""

from collections import deque
from dataclasses import dataclass, field

from ..model import Seconds

# Age of the oldest search that is taken into account. The load balancer itself reacts
# within 2 s.
SEARCH_WINDOW = Seconds(2)
# With fewer searches in the window, an isolated host keeps its last decision.
MIN_SEARCHES = 4
# Above this fraction of failed searches, other hosts serve the callers better.
MAX_FAILED_SHARE = 0.5


@dataclass(slots=True)
class RotationMonitor:
    """Track the outcomes of recent searches to take this host out of rotation.

    Attributes:
        is_out_of_rotation: whether the load balancer should send no callers to this
            host; the log calls it "stepped back".
    """

    is_out_of_rotation: bool = False
    _outcomes: deque[tuple[Seconds, bool]] = field(default_factory=deque)

    def note_search(self, now: Seconds, *, is_failed: bool) -> None:
        """Record the outcome of a search; it failed if it covered too few shards."""
        self._outcomes.append((now, is_failed))

    def update(self, now: Seconds, *, is_isolated: bool) -> bool:
        """Decide whether this host should be out of rotation now, and return it.

        Args:
            now: the time on the clock of the event loop.
            is_isolated: whether other zones have hosts, but no heartbeat of any of
                them arrives.
        """
        while self._outcomes and now - self._outcomes[0][0] > SEARCH_WINDOW:
            self._outcomes.popleft()
        if not is_isolated:
            self.is_out_of_rotation = False
        elif len(self._outcomes) >= MIN_SEARCHES:
            failed = sum(is_failed for _, is_failed in self._outcomes)
            self.is_out_of_rotation = failed > MAX_FAILED_SHARE * len(self._outcomes)
        return self.is_out_of_rotation

"""What upstreams announce about themselves in their replies.

Load pattern: upstreams shut down or are overloaded while the store is unavailable, or
while their entries there are out of date. Their replies say so at once. Requests that
are sent all the same are cut off in the first case, and keep an overloaded upstream
from recovering in the second.

A notice holds for the incarnation that sent it. An entry in the store that still says
ready, or is written again by a late or older write, does not revoke it.
"""

from dataclasses import dataclass, field

from ..model import Incarnation, Seconds

# Longest time for which an upstream is left alone at its own request, so that a wrong
# figure does not take it out of service until its next start.
MAX_QUIET = Seconds(600)
# Fraction of the drain time for which a service without another upstream still uses
# one that is leaving. It goes on serving that long, and the rest is for requests on
# their way.
LAST_RESORT_FRACTION = 0.5
# Time after which a notice to leave is forgotten, long after the upstream has exited.
LEAVING_MEMORY = Seconds(3600)


@dataclass(slots=True)
class UpstreamNotices:
    """The notices of upstreams, by incarnation.

    Attributes:
        drain_time: seconds for which an upstream that leaves may receive requests.
    """

    drain_time: Seconds
    _leaving_since: dict[Incarnation, Seconds] = field(default_factory=dict)
    _quiet_until: dict[Incarnation, Seconds] = field(default_factory=dict)

    def note_leaving(self, incarnation: Incarnation, now: Seconds) -> bool:
        """Record that an upstream shuts down; return whether that is new."""
        if incarnation in self._leaving_since:
            return False
        self._forget_old(now)
        self._leaving_since[incarnation] = now
        return True

    def note_quiet(
        self, incarnation: Incarnation, wait: Seconds, now: Seconds
    ) -> Seconds:
        """Record that an upstream wants no requests for some seconds.

        An earlier notice that ends later stays in force.

        Returns:
            The seconds that it is left alone from now on.
        """
        self._forget_old(now)
        until = Seconds(now + min(max(0, wait), MAX_QUIET))
        until = max(until, self._quiet_until.get(incarnation, until))
        self._quiet_until[incarnation] = until
        return Seconds(until - now)

    def forget(self, incarnation: Incarnation) -> None:
        """Drop the notices of an incarnation that has ended."""
        self._leaving_since.pop(incarnation, None)
        self._quiet_until.pop(incarnation, None)

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Whether an upstream has announced that it shuts down."""
        return incarnation in self._leaving_since

    def is_usable(self, incarnation: Incarnation, now: Seconds) -> bool:
        """Whether an upstream may get requests if its service has no other one."""
        since = self._leaving_since.get(incarnation)
        return since is None or now < since + self.drain_time * LAST_RESORT_FRACTION

    def measure_quiet(self, incarnation: Incarnation, now: Seconds) -> Seconds:
        """Return the seconds for which an upstream still wants no requests."""
        return Seconds(max(0, self._quiet_until.get(incarnation, now) - now))

    def _forget_old(self, now: Seconds) -> None:
        for incarnation, since in tuple(self._leaving_since.items()):
            if now - since > LEAVING_MEMORY:
                del self._leaving_since[incarnation]
        for incarnation, until in tuple(self._quiet_until.items()):
            if until < now:
                del self._quiet_until[incarnation]

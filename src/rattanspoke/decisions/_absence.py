"""How long an upstream whose entry vanished is still sent work.

Load pattern: the store is away for some seconds, the entries of healthy upstreams lapse
meanwhile, and all of them are missing at once when it returns. Taken at its word, the
store would empty every service; the upstreams write themselves in again within about
two seconds. An upstream that does leave goes on serving for longer than that. One that
vanishes alone has left: news of it may be late already, and others of its service are
there to be sent work.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import Registration, RegistrationState, Seconds, UpstreamId

# Healthy upstreams are back in the store within about 2 s of its return.
REREGISTRATION_TIME = Seconds(2.2)
DRAIN_FRACTION = 0.75  # of the time for which leaving upstreams may be sent work
# More entries than this, beside those that are left, vanish at once only in a lapse.
MASS_EXPIRY_FRACTION = 1 / 3
MASS_EXPIRY_MINIMUM = 2  # entries; so few may leave at once in a small deployment too


@dataclass(slots=True)
class MissingUpstreams:
    """Upstreams that were ready when their entries vanished, and until when they count.

    Attributes:
        hold: seconds for which a vanished upstream may still be sent work.
    """

    retention: Seconds
    _retained: dict[UpstreamId, tuple[Registration, Seconds]] = field(
        default_factory=dict
    )

    def note_vanished(self, former: Registration, now: Seconds) -> None:
        """Hold an upstream whose entry vanished, unless it had said that it leaves."""
        if former.state is RegistrationState.READY:
            self._retained[former.upstream] = former, Seconds(now + self.retention)

    def note_present(self, upstream: UpstreamId) -> None:
        """Let an entry that is back, in whatever state, speak for itself."""
        self._retained.pop(upstream, None)

    def list_retained(
        self, present: Iterable[Registration]
    ) -> tuple[Registration, ...]:
        """Return the vanished upstreams that are still sent work.

        All of them after a lapse; else those whose service would have none.

        Args:
            present: the upstreams whose entries are there.
        """
        ready = Counter(
            each.service for each in present if each.state is RegistrationState.READY
        )
        retained = tuple(registration for registration, _ in self._retained.values())
        if len(retained) > max(
            MASS_EXPIRY_MINIMUM, MASS_EXPIRY_FRACTION * ready.total()
        ):
            return retained
        return tuple(each for each in retained if not ready[each.service])

    def drop_expired(self, now: Seconds) -> tuple[UpstreamId, ...]:
        """Forget the upstreams that are gone for good, and return them."""
        expired = [name for name, (_, until) in self._retained.items() if until <= now]
        for name in expired:
            del self._retained[name]
        return tuple(expired)


def choose_retention(drain_time: Seconds) -> Seconds:
    """Return how long to hold, well within the time for which drains may last."""
    return Seconds(min(REREGISTRATION_TIME, drain_time * DRAIN_FRACTION))

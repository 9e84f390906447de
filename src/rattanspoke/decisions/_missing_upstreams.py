"""Which upstreams still receive requests after their registrations vanished.

Load pattern: the store is unavailable for some seconds, the registrations of healthy
upstreams expire meanwhile, and all of them are missing at once when it returns. If
hosts dropped those upstreams at once, no service would have an upstream left, although
the upstreams register again within about two seconds. It is safe to keep them for that
time, because an upstream that shuts down in order goes on serving for longer. A single
upstream that vanishes is taken to have shut down and is dropped at once: the update may
have arrived late, and other upstreams of its service can take its requests.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import Registration, RegistrationState, Seconds, UpstreamId

# Healthy upstreams register again within about 2 s after the store returns.
REREGISTRATION_TIME = Seconds(2.2)
DRAIN_FRACTION = 0.75  # of the time for which draining upstreams may receive requests
# If more upstreams are missing than this fraction of the ready ones, the store lost the
# registrations; so many upstreams do not shut down at the same time.
MASS_EXPIRY_FRACTION = 1 / 3
# Missing upstreams up to which no mass expiry is assumed: in a small deployment, two
# that shut down together exceed the fraction.
MASS_EXPIRY_MINIMUM = 2


@dataclass(slots=True)
class MissingUpstreams:
    """Upstreams whose registrations vanished while ready, each with an expiry time.

    Attributes:
        retention: seconds for which an upstream whose registration vanished may still
            receive requests.
    """

    retention: Seconds
    _retained: dict[UpstreamId, tuple[Registration, Seconds]] = field(
        default_factory=dict
    )

    def note_vanished(self, former: Registration, now: Seconds) -> None:
        """Retain an upstream whose registration vanished, unless it was draining."""
        if former.state is RegistrationState.READY:
            self._retained[former.upstream] = former, Seconds(now + self.retention)

    def note_present(self, upstream: UpstreamId) -> None:
        """Stop retaining an upstream that is registered again, in whatever state."""
        self._retained.pop(upstream, None)

    def list_retained(
        self, present: Iterable[Registration]
    ) -> tuple[Registration, ...]:
        """Return the missing upstreams that may still receive requests.

        These are all of them when many registrations expired at once. Otherwise they
        are those whose service has no ready upstream left.

        Args:
            present: the registrations that are in the store.
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
        """Remove the upstreams whose retention has ended, and return them."""
        expired = [name for name, (_, until) in self._retained.items() if until <= now]
        for name in expired:
            del self._retained[name]
        return tuple(expired)


def choose_retention(drain_time: Seconds) -> Seconds:
    """Return the seconds for which to retain missing upstreams.

    The result is well below the drain time, so a retained upstream that is shutting
    down still serves the requests that it is sent.

    Args:
        drain_time: seconds for which draining upstreams may receive requests.
    """
    return Seconds(min(REREGISTRATION_TIME, drain_time * DRAIN_FRACTION))

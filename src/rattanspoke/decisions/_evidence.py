"""Which calls that broke off count as a crash of their upstream.

Load pattern: connections are reset and answers get lost while upstreams live on, whole
groups of upstreams crash at once, and now and then one request crashes every upstream
that runs it. Only the last must be refused. A call that broke off is evidence when its
upstream refuses connections or starts anew soon after. Crashes with a caller's attempt
in common count once, since a search is in flight at many upstreams when a group of them
goes down.
"""

from collections import deque
from dataclasses import dataclass, field

from ..model import CrashReport, Fingerprint, Incarnation, RequestId, Seconds

# The connection that replaces a broken one is refused at once; an upstream that cannot
# be reached registers anew within its next few reports to the store.
CONFIRMATION_WINDOW = Seconds(5)


@dataclass(frozen=True, slots=True)
class _BrokenCall:
    """A call that broke off at an upstream."""

    incarnation: Incarnation
    attempt: RequestId
    fingerprint: Fingerprint
    broken_at: Seconds


@dataclass(slots=True)
class CrashDetector:
    """Calls of this host that broke off lately, and the crashes that they prove."""

    _broken_calls: deque[_BrokenCall] = field(default_factory=deque)
    _crashes: dict[RequestId, str] = field(default_factory=dict)

    def note_broken_call(
        self,
        incarnation: Incarnation,
        attempt: RequestId,
        fingerprint: Fingerprint,
        now: Seconds,
    ) -> None:
        """Remember a call whose connection ended before its answer was whole."""
        self._drop_old(now)
        self._broken_calls.append(_BrokenCall(incarnation, attempt, fingerprint, now))

    def confirm_crash(
        self, incarnation: Incarnation, now: Seconds
    ) -> CrashReport | None:
        """Return the crash that an upstream's end proves, None without broken calls."""
        self._drop_old(now)
        calls = [call for call in self._broken_calls if call.incarnation == incarnation]
        if all(call.attempt in self._crashes for call in calls):
            return None  # nothing broke off, or all of it is blamed already
        known = (self._crashes.get(call.attempt) for call in calls)
        crash = next(filter(None, known), incarnation)
        for call in calls:
            self._crashes[call.attempt] = crash
        return CrashReport(crash, tuple(sorted({call.fingerprint for call in calls})))

    def _drop_old(self, now: Seconds) -> None:
        while (
            self._broken_calls
            and now - self._broken_calls[0].broken_at > CONFIRMATION_WINDOW
        ):
            self._crashes.pop(self._broken_calls.popleft().attempt, None)

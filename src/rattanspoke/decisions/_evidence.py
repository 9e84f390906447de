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
CONFIRM_TIME = Seconds(5)


@dataclass(frozen=True, slots=True)
class _Broken:
    """A call that broke off at an upstream."""

    life: Incarnation
    attempt: RequestId
    fingerprint: Fingerprint
    ended: Seconds


@dataclass(slots=True)
class CrashEvidence:
    """Calls of this host that broke off lately, and the crashes that they prove."""

    _broken: deque[_Broken] = field(default_factory=deque)
    _crashes: dict[RequestId, str] = field(default_factory=dict)

    def note_broken(
        self,
        life: Incarnation,
        attempt: RequestId,
        fingerprint: Fingerprint,
        now: Seconds,
    ) -> None:
        """Remember a call whose connection ended before its answer was whole."""
        self._drop_old(now)
        self._broken.append(_Broken(life, attempt, fingerprint, now))

    def confirm(self, life: Incarnation, now: Seconds) -> CrashReport | None:
        """Return the crash that an upstream's end proves, None without broken calls."""
        self._drop_old(now)
        calls = [call for call in self._broken if call.life == life]
        if all(call.attempt in self._crashes for call in calls):
            return None  # nothing broke off, or all of it is blamed already
        known = (self._crashes.get(call.attempt) for call in calls)
        crash = next(filter(None, known), life)
        for call in calls:
            self._crashes[call.attempt] = crash
        return CrashReport(crash, tuple(sorted({call.fingerprint for call in calls})))

    def _drop_old(self, now: Seconds) -> None:
        while self._broken and now - self._broken[0].ended > CONFIRM_TIME:
            self._crashes.pop(self._broken.popleft().attempt, None)

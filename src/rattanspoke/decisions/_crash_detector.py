"""Detection of upstream crashes from calls whose connections broke.

Load pattern: connections are reset and replies get lost while their upstreams go on
running, whole groups of upstreams crash at once, and now and then a query of death
crashes every upstream that runs it. Only the query of death must be blocked. A broken
call therefore counts as a crash only if its upstream refuses connections or starts a
new incarnation soon after. Crashes that share a caller's attempt count once, because a
search is in flight at many upstreams when a group of them goes down.
"""

from collections import deque
from dataclasses import dataclass, field

from ..model import CrashReport, Fingerprint, Incarnation, RequestId, Seconds

# After a crash, the connection that replaces the broken one is refused at once. If the
# upstream cannot be reached, its new registration shows the crash within its next few
# reports to the store.
CONFIRMATION_WINDOW = Seconds(5)


@dataclass(frozen=True, slots=True)
class _BrokenCall:
    """A call whose connection ended before its reply was complete."""

    incarnation: Incarnation
    attempt: RequestId
    fingerprint: Fingerprint
    broken_at: Seconds


@dataclass(slots=True)
class CrashDetector:
    """Recent broken calls of this host, and the crashes that they are attributed to."""

    _broken_calls: deque[_BrokenCall] = field(default_factory=deque)
    _crashes: dict[RequestId, str] = field(default_factory=dict)

    def note_broken_call(
        self,
        incarnation: Incarnation,
        attempt: RequestId,
        fingerprint: Fingerprint,
        now: Seconds,
    ) -> None:
        """Record a call whose connection ended before its reply was complete.

        Args:
            incarnation: the run of the upstream that the call was sent to.
            attempt: the caller's attempt that the call belongs to.
            fingerprint: the hash of the request's content.
            now: the time, on the loop's clock.
        """
        self._drop_old(now)
        self._broken_calls.append(_BrokenCall(incarnation, attempt, fingerprint, now))

    def confirm_crash(
        self, incarnation: Incarnation, now: Seconds
    ) -> CrashReport | None:
        """Return a report of the crash that ended an incarnation of an upstream.

        A crash that shares an attempt with an earlier one is reported under the name of
        the earlier one, so that both count once.

        Args:
            incarnation: the run of the upstream that has ended.
            now: the time, on the loop's clock.

        Returns:
            The crash and the requests suspected of it. None when no recent call broke
            at the incarnation, or when the attempts of all those calls are attributed
            to an earlier crash.
        """
        self._drop_old(now)
        calls = [call for call in self._broken_calls if call.incarnation == incarnation]
        if all(call.attempt in self._crashes for call in calls):
            return None  # no call broke, or all attempts are attributed already
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

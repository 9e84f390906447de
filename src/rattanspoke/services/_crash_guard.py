"""Detection of queries of death: callers' requests that crash upstreams.

This host derives crashes from the calls that it lost, and classifies requests by the
crashes that all hosts reported.
"""

import structlog

from ..contracts import (
    CALL_BROKEN,
    STATE_CHANGED,
    SUSPECTS,
    UPSTREAM_GONE,
    UPSTREAM_REFUSED,
)
from ..decisions import CrashDetector
from ..kernel import Kernel
from ..model import (
    BrokenCall,
    CallerRequest,
    Fingerprint,
    Incarnation,
    Registration,
    Seconds,
    StateChange,
    SuspicionLevel,
    UpstreamId,
)
from ._fingerprints import digest_work
from ._tasks import read_clock


class HostCrashGuard:
    """Report crashes after lost calls, and classify requests by reported crashes."""

    def __init__(self, kernel: Kernel) -> None:
        self._suspects = kernel.find(SUSPECTS)
        self._detector = CrashDetector()
        self._incarnations: dict[UpstreamId, Incarnation] = {}
        self._log = structlog.get_logger()
        kernel.bus.subscribe(CALL_BROKEN, self._note_broken_call)
        kernel.bus.subscribe(UPSTREAM_REFUSED, self._note_incarnation_ended)
        kernel.bus.subscribe(STATE_CHANGED, self._note_change)
        kernel.bus.subscribe(UPSTREAM_GONE, self._forget_upstream)

    def classify_request(self, request: CallerRequest) -> SuspicionLevel:
        """Return whether a request is clear, suspect or blocked."""
        if not self._suspects.has_suspects:
            return SuspicionLevel.CLEAR
        fingerprint = _fingerprint(request)
        if self._suspects.is_blocked(fingerprint):
            return SuspicionLevel.BLOCKED
        if self._suspects.is_suspect(fingerprint):
            return SuspicionLevel.SUSPECT
        return SuspicionLevel.CLEAR

    def note_success(self, request: CallerRequest) -> None:
        """Clear a suspect request after every upstream that it was sent to ran it."""
        self._suspects.note_success(_fingerprint(request))

    def _forget_upstream(self, upstream: UpstreamId) -> None:
        self._incarnations.pop(upstream, None)

    def _note_broken_call(self, call: BrokenCall) -> None:
        request = call.request
        self._detector.note_broken_call(
            call.upstream, request.attempt, _fingerprint(request), _now()
        )

    def _note_incarnation_ended(self, incarnation: Incarnation) -> None:
        """Report a crash if calls to the ended incarnation of an upstream were lost."""
        report = self._detector.confirm_crash(incarnation, _now())
        if report is None:
            return
        self._log.warning(
            'upstream crashed',
            upstream=incarnation,
            crash=report.crash,
            suspects=len(report.suspects),
        )
        self._suspects.report_crash(report)

    def _note_change(self, change: StateChange) -> None:
        if not isinstance(change.content, Registration):
            return
        upstream, incarnation = change.content.upstream, change.content.incarnation
        previous = self._incarnations.get(upstream, incarnation)
        self._incarnations[upstream] = incarnation
        if previous != incarnation:
            self._note_incarnation_ended(previous)


def _fingerprint(request: CallerRequest) -> Fingerprint:
    return digest_work(
        'request', request.method, request.authority, request.target, request.body
    )


def _now() -> Seconds:
    return Seconds(read_clock())

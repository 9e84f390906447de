"""Callers' requests that crash upstreams: evidence of this host, verdicts of all."""

import structlog

from ..contracts import (
    CALL_BROKEN,
    STATE_CHANGED,
    SUSPECTS,
    UPSTREAM_GONE,
    UPSTREAM_REFUSED,
)
from ..decisions import CrashEvidence
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
    """Prove crashes from calls that broke off, and judge requests by them."""

    def __init__(self, kernel: Kernel) -> None:
        self._suspects = kernel.find(SUSPECTS)
        self._evidence = CrashEvidence()
        self._incarnations: dict[UpstreamId, Incarnation] = {}
        self._log = structlog.get_logger()
        kernel.bus.subscribe(CALL_BROKEN, self._note_broken)
        kernel.bus.subscribe(UPSTREAM_REFUSED, self._note_incarnation_ended)
        kernel.bus.subscribe(STATE_CHANGED, self._note_change)
        kernel.bus.subscribe(UPSTREAM_GONE, self._forget_upstream)

    def classify_request(self, request: CallerRequest) -> SuspicionLevel:
        """Return whether a request may be sent, and how carefully."""
        if not self._suspects.has_suspects:
            return SuspicionLevel.CLEAR
        fingerprint = _fingerprint(request)
        if self._suspects.is_convicted(fingerprint):
            return SuspicionLevel.BLOCKED
        if self._suspects.is_suspect(fingerprint):
            return SuspicionLevel.SUSPECT
        return SuspicionLevel.CLEAR

    def note_success(self, request: CallerRequest) -> None:
        """Clear a suspect that every upstream it was sent to has run."""
        self._suspects.note_success(_fingerprint(request))

    def _forget_upstream(self, upstream: UpstreamId) -> None:
        self._incarnations.pop(upstream, None)

    def _note_broken(self, call: BrokenCall) -> None:
        request = call.request
        self._evidence.note_broken(
            call.upstream, request.attempt, _fingerprint(request), _now()
        )

    def _note_incarnation_ended(self, life: Incarnation) -> None:
        """Blame the calls that broke off when a life of an upstream ended."""
        report = self._evidence.confirm(life, _now())
        if report is None:
            return
        self._log.warning(
            'upstream crashed',
            upstream=life,
            crash=report.crash,
            suspects=len(report.suspects),
        )
        self._suspects.report_crash(report)

    def _note_change(self, change: StateChange) -> None:
        if not isinstance(change.content, Registration):
            return
        upstream, life = change.content.upstream, change.content.incarnation
        previous = self._incarnations.get(upstream, life)
        self._incarnations[upstream] = life
        if previous != life:
            self._note_incarnation_ended(previous)


def _fingerprint(request: CallerRequest) -> Fingerprint:
    return digest_work(
        'request', request.method, request.authority, request.target, request.body
    )


def _now() -> Seconds:
    return Seconds(read_clock())

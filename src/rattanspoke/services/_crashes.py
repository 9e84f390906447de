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
    Standing,
    StateChange,
    UpstreamId,
)
from ._fingerprints import digest_work
from ._tasks import read_clock


class UpstreamCrashes:
    """Prove crashes from calls that broke off, and judge requests by them."""

    def __init__(self, kernel: Kernel) -> None:
        self._suspects = kernel.find(SUSPECTS)
        self._evidence = CrashEvidence()
        self._lives: dict[UpstreamId, Incarnation] = {}
        self._log = structlog.get_logger()
        kernel.bus.subscribe(CALL_BROKEN, self._note_broken)
        kernel.bus.subscribe(UPSTREAM_REFUSED, self._note_end)
        kernel.bus.subscribe(STATE_CHANGED, self._note_change)
        kernel.bus.subscribe(UPSTREAM_GONE, self._forget)

    def judge(self, request: CallerRequest) -> Standing:
        """Return whether a request may be sent, and how carefully."""
        if not self._suspects.has_suspects:
            return Standing.CLEAR
        fingerprint = _fingerprint(request)
        if self._suspects.is_blocked(fingerprint):
            return Standing.REFUSED
        if self._suspects.is_suspect(fingerprint):
            return Standing.SUSPECT
        return Standing.CLEAR

    def note_success(self, request: CallerRequest) -> None:
        """Clear a suspect that every upstream it was sent to has run."""
        self._suspects.note_success(_fingerprint(request))

    def _forget(self, upstream: UpstreamId) -> None:
        self._lives.pop(upstream, None)

    def _note_broken(self, call: BrokenCall) -> None:
        request = call.request
        self._evidence.note_broken(
            call.upstream, request.attempt, _fingerprint(request), _now()
        )

    def _note_end(self, life: Incarnation) -> None:
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
        former = self._lives.get(upstream, life)
        self._lives[upstream] = life
        if former != life:
            self._note_end(former)


def _fingerprint(request: CallerRequest) -> Fingerprint:
    return digest_work(
        'request', request.method, request.authority, request.target, request.body
    )


def _now() -> Seconds:
    return Seconds(read_clock())

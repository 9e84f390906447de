"""Queries of death: requests suspected of crashing upstreams, shared by all hosts."""

from collections import deque
from collections.abc import Callable, Iterable
from types import TracebackType
from typing import Self

from ..contracts import COUNTERS, IDENTITY, PEERS, TIMELINE, Metric
from ..decisions import CrashSuspects
from ..kernel import Kernel
from ..model import (
    Acknowledgement,
    CrashReport,
    EventKind,
    Fingerprint,
    HostId,
    Message,
    Seconds,
)
from ._tasks import ignore_reply, read_clock

MAX_SEEN_REPORTS = 256  # reports that are recognised when they arrive again


class HostSuspects:
    """Share crash reports with every live host; flag suspect and blocked requests.

    Args:
        kernel: the kernel of this host.
        list_hosts: returns the hosts to send reports to.
        is_forwarding: whether those hosts are only some, so that each host sends the
            reports that are new to it on.
    """

    def __init__(
        self,
        kernel: Kernel,
        list_hosts: Callable[[], Iterable[HostId]],
        *,
        is_forwarding: bool = False,
    ) -> None:
        self._list_hosts = list_hosts
        self._is_forwarding = is_forwarding
        self._seen: deque[CrashReport] = deque(maxlen=MAX_SEEN_REPORTS)
        self._identity = kernel.find(IDENTITY)
        self._counters = kernel.find(COUNTERS)
        self._timeline = kernel.find(TIMELINE)
        self._peers = kernel.find(PEERS)
        self._suspicion = CrashSuspects()

    @property
    def has_suspects(self) -> bool:
        """Whether any request is a suspect."""
        return self._suspicion.has_suspects

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether the request must run alone and without hedges."""
        return self._suspicion.is_suspect(fingerprint, _now())

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Return whether the request must be rejected."""
        return self._suspicion.is_blocked(fingerprint, _now())

    def note_success(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect that ran without a crash, unless it was blocked."""
        self._suspicion.note_success(fingerprint, _now())

    def report_crash(self, report: CrashReport) -> None:
        """Count a crash on this host and report it to every live host."""
        self._counters.add(Metric.CRASHES)
        blamed = self._suspicion.note_crash(report.crash, report.suspects, _now())
        self._timeline.note(EventKind.SUSPICION, f'{len(blamed)} after {report.crash}')
        self._send(CrashReport(report.crash, blamed), self._identity.host)

    async def __aenter__(self) -> Self:
        self._peers.serve(CrashReport, self._answer_report)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Do nothing; the kernel enters only services that have this method."""

    async def _answer_report(self, report: CrashReport, sender: HostId) -> Message:
        if report not in self._seen:
            self._suspicion.note_crash(report.crash, report.suspects, _now())
            if self._is_forwarding:
                self._send(report, sender)
        return Acknowledgement(self._identity.incarnation)

    def _send(self, report: CrashReport, source: HostId) -> None:
        self._seen.append(report)
        for host in self._list_hosts():
            if host not in {source, self._identity.host}:
                self._peers.post(host, report, ignore_reply)


def _now() -> Seconds:
    return Seconds(read_clock())

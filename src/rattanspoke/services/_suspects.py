"""Queries of death: requests suspected of crashing upstreams, shared by all hosts."""

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


class HostSuspects:
    """Share crash reports with every live host; flag suspect and blocked requests."""

    def __init__(
        self, kernel: Kernel, list_hosts: Callable[[], Iterable[HostId]]
    ) -> None:
        self._list_hosts = list_hosts
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
        return self._suspicion.is_suspect(fingerprint)

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Return whether the request must be rejected."""
        return self._suspicion.is_blocked(fingerprint, Seconds(read_clock()))

    def note_success(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect that ran without a crash, unless it was blocked."""
        self._suspicion.note_success(fingerprint)

    def report_crash(self, report: CrashReport) -> None:
        """Count a crash on this host and report it to every live host."""
        self._counters.add(Metric.CRASHES)
        blamed = self._suspicion.note_crash(
            report.crash, report.suspects, Seconds(read_clock())
        )
        self._timeline.note(EventKind.SUSPICION, f'{len(blamed)} after {report.crash}')
        for host in self._list_hosts():
            if host != self._identity.host:
                self._peers.post(host, CrashReport(report.crash, blamed), ignore_reply)

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
        self._suspicion.note_crash(report.crash, report.suspects, Seconds(read_clock()))
        return Acknowledgement(self._identity.incarnation)

"""Queries of death: requests suspected of crashing upstreams, shared by all hosts.

A host that has started recovers the knowledge of the others from a peer.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from types import TracebackType
from typing import Self

import structlog

from ..contracts import (
    COUNTERS,
    FLEET,
    IDENTITY,
    PEERS,
    SUSPECTS,
    TIMELINE,
    Importance,
    Metric,
)
from ..decisions import CrashSuspects
from ..kernel import Kernel
from ..model import (
    Acknowledgement,
    CrashReport,
    EventKind,
    Fingerprint,
    HostId,
    Message,
    PeerError,
    Seconds,
    SuspectList,
    SuspectsPull,
)
from ._tasks import TaskOwner, ignore_reply, read_clock

ANSWER_TIMEOUT = Seconds(1)  # of a peer that is asked for suspects
RETRY_INTERVAL = Seconds(0.1)  # between looks for a peer that answers
# Time after which a host goes without: no peer has been heard, or none answers.
GIVE_UP_TIME = Seconds(10)
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

    def describe(self) -> SuspectList:
        """Return the newest suspects, for a host that has just started."""
        return self._suspicion.describe(_now())

    def adopt(self, known: SuspectList) -> int:
        """Add suspects that a peer described; return how many were new."""
        return self._suspicion.adopt(known, _now())

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


class HostSuspectRecovery(TaskOwner):
    """Ask a peer for its suspects at the start, and answer those that ask.

    Without this, a rolling restart would forget which requests crash upstreams, and
    each of them could crash some more.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._peers = kernel.find(PEERS)
        self._fleet = kernel.find(FLEET)
        self._suspects = kernel.find(SUSPECTS)
        self._log = structlog.get_logger()

    async def __aenter__(self) -> Self:
        self._peers.serve(SuspectsPull, self._answer_pull)
        self._supervise('suspects of a peer', self._recover, Importance.AUXILIARY)
        return self

    async def _answer_pull(self, pull: SuspectsPull, sender: HostId) -> Message:
        return self._suspects.describe()

    async def _recover(self) -> None:
        """Adopt the suspects of the first peer that answers."""
        give_up_at = read_clock() + GIVE_UP_TIME
        while read_clock() < give_up_at:
            for host in self._fleet.neighbours():
                if await self._pull(host):
                    return
            await asyncio.sleep(RETRY_INTERVAL)
        self._log.info('suspects not learned')

    async def _pull(self, host: HostId) -> bool:
        """Adopt the suspects of a peer; return whether it answered."""
        try:
            known = await self._peers.call(host, SuspectsPull(), ANSWER_TIMEOUT)
        except PeerError as error:
            self._log.info('suspects not pulled', peer=host, reason=str(error))
            return False
        if not isinstance(known, SuspectList):
            return False
        added = self._suspects.adopt(known)
        self._log.info('suspects learned', peer=host, added=added)
        return True


def _now() -> Seconds:
    return Seconds(read_clock())

"""Detect queries of death: requests that crash the upstreams which run them.

After a crash, all requests that were in flight become suspects. If some of them were
suspects before, only those are blamed for the crash. A suspect runs alone in its call
and is not hedged. One success clears it. After BLOCKING_CRASHES crashes it is blocked,
which means refused, for BLOCK_TIME.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import Fingerprint, Seconds

BLOCKING_CRASHES = 2  # crashes blamed on a request after which it is blocked
BLOCK_TIME = Seconds(60)  # since the last crash of a blocked request
# Time since its last crash after which a suspect is forgotten.
SUSPECT_RETENTION = Seconds(300)
MAX_SUSPECTS = 10_000  # beyond this, the suspects recorded first are forgotten


@dataclass(slots=True)
class _Suspect:
    crashes: set[str]
    last_crash: Seconds


@dataclass(slots=True)
class CrashSuspects:
    """The suspects of one host, from its own crashes and from those of its peers."""

    _suspects: dict[Fingerprint, _Suspect] = field(default_factory=dict)

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspected."""
        return bool(self._suspects)

    def note_crash(
        self, crash: str, in_flight: Iterable[Fingerprint], now: Seconds
    ) -> tuple[Fingerprint, ...]:
        """Record a crash and return the fingerprints of the requests blamed for it.

        Args:
            crash: identifies the crash; several reports of it count once.
            in_flight: the fingerprints of the requests that the upstream was running.
            now: the time.
        """
        self._drop_expired(now)
        running = set(in_flight)
        earlier_suspects = {
            each for each in running if self._was_suspect_before(each, crash)
        }
        blamed = earlier_suspects or running
        for fingerprint in blamed:
            suspect = self._suspects.setdefault(fingerprint, _Suspect(set(), now))
            suspect.crashes.add(crash)
            suspect.last_crash = now
        return tuple(sorted(blamed))

    def note_success(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect that ran without a crash, unless it has been blocked."""
        suspect = self._suspects.get(fingerprint)
        if suspect and len(suspect.crashes) < BLOCKING_CRASHES:
            del self._suspects[fingerprint]

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether the request must run alone in its call and without hedges."""
        return fingerprint in self._suspects

    def is_blocked(self, fingerprint: Fingerprint, now: Seconds) -> bool:
        """Return whether the request must be refused now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.crashes) < BLOCKING_CRASHES:
            return False
        return now - suspect.last_crash < BLOCK_TIME

    def _was_suspect_before(self, fingerprint: Fingerprint, crash: str) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.crashes != {crash}

    def _drop_expired(self, now: Seconds) -> None:
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if now - suspect.last_crash > SUSPECT_RETENTION
        ]
        for fingerprint in expired:
            del self._suspects[fingerprint]
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

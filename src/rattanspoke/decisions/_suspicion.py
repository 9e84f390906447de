"""Which requests are suspected of crashing the upstreams that run them.

A crash makes suspects of the work in flight. If one of it was a suspect before, that
one alone is blamed and the rest goes free. A suspect runs alone in its call, is not
hedged, is cleared by one success and is refused after CONVICTING_CRASHES.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import Fingerprint, Seconds

CONVICTING_CRASHES = 2
REFUSAL_TIME = Seconds(60)
MEMORY_TIME = Seconds(300)  # suspicions and crashes older than this are forgotten
MAX_SUSPECTS = 10_000


@dataclass(slots=True)
class _Suspect:
    crashes: set[str]
    seen: Seconds


@dataclass(slots=True)
class Suspicion:
    """What one host knows of crashes, its own and those that peers reported."""

    _suspects: dict[Fingerprint, _Suspect] = field(default_factory=dict)

    @property
    def has_suspects(self) -> bool:
        """Whether any work is suspected at all."""
        return bool(self._suspects)

    def note_crash(
        self, crash: str, in_flight: Iterable[Fingerprint], now: Seconds
    ) -> tuple[Fingerprint, ...]:
        """Count a crash once and return the fingerprints that are blamed for it."""
        self._forget(now)
        flying = set(in_flight)
        known = {print_ for print_ in flying if self._was_suspect(print_, crash)}
        blamed = known or flying
        for fingerprint in blamed:
            suspect = self._suspects.setdefault(fingerprint, _Suspect(set(), now))
            suspect.crashes.add(crash)
            suspect.seen = now
        return tuple(sorted(blamed))

    def note_success(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect that ran without a crash, unless it was convicted."""
        suspect = self._suspects.get(fingerprint)
        if suspect and len(suspect.crashes) < CONVICTING_CRASHES:
            del self._suspects[fingerprint]

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Tell whether the work must run alone and without hedges."""
        return fingerprint in self._suspects

    def is_blocked(self, fingerprint: Fingerprint, now: Seconds) -> bool:
        """Tell whether the work must be refused now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.crashes) < CONVICTING_CRASHES:
            return False
        return now - suspect.seen < REFUSAL_TIME

    def _was_suspect(self, fingerprint: Fingerprint, crash: str) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.crashes != {crash}

    def _forget(self, now: Seconds) -> None:
        old = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if now - suspect.seen > MEMORY_TIME
        ]
        for fingerprint in old:
            del self._suspects[fingerprint]
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

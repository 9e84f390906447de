"""Detect queries of death: requests that crash the upstreams which run them.

After a crash, all requests that were in flight become suspects. If some of them were
suspects before, only those are blamed for the crash. A suspect runs alone in its call
and is not hedged. One success clears it, unless an upstream crashes in the same moment:
an upstream may reply to the request that makes it crash. After BLOCKING_CRASHES crashes
a suspect is blocked, which means refused, for BLOCK_TIME.

Load pattern: a search is in flight at many upstreams at once, and so are the popular
searches of other callers beside it. When a query of death or a loss of power ends many
upstreams in the same moment, all of them are blamed for several crashes. Therefore
crashes of one moment count once, and a request is blocked only if it alone is blamed
for one of its crashes.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import Fingerprint, Seconds, SuspectList, SuspectRecord

BLOCKING_CRASHES = 2  # crashes blamed on a request after which it is blocked
# Time within which all hosts notice the broken connections of one event.
SAME_MOMENT = Seconds(0.2)
BLOCK_TIME = Seconds(60)  # since the last crash of a blocked request
# Time since its last crash after which a suspect is forgotten.
SUSPECT_RETENTION = Seconds(300)
MAX_DESCRIBED = 256  # suspects in one message to a peer
MAX_SUSPECTS = 10_000  # beyond this, the suspects recorded first are forgotten


@dataclass(slots=True)
class _Suspect:
    """A request that was in flight when upstreams crashed.

    Attributes:
        last_crash: when it was blamed last.
        last_moment: when the first of its crashes of the last moment was.
        moments: the number of its crashes, those of one moment counted once.
        succeeded_at: when it ran without a crash; None since its last crash.
        crashes: the crashes that it is blamed for.
    """

    last_crash: Seconds
    last_moment: Seconds = Seconds(0)
    moments: int = 0
    succeeded_at: Seconds | None = None
    crashes: set[str] = field(default_factory=set)

    def add(self, crash: str, now: Seconds) -> None:
        """Blame the request for a crash; several reports of one crash count once."""
        if crash in self.crashes:
            return
        if not self.crashes or now - self.last_moment > SAME_MOMENT:
            self.moments += 1
            self.last_moment = now
        self.crashes.add(crash)
        self.last_crash = now
        self.succeeded_at = None

    def is_cleared(self, now: Seconds) -> bool:
        """Return whether it ran without a crash then or in the moment after it."""
        return self.succeeded_at is not None and now - self.succeeded_at > SAME_MOMENT


@dataclass(slots=True)
class CrashSuspects:
    """The suspects of one host, from its own crashes and from those of its peers."""

    _suspects: dict[Fingerprint, _Suspect] = field(default_factory=dict)
    _blamed: dict[str, set[Fingerprint]] = field(default_factory=dict)  # by crash

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
            in_flight: the fingerprints of the requests that one caller of the upstream
                had in flight there.
            now: the time.
        """
        self._drop_expired(now)
        running = self._blamed.get(crash, set()).union(in_flight)
        earlier_suspects = {
            each for each in running if self._was_suspect_before(each, crash)
        }
        blamed = earlier_suspects or running
        for fingerprint in running - blamed:
            self._suspects.pop(fingerprint, None)
        for fingerprint in blamed:
            self._suspects.setdefault(fingerprint, _Suspect(now)).add(crash, now)
        self._blamed[crash] = blamed
        return tuple(sorted(blamed))

    def note_success(self, fingerprint: Fingerprint, now: Seconds) -> None:
        """Record that a request ran without a crash; a blocked one stays blocked."""
        suspect = self._suspects.get(fingerprint)
        if suspect and suspect.succeeded_at is None and not self._is_convicted(suspect):
            suspect.succeeded_at = now

    def is_suspect(self, fingerprint: Fingerprint, now: Seconds) -> bool:
        """Return whether the request must run alone in its call and without hedges."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.is_cleared(now):
            del self._suspects[fingerprint]
        return fingerprint in self._suspects

    def is_blocked(self, fingerprint: Fingerprint, now: Seconds) -> bool:
        """Return whether the request must be refused now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not self._is_convicted(suspect):
            return False
        return now - suspect.last_crash < BLOCK_TIME

    def describe(self, now: Seconds) -> SuspectList:
        """Return the newest suspects, for a host that has just started."""
        self._drop_expired(now)
        newest = sorted(
            self._suspects.items(), key=lambda each: each[1].last_crash, reverse=True
        )[:MAX_DESCRIBED]
        records = tuple(
            SuspectRecord(
                fingerprint=fingerprint,
                crashes=tuple(sorted(suspect.crashes)),
                moments=suspect.moments,
                crash_age=Seconds(now - suspect.last_crash),
                moment_age=Seconds(now - suspect.last_moment),
            )
            for fingerprint, suspect in newest
        )
        crashes = {crash for record in records for crash in record.crashes}
        blamed = {crash: tuple(sorted(self._blamed[crash])) for crash in crashes}
        return SuspectList(records, blamed)

    def adopt(self, known: SuspectList, now: Seconds) -> int:
        """Add suspects that a peer described; return how many were new.

        What this host has found out itself since it started is newer and stays.
        """
        added = 0
        for record in known.suspects:
            if record.fingerprint in self._suspects or not record.crashes:
                continue
            added += 1
            self._suspects[record.fingerprint] = _Suspect(
                last_crash=Seconds(now - record.crash_age),
                last_moment=Seconds(now - record.moment_age),
                moments=record.moments,
                crashes=set(record.crashes),
            )
            for crash in record.crashes:
                blamed = known.blamed.get(crash, (record.fingerprint,))
                self._blamed.setdefault(crash, set()).update(blamed)
        self._drop_expired(now)
        return added

    def _is_convicted(self, suspect: _Suspect) -> bool:
        if suspect.moments < BLOCKING_CRASHES:
            return False
        return any(len(self._blamed[crash]) == 1 for crash in suspect.crashes)

    def _was_suspect_before(self, fingerprint: Fingerprint, crash: str) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.crashes != {crash}

    def _drop_expired(self, now: Seconds) -> None:
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if now - suspect.last_crash > SUSPECT_RETENTION or suspect.is_cleared(now)
        ]
        for fingerprint in expired:
            del self._suspects[fingerprint]
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]
        if len(self._blamed) > MAX_SUSPECTS:
            counted = {
                crash for each in self._suspects.values() for crash in each.crashes
            }
            self._blamed = {crash: self._blamed[crash] for crash in counted}

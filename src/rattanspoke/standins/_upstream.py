"""A stand-in for an upstream: slots, connections, cold starts, crashes, drains."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..contracts import BookingResult, SearchResult, SubResult
from ..model import (
    Incarnation,
    IndexVersion,
    Outcome,
    Reason,
    Seconds,
    ShardId,
    SubRequest,
    UpstreamError,
    UpstreamRecord,
)
from ._dataset import IndexData

POISON = 'poison'  # work whose text holds this word crashes the upstream


@dataclass(slots=True)
class Behaviour:
    """How an upstream treats its calls; tests and demos change it while it runs.

    Attributes:
        base: seconds that a call takes in the median.
        spread: of the log-normal noise on base; zero for none.
        each: seconds that each further sub-request adds to a call.
        jitter: seconds of exponential noise, on average.
        straggle: fraction of calls that take straggle_factor times as long.
        slow_factor: factor on every call.
        restart: seconds for which it is away after a crash.
        fall_over: seconds of overload while cold after which it crashes.
        shed: whether it refuses everything with its word that nothing ran.
        leaving: whether it says that it is leaving.
        lose_replies: bookings that run and whose connection then breaks.
        is_frozen: whether it takes calls and answers none.
    """

    base: float = 0.005
    spread: float = 0.6
    each: float = 0.0005
    jitter: float = 0
    straggle: float = 0
    straggle_factor: float = 20
    slow_factor: float = 1
    restart: float = 0.5
    fall_over: float = 0.05
    shed: bool = False
    leaving: bool = False
    lose_replies: int = 0
    is_frozen: bool = False


@dataclass(slots=True)
class Tally:
    """What a judge wants to know of an upstream.

    Attributes:
        executions: how often each booking ran, by its content.
        most_in_flight: calls at once, at most.
        most_connections: connections at once, at most.
        cold_excess: calls beyond what the upstream bore when cold.
        calls: calls that began.
        shards: shards searched, as a measure of work.
        new_work: the times at which calls began.
    """

    executions: Counter[str] = field(default_factory=Counter)
    most_in_flight: int = 0
    most_connections: int = 0
    cold_excess: int = 0
    crashes: int = 0
    calls: int = 0
    shards: int = 0
    cancelled: int = 0
    new_work: list[float] = field(default_factory=list)


class StandinUpstream:
    """One server of a service, on the running loop's clock."""

    def __init__(
        self,
        record: UpstreamRecord,
        index: IndexData | None,
        held: dict[IndexVersion, frozenset[ShardId]],
        seed: int,
    ) -> None:
        self.record = record
        self.behaviour = Behaviour()
        self.tally = Tally()
        self.held = held
        self.is_up = True
        self._index = index
        self._random = random.Random(seed)
        self._life = 1
        self._warm_since: float | None = None
        self._ends: dict[str, asyncio.Future[None]] = {}
        self._connections = 0
        self._crash = asyncio.Event()
        self._overloaded_since: float | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The life that the upstream is in."""
        return Incarnation(f'{self.record.upstream}.{self._life}')

    def connect(self) -> None:
        """Count a connection; raises UpstreamError when the limit is passed."""
        if not self.is_up:
            raise UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN)
        self._connections += 1
        self.tally.most_connections = max(
            self.tally.most_connections, self._connections
        )

    def disconnect(self) -> None:
        """Count the end of a connection."""
        self._connections -= 1

    def crash(self) -> None:
        """Break every call and come back cold, after a while, in a new life."""
        if not self.is_up:
            return
        self.is_up = False
        self.tally.crashes += 1
        self._crash.set()
        self._crash = asyncio.Event()
        asyncio.get_running_loop().call_later(self.behaviour.restart, self.start)

    def stop(self) -> None:
        """Go away for good, until start is called."""
        self.is_up = False
        self._crash.set()
        self._crash = asyncio.Event()

    def start(self) -> None:
        """Come up cold in a new life."""
        self.is_up = True
        self._life += 1
        self.behaviour.leaving = False
        self.chill()

    def chill(self) -> None:
        """Become cold without any sign of it."""
        self._warm_since = None
        self._overloaded_since = None

    def warm(self) -> None:
        """Become warm at once, for tests that are not about cold starts."""
        self._warm_since = -self.record.ramp

    async def search(
        self, call: str, parts: Sequence[SubRequest], budget: Seconds
    ) -> SearchResult:
        """Run sub-requests as one call."""
        self._refuse_early()
        shards = sum(len(part.shards) for part in parts)
        self.tally.shards += shards
        is_poison = any(POISON in part.query for part in parts)
        await self._occupy(call, len(parts), budget, is_poison=is_poison)
        return SearchResult(
            self.incarnation,
            self.behaviour.leaving,
            tuple(self._search_part(part) for part in parts),
        )

    async def book(self, call: str, content: str, budget: Seconds) -> BookingResult:
        """Run a booking; it has run even if its reply is lost."""
        self._refuse_early()
        await self._occupy(call, 1, budget, is_poison=POISON in content)
        self.tally.executions[content] += 1
        if self.behaviour.lose_replies:
            self.behaviour.lose_replies -= 1
            raise UpstreamError(Reason.UPSTREAM_LOST, Outcome.UNKNOWN)
        number = sum(self.tally.executions.values())
        return BookingResult(
            self.incarnation,
            self.behaviour.leaving,
            f'{self.record.upstream}/{number}',
        )

    def cancel(self, call: str) -> None:
        """Stop a call."""
        end = self._ends.get(call)
        if end is not None and not end.done():
            self.tally.cancelled += 1
            end.set_exception(UpstreamError(Reason.CANCELLED, Outcome.NOT_RUN))

    def _refuse_early(self) -> None:
        if not self.is_up:
            raise UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN)
        if self.behaviour.leaving:
            raise UpstreamError(Reason.UPSTREAM_DRAINING, Outcome.NOT_RUN)
        if self.behaviour.shed:
            raise UpstreamError(Reason.UPSTREAM_SHED, Outcome.NOT_RUN)

    async def _occupy(
        self, call: str, parts: int, budget: Seconds, *, is_poison: bool
    ) -> None:
        """Hold a slot for as long as the work takes."""
        loop = asyncio.get_running_loop()
        end: asyncio.Future[None] = loop.create_future()
        self._ends[call] = end
        self._count_call(loop.time())
        crash = self._crash
        try:
            if is_poison:
                loop.call_later(self.behaviour.base, self.crash)
            await self._run(end, crash, self._draw_time(parts), budget)
        finally:
            del self._ends[call]
            if len(self._ends) <= self._bears(loop.time()):
                self._overloaded_since = None

    async def _run(
        self,
        end: asyncio.Future[None],
        crash: asyncio.Event,
        takes: float,
        budget: Seconds,
    ) -> None:
        crashing = asyncio.ensure_future(crash.wait())
        limit = None if self.behaviour.is_frozen else takes
        try:
            await asyncio.wait(
                (end, crashing), timeout=limit, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            crashing.cancel()
        if crash.is_set():
            raise UpstreamError(Reason.UPSTREAM_LOST, Outcome.UNKNOWN)
        if end.done():
            await end
        if takes > budget:
            raise UpstreamError(Reason.DEADLINE, Outcome.UNKNOWN)

    def _draw_time(self, parts: int) -> float:
        behaviour = self.behaviour
        takes = behaviour.base * self._random.lognormvariate(0, behaviour.spread)
        takes += behaviour.each * (parts - 1)
        if behaviour.jitter:
            takes += self._random.expovariate(1 / behaviour.jitter)
        if self._random.random() < behaviour.straggle:
            takes *= behaviour.straggle_factor
        return takes * behaviour.slow_factor

    def _count_call(self, now: float) -> None:
        tally = self.tally
        tally.calls += 1
        tally.new_work.append(now)
        in_flight = len(self._ends)
        tally.most_in_flight = max(tally.most_in_flight, in_flight)
        if self._warm_since is None:
            self._warm_since = now
        if in_flight > self._bears(now):
            tally.cold_excess += 1
            if self._overloaded_since is None:
                self._overloaded_since = now
            if now - self._overloaded_since > self.behaviour.fall_over:
                self.crash()

    def _bears(self, now: float) -> int:
        """Return the calls that the upstream bears at once, as its record says."""
        record = self.record
        if self._warm_since is None:
            return record.cold_slots
        warmed = (now - self._warm_since) / max(record.ramp, 1e-6)
        spare = record.slots - record.cold_slots
        return record.cold_slots + int(spare * min(1, warmed))

    def _search_part(self, part: SubRequest) -> SubResult:
        held = self.held.get(part.version)
        if held is None or self._index is None:
            return SubResult(part.version, (), (), Reason.VERSION_GONE)
        shards = tuple(shard for shard in part.shards if shard in held)
        hits = self._index.search(part.version, shards, part.query, part.limit)
        return SubResult(part.version, shards, hits)

"""An in-memory fake of an upstream, with slow start, crashes, draining and shedding.

An upstream is cold until its first call; after that its capacity rises linearly from
its cold slots to all its slots during the ramp time in its record. Calls beyond the
capacity are run all the same and counted, and crash it if the overload lasts.
"""

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

CRASH_MARKER = 'poison'  # a query or booking with this word is a query of death


@dataclass(slots=True)
class Behaviour:
    """How an upstream runs its calls; tests and the demo change it while it runs.

    Attributes:
        median_latency: median duration of a call with one sub-request, in seconds.
        latency_sigma: sigma of the log-normal distribution of the duration around its
            median; zero for a constant duration.
        extra_part_latency: seconds that each further sub-request adds to a call.
        mean_jitter: mean of an exponentially distributed extra duration, in seconds.
        straggle: fraction of calls that take straggle_factor times as long.
        slow_factor: factor on the duration of every call.
        restart_delay: seconds from a crash to the restart.
        overload_tolerance: seconds of overload after which the next call crashes it.
        shed: whether it rejects every call as not run.
        leaving: whether it reports that it is draining, and rejects every call.
        lose_replies: number of further bookings that run but whose reply is lost.
        is_frozen: whether it accepts calls but never replies.
    """

    median_latency: float = 0.005
    latency_sigma: float = 0.6
    extra_part_latency: float = 0.0005
    mean_jitter: float = 0
    straggle: float = 0
    straggle_factor: float = 20
    slow_factor: float = 1
    restart_delay: float = 0.5
    overload_tolerance: float = 0.05
    shed: bool = False
    leaving: bool = False
    lose_replies: int = 0
    is_frozen: bool = False


@dataclass(slots=True)
class UpstreamStats:
    """Counts and peaks of an upstream, for the assertions of tests.

    Attributes:
        executions: how often each booking ran, by its content.
        peak_in_flight: largest number of concurrent calls.
        peak_connections: largest number of concurrent connections.
        calls_over_capacity: calls that exceeded the upstream's capacity at their start,
            for example while it was cold.
        crashes: how often it crashed.
        calls: calls that started.
        shards: total shards of the searches, as a measure of work.
        cancelled: calls that were cancelled.
        call_start_times: loop times at which calls started, in seconds.
    """

    executions: Counter[str] = field(default_factory=Counter)
    peak_in_flight: int = 0
    peak_connections: int = 0
    calls_over_capacity: int = 0
    crashes: int = 0
    calls: int = 0
    shards: int = 0
    cancelled: int = 0
    call_start_times: list[float] = field(default_factory=list)


class StandinUpstream:
    """One upstream of a service; it measures time on the clock of the running loop.

    Attributes:
        held: the shards that it holds, by index version.
        is_up: whether it is running, not crashed or stopped.
    """

    def __init__(
        self,
        record: UpstreamRecord,
        index: IndexData | None,
        held: dict[IndexVersion, frozenset[ShardId]],
        seed: int,
    ) -> None:
        self.record = record
        self.behaviour = Behaviour()
        self.stats = UpstreamStats()
        self.held = held
        self.is_up = True
        self._index = index
        self._random = random.Random(seed)
        self._incarnation_number = 1
        self._warming_since: float | None = None
        self._in_flight: dict[str, asyncio.Future[None]] = {}
        self._connections = 0
        self._crash = asyncio.Event()
        self._overloaded_since: float | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The id of the current run; a new one begins with each start."""
        return Incarnation(f'{self.record.upstream}.{self._incarnation_number}')

    def connect(self) -> None:
        """Count a new connection; the limit in the record is not enforced.

        Raises:
            UpstreamError: when the upstream is down.
        """
        if not self.is_up:
            raise UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN)
        self._connections += 1
        self.stats.peak_connections = max(
            self.stats.peak_connections, self._connections
        )

    def disconnect(self) -> None:
        """Count a closed connection."""
        self._connections -= 1

    def crash(self) -> None:
        """Break off every call; restart cold in a new incarnation after a delay."""
        if not self.is_up:
            return
        self.is_up = False
        self.stats.crashes += 1
        self._crash.set()
        self._crash = asyncio.Event()
        asyncio.get_running_loop().call_later(self.behaviour.restart_delay, self.start)

    def stop(self) -> None:
        """Break off every call and stay down until start is called."""
        self.is_up = False
        self._crash.set()
        self._crash = asyncio.Event()

    def start(self) -> None:
        """Start cold in a new incarnation."""
        self.is_up = True
        self._incarnation_number += 1
        self.behaviour.leaving = False
        self.become_cold()

    def become_cold(self) -> None:
        """Become cold without a restart, so that no new incarnation reveals it."""
        self._warming_since = None
        self._overloaded_since = None

    def become_warm(self) -> None:
        """Become warm at once, for tests that do not concern slow start."""
        self._warming_since = -self.record.ramp

    async def search(
        self, call: str, parts: Sequence[SubRequest], budget: Seconds
    ) -> SearchResult:
        """Run sub-requests as one call.

        Raises:
            UpstreamError: when the call is rejected, cancelled or broken off, or its
                budget in seconds is exceeded.
        """
        self._check_accepts_calls()
        shards = sum(len(part.shards) for part in parts)
        self.stats.shards += shards
        is_query_of_death = any(CRASH_MARKER in part.query for part in parts)
        await self._run_call(
            call, len(parts), budget, is_query_of_death=is_query_of_death
        )
        return SearchResult(
            self.incarnation,
            self.behaviour.leaving,
            tuple(self._search_part(part) for part in parts),
        )

    async def book(self, call: str, content: str, budget: Seconds) -> BookingResult:
        """Run a booking.

        Raises:
            UpstreamError: as for a search; also when the booking ran but its reply is
                lost.
        """
        self._check_accepts_calls()
        await self._run_call(call, 1, budget, is_query_of_death=CRASH_MARKER in content)
        self.stats.executions[content] += 1
        if self.behaviour.lose_replies:
            self.behaviour.lose_replies -= 1
            raise UpstreamError(Reason.UPSTREAM_LOST, Outcome.UNKNOWN)
        number = sum(self.stats.executions.values())
        return BookingResult(
            self.incarnation,
            self.behaviour.leaving,
            f'{self.record.upstream}/{number}',
        )

    def cancel(self, call: str) -> None:
        """Cancel a call, if it is in flight."""
        cancellation = self._in_flight.get(call)
        if cancellation is not None and not cancellation.done():
            self.stats.cancelled += 1
            cancellation.set_exception(UpstreamError(Reason.CANCELLED, Outcome.NOT_RUN))

    def _check_accepts_calls(self) -> None:
        if not self.is_up:
            raise UpstreamError(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN)
        if self.behaviour.leaving:
            raise UpstreamError(Reason.UPSTREAM_DRAINING, Outcome.NOT_RUN)
        if self.behaviour.shed:
            raise UpstreamError(Reason.UPSTREAM_SHED, Outcome.NOT_RUN)

    async def _run_call(
        self, call: str, parts: int, budget: Seconds, *, is_query_of_death: bool
    ) -> None:
        """Occupy a slot for the duration of a call."""
        loop = asyncio.get_running_loop()
        cancellation: asyncio.Future[None] = loop.create_future()
        self._in_flight[call] = cancellation
        self._count_call(loop.time())
        crash = self._crash
        try:
            if is_query_of_death:
                loop.call_later(self.behaviour.median_latency, self.crash)
            await self._await_end(
                cancellation, crash, self._sample_duration(parts), budget
            )
        finally:
            del self._in_flight[call]
            if len(self._in_flight) <= self._compute_capacity(loop.time()):
                self._overloaded_since = None

    async def _await_end(
        self,
        cancellation: asyncio.Future[None],
        crash: asyncio.Event,
        duration: float,
        budget: Seconds,
    ) -> None:
        crashing = asyncio.ensure_future(crash.wait())
        limit = None if self.behaviour.is_frozen else duration
        try:
            await asyncio.wait(
                (cancellation, crashing),
                timeout=limit,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            crashing.cancel()
        if crash.is_set():
            raise UpstreamError(Reason.UPSTREAM_LOST, Outcome.UNKNOWN)
        if cancellation.done():
            await cancellation
        if duration > budget:
            raise UpstreamError(Reason.DEADLINE, Outcome.UNKNOWN)

    def _sample_duration(self, parts: int) -> float:
        behaviour = self.behaviour
        duration = behaviour.median_latency * self._random.lognormvariate(
            0, behaviour.latency_sigma
        )
        duration += behaviour.extra_part_latency * (parts - 1)
        if behaviour.mean_jitter:
            duration += self._random.expovariate(1 / behaviour.mean_jitter)
        if self._random.random() < behaviour.straggle:
            duration *= behaviour.straggle_factor
        return duration * behaviour.slow_factor

    def _count_call(self, now: float) -> None:
        stats = self.stats
        stats.calls += 1
        stats.call_start_times.append(now)
        in_flight = len(self._in_flight)
        stats.peak_in_flight = max(stats.peak_in_flight, in_flight)
        if self._warming_since is None:
            self._warming_since = now
        if in_flight > self._compute_capacity(now):
            stats.calls_over_capacity += 1
            if self._overloaded_since is None:
                self._overloaded_since = now
            if now - self._overloaded_since > self.behaviour.overload_tolerance:
                self.crash()

    def _compute_capacity(self, now: float) -> int:
        """Return how many concurrent calls the upstream can run without overload."""
        record = self.record
        if self._warming_since is None:
            return record.cold_slots
        warm_fraction = (now - self._warming_since) / max(record.ramp, 1e-6)
        ramp_slots = record.slots - record.cold_slots
        return record.cold_slots + int(ramp_slots * min(1, warm_fraction))

    def _search_part(self, part: SubRequest) -> SubResult:
        held = self.held.get(part.version)
        if held is None or self._index is None:
            return SubResult(part.version, (), (), Reason.VERSION_GONE)
        shards = tuple(shard for shard in part.shards if shard in held)
        hits = self._index.search(part.version, shards, part.query, part.limit)
        return SubResult(part.version, shards, hits)

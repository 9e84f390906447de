"""Searches for callers: pin a version, fan out, hedge, retry, merge."""

import random

from ..contracts import (
    CATALOG,
    COUNTERS,
    LIFECYCLE,
    LOADS,
    ORGANISATIONS,
    PEERS,
    SUSPECTS,
    TIMELINE,
    Metric,
)
from ..decisions import (
    Allowance,
    Gathering,
    LatencyWindow,
    RatioBudget,
    Throttle,
    choose_version,
)
from ..kernel import Kernel
from ..model import (
    Answer,
    Baseline,
    CoverageFirst,
    EventKind,
    Fingerprint,
    IndexVersion,
    OrganisationId,
    Outcome,
    Policy,
    Reason,
    RequestError,
    Search,
    Seconds,
    ServiceId,
    ShardMap,
    TailFirst,
    UpstreamId,
)
from ._fanout import Fanout
from ._fingerprints import digest_work
from ._tasks import read_clock

MERGE_RESERVE = 0.05  # of the budget, kept for merging and the way back
MAX_RESERVE = Seconds(0.02)
RETRY_RATIO = 0.1  # retries for each sub-request of an organisation to an upstream
RETRY_CAPACITY = 10  # retries saved up by an organisation for an upstream
HEDGE_CAPACITY = 150  # shards of hedges saved up for a service
HEDGE_OVERDRAFT = 75  # shards of hedges sent before they are earned
MAX_REPLANS = 1


class HostSearches:
    """Answer searches; what was learned of latency and budgets outlives each."""

    def __init__(self, kernel: Kernel, seed: int) -> None:
        self._kernel = kernel
        self._catalog = kernel.find(CATALOG)
        self._counters = kernel.find(COUNTERS)
        self._organisations = kernel.find(ORGANISATIONS)
        self._lifecycle = kernel.find(LIFECYCLE)
        self._loads = kernel.find(LOADS)
        self._peers = kernel.find(PEERS)
        self._suspects = kernel.find(SUSPECTS)
        self._timeline = kernel.find(TIMELINE)
        self._random = random.Random(seed)
        self._throttles: dict[tuple[ServiceId, OrganisationId], Throttle] = {}
        self._latencies: dict[ServiceId, LatencyWindow] = {}
        self._hedges: dict[tuple[ServiceId, OrganisationId], RatioBudget] = {}
        self._retries: dict[tuple[OrganisationId, UpstreamId], RatioBudget] = {}

    async def search(self, search: Search) -> Answer:
        """Return the merged answer.

        Raises:
            RequestError: when nothing was run because nothing could be.
        """
        self._lifecycle.admit()
        self._lifecycle.begin()
        started = read_clock()
        try:
            return await self._search(search, Seconds(started))
        finally:
            self._lifecycle.end()
            self._counters.observe(Metric.LATENCY, read_clock() - started)

    async def _search(self, search: Search, started: Seconds) -> Answer:
        fingerprint = fingerprint_search(search)
        if self._suspects.is_blocked(fingerprint):
            raise RequestError(Reason.SUSPECT, Outcome.NOT_RUN)
        throttle = self._find_throttle(search)
        if not throttle.admits(self._random.random(), started):
            raise RequestError(Reason.OVERLOADED, Outcome.NOT_RUN)
        reserve = min(MAX_RESERVE, search.budget * MERGE_RESERVE)
        deadline = Seconds(started + search.budget - reserve)
        gone: set[IndexVersion] = set()
        attempts = 0
        while True:
            pinned = self._pin(search.service, gone)
            gathering = Gathering(
                pinned,
                self._organisations.find_policy(search.organisation),
                Seconds(read_clock()),
                deadline,
                attempts,
            )
            await self._gather(search, fingerprint, gathering)
            if not self._should_replan(gathering, gone):
                answer = self._answer(search, gathering)
                accepted = Reason.OVERLOADED not in answer.missing.values()
                throttle.note_ended(Seconds(read_clock()), accepted=accepted)
                return answer
            self._counters.add(Metric.REPLANS)
            gone.add(pinned.version)
            attempts = gathering.first_attempt

    def _pin(self, service: ServiceId, gone: set[IndexVersion]) -> ShardMap:
        index = self._catalog.index(service)
        if index is None:
            raise RequestError(Reason.NO_VERSION, Outcome.NOT_RUN)
        pinned = choose_version(index, self._loads.is_usable, gone)
        if pinned is None:
            raise RequestError(Reason.NO_VERSION, Outcome.NOT_RUN)
        return pinned

    async def _gather(
        self, search: Search, fingerprint: Fingerprint, gathering: Gathering
    ) -> None:
        window = self._latencies.setdefault(search.service, LatencyWindow())
        key = (search.service, search.organisation)
        if key not in self._hedges:
            self._hedges[key] = RatioBudget(
                0, HEDGE_CAPACITY, overdraft=HEDGE_OVERDRAFT
            )
        hedges = self._hedges[key]
        hedges.ratio = _allow_extra(gathering.policy)
        allowance = Allowance(
            policy=gathering.policy,
            whole=Seconds(gathering.deadline - gathering.started),
            window=window,
            hedges=hedges,
            retries=lambda upstream: self._retry_budget(search, upstream),
        )
        async with Fanout(
            self._kernel, search, fingerprint, gathering, allowance
        ) as fanout:
            await fanout.run()

    def _should_replan(self, gathering: Gathering, gone: set[IndexVersion]) -> bool:
        in_time = read_clock() < gathering.deadline
        return in_time and len(gone) < MAX_REPLANS and gathering.has_lost_version()

    def _answer(self, search: Search, gathering: Gathering) -> Answer:
        missing = gathering.explain_missing()
        shards = gathering.shard_map.shards
        if shards:
            self._counters.observe(
                Metric.COVERAGE, len(gathering.covered) / len(shards)
            )
        self._timeline.note(
            EventKind.ANSWER,
            f'{len(gathering.covered)} of {len(shards)} shards'
            f' at version {gathering.shard_map.version}',
            request=search.request,
            organisation=search.organisation,
        )
        return Answer(
            request=search.request,
            service=search.service,
            version=gathering.shard_map.version,
            hits=gathering.rank_hits(search.limit),
            covered=tuple(sorted(gathering.covered)),
            missing=missing,
        )

    def _find_throttle(self, search: Search) -> Throttle:
        key = (search.service, search.organisation)
        return self._throttles.setdefault(key, Throttle())

    def _retry_budget(self, search: Search, upstream: UpstreamId) -> RatioBudget:
        key = (search.organisation, upstream)
        if key not in self._retries:
            self._retries[key] = RatioBudget(
                RETRY_RATIO, RETRY_CAPACITY, RETRY_CAPACITY
            )
        return self._retries[key]


def fingerprint_search(search: Search) -> Fingerprint:
    """Return a digest of what upstreams are asked to do, whoever asks."""
    return digest_work('search', search.service, str(search.limit), search.query)


def _allow_extra(policy: Policy) -> float:
    match policy:
        case TailFirst(extra_load=ratio) | CoverageFirst(extra_load=ratio):
            return ratio
        case Baseline():
            return 0

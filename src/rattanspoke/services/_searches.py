"""Searches for callers: pin an index version, fan out, hedge, retry and merge."""

import random

from ..contracts import (
    CATALOG,
    COUNTERS,
    LIFECYCLE,
    ORGANISATIONS,
    PEERS,
    SUSPECTS,
    TIMELINE,
    UPSTREAM_LOADS,
    Metric,
)
from ..decisions import (
    ExtraSendPolicy,
    LatencyWindow,
    RetryBudget,
    SearchState,
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

# Fraction of a search's time budget that is kept for merging and for sending the answer
# back to the caller; in seconds it is at most MAX_RESERVE.
MERGE_RESERVE = 0.05
MAX_RESERVE = Seconds(0.02)
# Retry budgets are kept for each organisation at each upstream.
RETRY_RATIO = 0.1  # retries deposited for each first send of a sub-request
RETRY_CAPACITY = 10  # retries that a budget holds at most, and at the start
# Hedge budgets are kept for each organisation at each service.
HEDGE_CAPACITY = 150  # hedged shards that a budget holds at most
HEDGE_OVERDRAFT = 75  # hedged shards that may be withdrawn before they are deposited
MAX_REPLANS = 1  # times that a search starts again with another index version


class HostSearches:
    """Answer searches.

    Latency windows, throttles and the budgets of hedges and retries are kept from one
    search to the next.
    """

    def __init__(self, kernel: Kernel, seed: int) -> None:
        self._kernel = kernel
        self._catalog = kernel.find(CATALOG)
        self._counters = kernel.find(COUNTERS)
        self._organisations = kernel.find(ORGANISATIONS)
        self._lifecycle = kernel.find(LIFECYCLE)
        self._loads = kernel.find(UPSTREAM_LOADS)
        self._peers = kernel.find(PEERS)
        self._suspects = kernel.find(SUSPECTS)
        self._timeline = kernel.find(TIMELINE)
        self._random = random.Random(seed)
        self._throttles: dict[tuple[ServiceId, OrganisationId], Throttle] = {}
        self._latencies: dict[ServiceId, LatencyWindow] = {}
        self._hedge_budgets: dict[tuple[ServiceId, OrganisationId], RetryBudget] = {}
        self._retry_budgets: dict[tuple[OrganisationId, UpstreamId], RetryBudget] = {}

    async def search(self, search: Search) -> Answer:
        """Run a search and return the merged answer.

        Raises:
            RequestError: when the search was rejected and no upstream ran any of it.
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
        gone_versions: set[IndexVersion] = set()
        attempts = 0
        while True:
            pinned = self._pin_version(search.service, gone_versions)
            gathering = SearchState(
                pinned,
                self._organisations.find_policy(search.organisation),
                Seconds(read_clock()),
                deadline,
                attempts,
            )
            await self._gather(search, fingerprint, gathering)
            if not self._should_replan(gathering, gone_versions):
                answer = self._build_answer(search, gathering)
                accepted = Reason.OVERLOADED not in answer.missing.values()
                throttle.note_ended(Seconds(read_clock()), accepted=accepted)
                return answer
            self._counters.add(Metric.REPLANS)
            gone_versions.add(pinned.version)
            attempts = gathering.last_attempt

    def _pin_version(
        self, service: ServiceId, gone_versions: set[IndexVersion]
    ) -> ShardMap:
        index = self._catalog.index(service)
        if index is None:
            raise RequestError(Reason.NO_VERSION, Outcome.NOT_RUN)
        pinned = choose_version(index, self._loads.is_usable, gone_versions)
        if pinned is None:
            raise RequestError(Reason.NO_VERSION, Outcome.NOT_RUN)
        return pinned

    async def _gather(
        self, search: Search, fingerprint: Fingerprint, gathering: SearchState
    ) -> None:
        window = self._latencies.setdefault(search.service, LatencyWindow())
        key = (search.service, search.organisation)
        if key not in self._hedge_budgets:
            self._hedge_budgets[key] = RetryBudget(
                0, HEDGE_CAPACITY, overdraft=HEDGE_OVERDRAFT
            )
        hedges = self._hedge_budgets[key]
        hedges.ratio = _find_extra_load(gathering.policy)
        allowance = ExtraSendPolicy(
            policy=gathering.policy,
            search_time=Seconds(gathering.deadline - gathering.started),
            window=window,
            hedges=hedges,
            retries=lambda upstream: self._find_retry_budget(search, upstream),
        )
        async with Fanout(
            self._kernel, search, fingerprint, gathering, allowance
        ) as fanout:
            await fanout.run()

    def _should_replan(
        self, gathering: SearchState, gone_versions: set[IndexVersion]
    ) -> bool:
        in_time = read_clock() < gathering.deadline
        return (
            in_time
            and len(gone_versions) < MAX_REPLANS
            and gathering.has_lost_version()
        )

    def _build_answer(self, search: Search, gathering: SearchState) -> Answer:
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

    def _find_retry_budget(self, search: Search, upstream: UpstreamId) -> RetryBudget:
        key = (search.organisation, upstream)
        if key not in self._retry_budgets:
            self._retry_budgets[key] = RetryBudget(
                RETRY_RATIO, RETRY_CAPACITY, RETRY_CAPACITY
            )
        return self._retry_budgets[key]


def fingerprint_search(search: Search) -> Fingerprint:
    """Return a digest of the work that a search gives upstreams, whoever the caller."""
    return digest_work('search', search.service, str(search.limit), search.query)


def _find_extra_load(policy: Policy) -> float:
    match policy:
        case TailFirst(extra_load=ratio) | CoverageFirst(extra_load=ratio):
            return ratio
        case Baseline():
            return 0

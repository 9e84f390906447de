"""Decisions of the tier, free of any encoding and of the clock."""

from ._absence import (
    Absences,
    choose_hold,
)
from ._adoption import (
    Adoption,
    Name,
)
from ._allowance import (
    RESCUE_SHARE,
    TAIL_RETRIES,
    Allowance,
)
from ._budget import (
    RatioBudget,
    TokenBucket,
)
from ._claiming import (
    Claims,
    name_claim,
    settle_claim,
    take_claim,
)
from ._cold import (
    ColdBound,
    make_cold_bucket,
)
from ._concurrency import (
    ConcurrencyLimit,
)
from ._evidence import CONFIRM_TIME, CrashEvidence
from ._extra import (
    first_hedge,
    fit_extra_budget,
    make_extra_budget,
    may_hedge,
    share_slack,
)
from ._gathering import (
    NOW,
    Gathering,
    Part,
)
from ._latency import (
    DIGITS,
    ENOUGH_SAMPLES,
    LATEST,
    LONGEST,
    MICROSECONDS,
    PROBE_AFTER,
    QUANTILE_STEPS,
    RECENT_CALLS,
    SHORTEST,
    UNKNOWN_LATENCY,
    WINDOW,
    LatencyWindow,
    UpstreamLoad,
    choose_quantile,
)
from ._ledger import (
    OWNERS_PER_UPSTREAM,
    Holders,
    LedgerView,
    choose_owners,
    find_surplus,
    list_holders,
    propose_seats,
)
from ._membership import (
    GONE_AFTER,
    HOSTS_PER_SECOND,
    LINKS_PER_ZONE,
    MIN_HEARTBEAT_INTERVAL,
    MISSED_HEARTBEATS,
    OWN_TURN,
    SELF_FENCE,
    Membership,
)
from ._merging import (
    merge_records,
    split_records,
)
from ._patience import (
    AnswerWhenEnough,
    WaitForAll,
    WaitPolicy,
    choose_answer_time,
    choose_wait_policy,
    count_required_shards,
)
from ._plan import (
    REUSE_LOAD_FACTOR,
    UNUSABLE_LOAD,
    Assignment,
    EstimateLoad,
    assign_shards,
    choose_version,
)
from ._queue import (
    FairQueue,
    QueueItem,
    Work,
)
from ._ramp import (
    LATENCY_JUMP_CALLS,
    LATENCY_JUMP_FACTOR,
    MIN_BASELINE_CALLS,
    SMOOTHING,
    UNKNOWN_INCARNATION,
    SlowStart,
)
from ._readiness import RotationMonitor
from ._recent import (
    CallPace,
    RecentLatency,
    choose_hedge_delay,
)
from ._rendezvous import (
    rank_hosts,
)
from ._replicas import (
    Failure,
    Replica,
    choose_half_life,
    choose_replica,
)
from ._returning import (
    choose_retry_after,
)
from ._routes import (
    RouteTable,
    WeightedRoundRobin,
)
from ._suspicion import (
    BLOCK_TIME,
    BLOCKING_CRASHES,
    MAX_SUSPECTS,
    SUSPECT_RETENTION,
    CrashSuspects,
)
from ._throttle import (
    ACCEPTS_MULTIPLIER,
    HALF_LIFE,
    INITIAL_TIME,
    MIN_REQUESTS,
    Throttle,
)
from ._topology import (
    STORE_WATCHERS,
    WATCH_WAIT,
    choose_heartbeat_interval,
    choose_links,
    choose_silence_limit,
    choose_stale_age,
    choose_watchers,
)
from ._validation import (
    DIGEST_LENGTH,
    MAX_CONNECTIONS,
    MAX_SLOTS,
    check_record,
)
from ._waiting import (
    is_waiting_useful,
    rank_pending,
)

__all__ = (
    'ACCEPTS_MULTIPLIER',
    'BLOCKING_CRASHES',
    'BLOCK_TIME',
    'CONFIRM_TIME',
    'DIGEST_LENGTH',
    'DIGITS',
    'ENOUGH_SAMPLES',
    'GONE_AFTER',
    'HALF_LIFE',
    'HOSTS_PER_SECOND',
    'INITIAL_TIME',
    'LATENCY_JUMP_CALLS',
    'LATENCY_JUMP_FACTOR',
    'LATEST',
    'LINKS_PER_ZONE',
    'LONGEST',
    'MAX_CONNECTIONS',
    'MAX_SLOTS',
    'MAX_SUSPECTS',
    'MICROSECONDS',
    'MIN_BASELINE_CALLS',
    'MIN_HEARTBEAT_INTERVAL',
    'MIN_REQUESTS',
    'MISSED_HEARTBEATS',
    'NOW',
    'OWNERS_PER_UPSTREAM',
    'OWN_TURN',
    'PROBE_AFTER',
    'QUANTILE_STEPS',
    'RECENT_CALLS',
    'RESCUE_SHARE',
    'REUSE_LOAD_FACTOR',
    'SELF_FENCE',
    'SHORTEST',
    'SMOOTHING',
    'STORE_WATCHERS',
    'SUSPECT_RETENTION',
    'TAIL_RETRIES',
    'UNKNOWN_INCARNATION',
    'UNKNOWN_LATENCY',
    'UNUSABLE_LOAD',
    'WATCH_WAIT',
    'WINDOW',
    'Absences',
    'Adoption',
    'Allowance',
    'AnswerWhenEnough',
    'Assignment',
    'CallPace',
    'Claims',
    'ColdBound',
    'ConcurrencyLimit',
    'CrashEvidence',
    'CrashSuspects',
    'EstimateLoad',
    'Failure',
    'FairQueue',
    'Gathering',
    'Holders',
    'LatencyWindow',
    'LedgerView',
    'Membership',
    'Name',
    'Part',
    'QueueItem',
    'RatioBudget',
    'RecentLatency',
    'Replica',
    'RotationMonitor',
    'RouteTable',
    'SlowStart',
    'Throttle',
    'TokenBucket',
    'UpstreamLoad',
    'WaitForAll',
    'WaitPolicy',
    'WeightedRoundRobin',
    'Work',
    'assign_shards',
    'check_record',
    'choose_answer_time',
    'choose_half_life',
    'choose_heartbeat_interval',
    'choose_hedge_delay',
    'choose_hold',
    'choose_links',
    'choose_owners',
    'choose_quantile',
    'choose_replica',
    'choose_retry_after',
    'choose_silence_limit',
    'choose_stale_age',
    'choose_version',
    'choose_wait_policy',
    'choose_watchers',
    'count_required_shards',
    'find_surplus',
    'first_hedge',
    'fit_extra_budget',
    'is_waiting_useful',
    'list_holders',
    'make_cold_bucket',
    'make_extra_budget',
    'may_hedge',
    'merge_records',
    'name_claim',
    'propose_seats',
    'rank_hosts',
    'rank_pending',
    'settle_claim',
    'share_slack',
    'split_records',
    'take_claim',
)

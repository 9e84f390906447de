"""Decision logic of the query tier.

The modules read no clock and encode no messages: the time is passed in, and so are
random samples.
"""

from ._absence import (
    MissingUpstreams,
    choose_retention,
)
from ._adoption import (
    ObjectKey,
    RecordReplica,
)
from ._allowance import (
    PART_TIMEOUT_FRACTION,
    TAIL_FIRST_RETRIES,
    ExtraSendPolicy,
)
from ._budget import (
    RetryBudget,
    TokenBucket,
)
from ._claiming import (
    ClaimTable,
    acquire_claim,
    name_claim,
    settle_claim,
)
from ._cold import (
    SlowStartLimit,
    make_slow_start_bucket,
)
from ._concurrency import (
    ConcurrencyLimit,
)
from ._evidence import CONFIRMATION_WINDOW, CrashDetector
from ._extra import (
    choose_initial_hedge_delay,
    divide_slack,
    make_extra_budget,
    may_hedge,
    resize_extra_budget,
)
from ._gathering import (
    IMMEDIATELY,
    PendingSubRequest,
    SearchState,
)
from ._latency import (
    DEFAULT_LATENCY,
    LATENCY_WINDOW,
    LOAD_HALF_LIFE,
    MAX_LATENCY,
    MAX_QUANTILE_SHIFT,
    MICROSECONDS_PER_SECOND,
    MIN_EXPECTED_LATENCY,
    MIN_SAMPLES,
    QUANTILE_STEPS,
    RECENT_CALLS,
    SIGNIFICANT_DIGITS,
    LatencyWindow,
    UpstreamLoad,
    choose_hedge_quantile,
)
from ._membership import (
    DEAD_AFTER,
    HEARTBEAT_LINKS_PER_ZONE,
    HEARTBEATS_PER_SECOND,
    MIN_HEARTBEAT_INTERVAL,
    MISSED_HEARTBEATS,
    SELF_FENCE_AFTER,
    TAKEOVER_INTERVALS,
    Membership,
)
from ._merging import (
    merge_records,
    split_records,
)
from ._patience import (
    AnswerWhenEnough,
    Patience,
    WaitForAll,
    choose_patience,
    count_needed,
    plan_answer,
)
from ._plan import (
    REUSE_BONUS,
    UNUSABLE,
    Assignment,
    Load,
    assign_shards,
    choose_version,
)
from ._queue import (
    FairQueue,
    Ticket,
    Work,
)
from ._ramp import (
    JUMP_CALLS,
    JUMP_FACTOR,
    LIFTED_CALLS,
    SMOOTHING,
    UNKNOWN_LIFE,
    Ramp,
)
from ._readiness import SteppingBack
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
    choose_fade,
    choose_replica,
)
from ._returning import (
    choose_return,
)
from ._routes import (
    RouteTable,
    WeightSpread,
)
from ._seats import (
    OWNERS_PER_UPSTREAM,
    Holders,
    SeatAssignmentView,
    choose_owners,
    find_surplus,
    list_owners,
    propose_seats,
)
from ._suspicion import (
    CONVICTING_CRASHES,
    MAX_SUSPECTS,
    MEMORY_TIME,
    REFUSAL_TIME,
    Suspicion,
)
from ._throttle import (
    HALF_LIFE,
    HEADROOM,
    MIN_REQUESTS,
    START,
    Throttle,
)
from ._topology import (
    FOLLOWERS,
    WATCH_WAIT,
    choose_followers,
    choose_interval,
    choose_links,
    choose_silence,
    choose_stale_age,
)
from ._validation import (
    DIGEST_LENGTH,
    MAX_CONNECTIONS,
    MAX_SLOTS,
    check_record,
)
from ._waiting import (
    is_waiting_useful,
    rank_waiter,
)

__all__ = (
    'CONFIRMATION_WINDOW',
    'CONVICTING_CRASHES',
    'DEAD_AFTER',
    'DEFAULT_LATENCY',
    'DIGEST_LENGTH',
    'FOLLOWERS',
    'HALF_LIFE',
    'HEADROOM',
    'HEARTBEATS_PER_SECOND',
    'HEARTBEAT_LINKS_PER_ZONE',
    'IMMEDIATELY',
    'JUMP_CALLS',
    'JUMP_FACTOR',
    'LATENCY_WINDOW',
    'LIFTED_CALLS',
    'LOAD_HALF_LIFE',
    'MAX_CONNECTIONS',
    'MAX_LATENCY',
    'MAX_QUANTILE_SHIFT',
    'MAX_SLOTS',
    'MAX_SUSPECTS',
    'MEMORY_TIME',
    'MICROSECONDS_PER_SECOND',
    'MIN_EXPECTED_LATENCY',
    'MIN_HEARTBEAT_INTERVAL',
    'MIN_REQUESTS',
    'MIN_SAMPLES',
    'MISSED_HEARTBEATS',
    'OWNERS_PER_UPSTREAM',
    'PART_TIMEOUT_FRACTION',
    'QUANTILE_STEPS',
    'RECENT_CALLS',
    'REFUSAL_TIME',
    'REUSE_BONUS',
    'SELF_FENCE_AFTER',
    'SIGNIFICANT_DIGITS',
    'SMOOTHING',
    'START',
    'TAIL_FIRST_RETRIES',
    'TAKEOVER_INTERVALS',
    'UNKNOWN_LIFE',
    'UNUSABLE',
    'WATCH_WAIT',
    'AnswerWhenEnough',
    'Assignment',
    'CallPace',
    'ClaimTable',
    'ConcurrencyLimit',
    'CrashDetector',
    'ExtraSendPolicy',
    'Failure',
    'FairQueue',
    'Holders',
    'LatencyWindow',
    'Load',
    'Membership',
    'MissingUpstreams',
    'ObjectKey',
    'Patience',
    'PendingSubRequest',
    'Ramp',
    'RecentLatency',
    'RecordReplica',
    'Replica',
    'RetryBudget',
    'RouteTable',
    'SearchState',
    'SeatAssignmentView',
    'SlowStartLimit',
    'SteppingBack',
    'Suspicion',
    'Throttle',
    'Ticket',
    'TokenBucket',
    'UpstreamLoad',
    'WaitForAll',
    'WeightSpread',
    'Work',
    'acquire_claim',
    'assign_shards',
    'check_record',
    'choose_fade',
    'choose_followers',
    'choose_hedge_delay',
    'choose_hedge_quantile',
    'choose_initial_hedge_delay',
    'choose_interval',
    'choose_links',
    'choose_owners',
    'choose_patience',
    'choose_replica',
    'choose_retention',
    'choose_return',
    'choose_silence',
    'choose_stale_age',
    'choose_version',
    'count_needed',
    'divide_slack',
    'find_surplus',
    'is_waiting_useful',
    'list_owners',
    'make_extra_budget',
    'make_slow_start_bucket',
    'may_hedge',
    'merge_records',
    'name_claim',
    'plan_answer',
    'propose_seats',
    'rank_hosts',
    'rank_waiter',
    'resize_extra_budget',
    'settle_claim',
    'split_records',
)

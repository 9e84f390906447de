"""Decision logic of the query tier.

The modules read no clock and encode no messages: the time is passed in, and so are
random samples.
"""

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
from ._concurrency import (
    ConcurrencyLimit,
)
from ._crash_detector import CONFIRMATION_WINDOW, CrashDetector
from ._crash_suspects import (
    BLOCK_TIME,
    BLOCKING_CRASHES,
    MAX_SUSPECTS,
    SUSPECT_RETENTION,
    CrashSuspects,
)
from ._extra_send_policy import (
    PART_TIMEOUT_FRACTION,
    TAIL_FIRST_RETRIES,
    ExtraSendPolicy,
)
from ._fleet_view import GONE_AFTER, FleetView, digest_roster
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
from ._load_shedding import MAX_WAIT_SHARE, OVERLOAD_CALLS, choose_shed_reason
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
from ._missing_upstreams import (
    MissingUpstreams,
    choose_retention,
)
from ._pending_requests import (
    is_waiting_useful,
    rank_pending,
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
from ._record_replica import (
    ObjectKey,
    RecordReplica,
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
from ._restarts import MAX_RESTART_DELAY, RECOVERY_TIME, RestartPolicy
from ._retry_after import (
    choose_retry_after,
)
from ._retry_budget import (
    REFILL_FRACTION,
    choose_initial_hedge_delay,
    divide_slack,
    make_extra_budget,
    may_hedge,
    resize_extra_budget,
)
from ._rotation import RotationMonitor
from ._route_latency import (
    CallPace,
    RecentLatency,
    choose_hedge_delay,
)
from ._routes import (
    RouteTable,
    WeightedRoundRobin,
)
from ._search_state import (
    IMMEDIATELY,
    PendingSubRequest,
    SearchState,
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
from ._slow_start import (
    LATENCY_JUMP_CALLS,
    LATENCY_JUMP_FACTOR,
    MIN_BASELINE_CALLS,
    SMOOTHING,
    UNKNOWN_INCARNATION,
    SlowStart,
)
from ._slow_start_limit import (
    SlowStartLimit,
    make_slow_start_bucket,
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
    choose_relays,
    choose_silence_limit,
    choose_sources,
    choose_stale_age,
    choose_watchers,
)
from ._upstream_notices import MAX_QUIET, UpstreamNotices
from ._validation import (
    DIGEST_LENGTH,
    MAX_CONNECTIONS,
    MAX_SLOTS,
    check_record,
)
from ._wait_policy import (
    AnswerWhenEnough,
    WaitForAll,
    WaitPolicy,
    choose_answer_time,
    choose_wait_policy,
    count_required_shards,
)

__all__ = (
    'ACCEPTS_MULTIPLIER',
    'BLOCKING_CRASHES',
    'BLOCK_TIME',
    'CONFIRMATION_WINDOW',
    'DEAD_AFTER',
    'DEFAULT_LATENCY',
    'DIGEST_LENGTH',
    'GONE_AFTER',
    'HALF_LIFE',
    'HEARTBEATS_PER_SECOND',
    'HEARTBEAT_LINKS_PER_ZONE',
    'IMMEDIATELY',
    'INITIAL_TIME',
    'LATENCY_JUMP_CALLS',
    'LATENCY_JUMP_FACTOR',
    'LATENCY_WINDOW',
    'LOAD_HALF_LIFE',
    'MAX_CONNECTIONS',
    'MAX_LATENCY',
    'MAX_QUANTILE_SHIFT',
    'MAX_QUIET',
    'MAX_RESTART_DELAY',
    'MAX_SLOTS',
    'MAX_SUSPECTS',
    'MAX_WAIT_SHARE',
    'MICROSECONDS_PER_SECOND',
    'MIN_BASELINE_CALLS',
    'MIN_EXPECTED_LATENCY',
    'MIN_HEARTBEAT_INTERVAL',
    'MIN_REQUESTS',
    'MIN_SAMPLES',
    'MISSED_HEARTBEATS',
    'OVERLOAD_CALLS',
    'OWNERS_PER_UPSTREAM',
    'PART_TIMEOUT_FRACTION',
    'QUANTILE_STEPS',
    'RECENT_CALLS',
    'RECOVERY_TIME',
    'REFILL_FRACTION',
    'REUSE_LOAD_FACTOR',
    'SELF_FENCE_AFTER',
    'SIGNIFICANT_DIGITS',
    'SMOOTHING',
    'STORE_WATCHERS',
    'SUSPECT_RETENTION',
    'TAIL_FIRST_RETRIES',
    'TAKEOVER_INTERVALS',
    'UNKNOWN_INCARNATION',
    'UNUSABLE_LOAD',
    'WATCH_WAIT',
    'AnswerWhenEnough',
    'Assignment',
    'CallPace',
    'ClaimTable',
    'ConcurrencyLimit',
    'CrashDetector',
    'CrashSuspects',
    'EstimateLoad',
    'ExtraSendPolicy',
    'Failure',
    'FairQueue',
    'FleetView',
    'Holders',
    'LatencyWindow',
    'Membership',
    'MissingUpstreams',
    'ObjectKey',
    'PendingSubRequest',
    'QueueItem',
    'RecentLatency',
    'RecordReplica',
    'Replica',
    'RestartPolicy',
    'RetryBudget',
    'RotationMonitor',
    'RouteTable',
    'SearchState',
    'SeatAssignmentView',
    'SlowStart',
    'SlowStartLimit',
    'Throttle',
    'TokenBucket',
    'UpstreamLoad',
    'UpstreamNotices',
    'WaitForAll',
    'WaitPolicy',
    'WeightedRoundRobin',
    'Work',
    'acquire_claim',
    'assign_shards',
    'check_record',
    'choose_answer_time',
    'choose_half_life',
    'choose_heartbeat_interval',
    'choose_hedge_delay',
    'choose_hedge_quantile',
    'choose_initial_hedge_delay',
    'choose_links',
    'choose_owners',
    'choose_relays',
    'choose_replica',
    'choose_retention',
    'choose_retry_after',
    'choose_shed_reason',
    'choose_silence_limit',
    'choose_sources',
    'choose_stale_age',
    'choose_version',
    'choose_wait_policy',
    'choose_watchers',
    'count_required_shards',
    'digest_roster',
    'divide_slack',
    'find_surplus',
    'is_waiting_useful',
    'list_owners',
    'make_extra_budget',
    'make_slow_start_bucket',
    'may_hedge',
    'merge_records',
    'name_claim',
    'propose_seats',
    'rank_hosts',
    'rank_pending',
    'resize_extra_budget',
    'settle_claim',
    'split_records',
)

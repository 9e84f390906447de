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
    'CONFIRM_TIME',
    'CONVICTING_CRASHES',
    'DIGEST_LENGTH',
    'DIGITS',
    'ENOUGH_SAMPLES',
    'FOLLOWERS',
    'GONE_AFTER',
    'HALF_LIFE',
    'HEADROOM',
    'HOSTS_PER_SECOND',
    'JUMP_CALLS',
    'JUMP_FACTOR',
    'LATEST',
    'LIFTED_CALLS',
    'LINKS_PER_ZONE',
    'LONGEST',
    'MAX_CONNECTIONS',
    'MAX_SLOTS',
    'MAX_SUSPECTS',
    'MEMORY_TIME',
    'MICROSECONDS',
    'MIN_HEARTBEAT_INTERVAL',
    'MIN_REQUESTS',
    'MISSED_HEARTBEATS',
    'NOW',
    'OWNERS_PER_UPSTREAM',
    'OWN_TURN',
    'PROBE_AFTER',
    'QUANTILE_STEPS',
    'RECENT_CALLS',
    'REFUSAL_TIME',
    'RESCUE_SHARE',
    'REUSE_BONUS',
    'SELF_FENCE',
    'SHORTEST',
    'SMOOTHING',
    'START',
    'TAIL_RETRIES',
    'UNKNOWN_LATENCY',
    'UNKNOWN_LIFE',
    'UNUSABLE',
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
    'Failure',
    'FairQueue',
    'Gathering',
    'Holders',
    'LatencyWindow',
    'LedgerView',
    'Load',
    'Membership',
    'Name',
    'Part',
    'Patience',
    'Ramp',
    'RatioBudget',
    'RecentLatency',
    'Replica',
    'RouteTable',
    'SteppingBack',
    'Suspicion',
    'Throttle',
    'Ticket',
    'TokenBucket',
    'UpstreamLoad',
    'WaitForAll',
    'WeightSpread',
    'Work',
    'assign_shards',
    'check_record',
    'choose_fade',
    'choose_followers',
    'choose_hedge_delay',
    'choose_hold',
    'choose_interval',
    'choose_links',
    'choose_owners',
    'choose_patience',
    'choose_quantile',
    'choose_replica',
    'choose_return',
    'choose_silence',
    'choose_stale_age',
    'choose_version',
    'count_needed',
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
    'plan_answer',
    'propose_seats',
    'rank_hosts',
    'rank_waiter',
    'settle_claim',
    'share_slack',
    'split_records',
    'take_claim',
)

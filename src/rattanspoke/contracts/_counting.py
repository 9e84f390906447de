"""Names of the metrics; they are stable, since dashboards and alerts use them."""

from enum import Enum, unique


@unique
class Metric(Enum):
    """A counter if the name ends in `_total`, otherwise a distribution."""

    REQUESTS = 'rattanspoke_requests_total'
    REFUSALS = 'rattanspoke_refusals_total'
    SUB_REQUESTS = 'rattanspoke_sub_requests_total'
    SUB_REPLIES = 'rattanspoke_sub_replies_total'
    SHARD_REQUESTS = 'rattanspoke_shard_requests_total'
    HEDGES = 'rattanspoke_hedges_total'
    HEDGED_SHARDS = 'rattanspoke_hedged_shards_total'
    HEDGES_DENIED = 'rattanspoke_hedges_denied_total'
    RETRIES = 'rattanspoke_retries_total'
    RETRIES_DENIED = 'rattanspoke_retries_denied_total'
    CALLERS_LEFT = 'rattanspoke_callers_left_total'
    EXTRA_DENIED = 'rattanspoke_extra_sends_denied_total'
    LINES_OPENED = 'rattanspoke_upstream_connections_opened_total'
    REROUTES = 'rattanspoke_reroutes_total'
    REPLANS = 'rattanspoke_replans_total'
    LATE_REPLIES = 'rattanspoke_late_replies_total'
    DISCARDED_REPLIES = 'rattanspoke_discarded_replies_total'
    UPSTREAM_CALLS = 'rattanspoke_upstream_calls_total'
    UPSTREAM_FAILURES = 'rattanspoke_upstream_failures_total'
    CANCELS = 'rattanspoke_cancels_total'
    RAMP_CHANGES = 'rattanspoke_ramp_changes_total'
    CRASHES = 'rattanspoke_upstream_crashes_total'
    SEAT_WRITES = 'rattanspoke_seat_writes_total'
    CLAIM_WRITES = 'rattanspoke_claim_writes_total'
    CLAIMS_ASKED = 'rattanspoke_claims_asked_total'
    PLATFORM_CALLS = 'rattanspoke_platform_calls_total'
    PLATFORM_FAILURES = 'rattanspoke_platform_failures_total'
    OBJECTS_UNREADABLE = 'rattanspoke_store_objects_unreadable_total'
    RECORDS_ADOPTED = 'rattanspoke_records_adopted_total'
    PEER_BUNDLES = 'rattanspoke_peer_bundles_total'
    PEER_PARCELS = 'rattanspoke_peer_parcels_total'
    PEER_LINKS_LOST = 'rattanspoke_peer_links_lost_total'
    MEMBERS_CHANGED = 'rattanspoke_members_changed_total'
    LEAVING_NOTICES = 'rattanspoke_upstream_leaving_notices_total'
    QUIET_NOTICES = 'rattanspoke_upstream_quiet_notices_total'
    SENDS_WITHHELD = 'rattanspoke_upstream_sends_withheld_total'
    TASK_FAILURES = 'rattanspoke_background_task_failures_total'
    LATENCY = 'rattanspoke_request_seconds'
    COVERAGE = 'rattanspoke_coverage_ratio'

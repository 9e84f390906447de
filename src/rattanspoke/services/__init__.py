"""Services of a host; each finds the others through the kernel, by name."""

from ._bookings import HostBookings, fingerprint_booking
from ._catalog import HostCatalog
from ._claims import HostClaims
from ._connection_pools import HostConnectionPools
from ._crash_guard import HostCrashGuard
from ._directory import UpstreamDirectory
from ._fleet import HostFleet
from ._host_registry import HostRegistry
from ._lifecycle import HostLifecycle
from ._loads import HostUpstreamLoads
from ._members import HostMembers
from ._organisations import HostOrganisations
from ._owner import HostOwnedUpstreams
from ._peers import PeerLinks
from ._readiness import HostReadiness
from ._record_statuses import HostRecordStatuses
from ._replica_selection import HostReplicaSelection
from ._request_handler import HostRequestHandler
from ._rules import HostRules
from ._searches import HostSearches, fingerprint_search
from ._seats import HostSeats
from ._slow_start import HostSlowStartAdmission
from ._state import HostSharedState
from ._state_replication import HostStateReplication
from ._store_watcher import StoreWatcher
from ._suspects import HostSuspectRecovery, HostSuspects
from ._tasks import HostSupervisor, Tasks, read_clock
from ._telemetry import HostCounters, HostTimeline
from ._upstream_notices import HostUpstreamNotices
from ._watch import HostWatch

__all__ = (
    'HostBookings',
    'HostCatalog',
    'HostClaims',
    'HostConnectionPools',
    'HostCounters',
    'HostCrashGuard',
    'HostFleet',
    'HostLifecycle',
    'HostMembers',
    'HostOrganisations',
    'HostOwnedUpstreams',
    'HostReadiness',
    'HostRecordStatuses',
    'HostRegistry',
    'HostReplicaSelection',
    'HostRequestHandler',
    'HostRules',
    'HostSearches',
    'HostSeats',
    'HostSharedState',
    'HostSlowStartAdmission',
    'HostStateReplication',
    'HostSupervisor',
    'HostSuspectRecovery',
    'HostSuspects',
    'HostTimeline',
    'HostUpstreamLoads',
    'HostUpstreamNotices',
    'HostWatch',
    'PeerLinks',
    'StoreWatcher',
    'Tasks',
    'UpstreamDirectory',
    'fingerprint_booking',
    'fingerprint_search',
    'read_clock',
)

"""Services of a host; each finds the others through the kernel, by name."""

from ._bookings import HostBookings, fingerprint_booking
from ._catalog import HostCatalog
from ._claims import ClaimKeeper
from ._cold import HostSlowStartAdmission
from ._crashes import HostCrashGuard
from ._directory import UpstreamDirectory
from ._entry import HostRequestHandler
from ._fleet import HostFleet
from ._follower import StoreFollower
from ._lifecycle import HostLifecycle
from ._lines import HostConnectionPools
from ._loads import HostLoads
from ._members import HostMembers
from ._news import HostNews
from ._organisations import HostOrganisations
from ._owner import UpstreamOwner
from ._peers import PeerLinks
from ._placements import HostReplicaSelection
from ._readiness import HostReadiness
from ._rules import HostRules
from ._searches import HostSearches, fingerprint_search
from ._seats import HostSeats
from ._state import HostSharedState
from ._suspects import HostSuspects
from ._tasks import Tasks, read_clock
from ._telemetry import HostCounters, HostTimeline
from ._verdicts import HostVerdicts
from ._watch import HostWatch

__all__ = (
    'ClaimKeeper',
    'HostBookings',
    'HostCatalog',
    'HostConnectionPools',
    'HostCounters',
    'HostCrashGuard',
    'HostFleet',
    'HostLifecycle',
    'HostLoads',
    'HostMembers',
    'HostNews',
    'HostOrganisations',
    'HostReadiness',
    'HostReplicaSelection',
    'HostRequestHandler',
    'HostRules',
    'HostSearches',
    'HostSeats',
    'HostSharedState',
    'HostSlowStartAdmission',
    'HostSuspects',
    'HostTimeline',
    'HostVerdicts',
    'HostWatch',
    'PeerLinks',
    'StoreFollower',
    'Tasks',
    'UpstreamDirectory',
    'UpstreamOwner',
    'fingerprint_booking',
    'fingerprint_search',
    'read_clock',
)

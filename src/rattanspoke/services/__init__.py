"""Services of a host; each finds the others through the kernel, by name."""

from ._bookings import HostBookings, fingerprint_booking
from ._catalog import HostCatalog
from ._claims import HostClaims
from ._cold import ColdUpstreams
from ._crashes import UpstreamCrashes
from ._directory import UpstreamDirectory
from ._entry import RequestEntry
from ._fleet import HostFleet
from ._follower import StoreFollower
from ._lifecycle import HostLifecycle
from ._lines import UpstreamChannels
from ._loads import HostLoads
from ._members import HostMembers
from ._news import HostNews
from ._organisations import HostOrganisations
from ._owner import UpstreamOwner
from ._peers import PeerLinks
from ._placements import HostPlacements
from ._readiness import HostReadiness
from ._record_statuses import HostRecordStatuses
from ._rules import HostRules
from ._searches import HostSearches, fingerprint_search
from ._seats import HostSeats
from ._state import HostSharedState
from ._suspects import HostSuspects
from ._tasks import Tasks, read_clock
from ._telemetry import HostCounters, HostTimeline
from ._watch import HostWatch

__all__ = (
    'ColdUpstreams',
    'HostBookings',
    'HostCatalog',
    'HostClaims',
    'HostCounters',
    'HostFleet',
    'HostLifecycle',
    'HostLoads',
    'HostMembers',
    'HostNews',
    'HostOrganisations',
    'HostPlacements',
    'HostReadiness',
    'HostRecordStatuses',
    'HostRules',
    'HostSearches',
    'HostSeats',
    'HostSharedState',
    'HostSuspects',
    'HostTimeline',
    'HostWatch',
    'PeerLinks',
    'RequestEntry',
    'StoreFollower',
    'Tasks',
    'UpstreamChannels',
    'UpstreamCrashes',
    'UpstreamDirectory',
    'UpstreamOwner',
    'fingerprint_booking',
    'fingerprint_search',
    'read_clock',
)

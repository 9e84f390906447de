"""Services of a host; each finds the others through the kernel, by name."""

from ._bookings import HostBookings, fingerprint_booking
from ._catalog import HostCatalog
from ._claims import ClaimKeeper
from ._cold import ColdUpstreams
from ._crashes import UpstreamCrashes
from ._directory import UpstreamDirectory
from ._entry import RequestEntry
from ._fleet import HostFleet
from ._follower import StoreFollower
from ._lifecycle import HostLifecycle
from ._lines import UpstreamChannels
from ._loads import HostUpstreamLoads
from ._members import HostMembers
from ._news import HostNews
from ._organisations import HostOrganisations
from ._owner import HostOwnedUpstreams
from ._peers import PeerLinks
from ._placements import HostPlacements
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
    'ColdUpstreams',
    'HostBookings',
    'HostCatalog',
    'HostCounters',
    'HostFleet',
    'HostLifecycle',
    'HostMembers',
    'HostNews',
    'HostOrganisations',
    'HostOwnedUpstreams',
    'HostPlacements',
    'HostReadiness',
    'HostRules',
    'HostSearches',
    'HostSeats',
    'HostSharedState',
    'HostSuspects',
    'HostTimeline',
    'HostUpstreamLoads',
    'HostVerdicts',
    'HostWatch',
    'PeerLinks',
    'RequestEntry',
    'StoreFollower',
    'Tasks',
    'UpstreamChannels',
    'UpstreamCrashes',
    'UpstreamDirectory',
    'fingerprint_booking',
    'fingerprint_search',
    'read_clock',
)

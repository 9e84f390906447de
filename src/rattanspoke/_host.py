"""Puts the services of one host together, in the order in which they start."""

from collections.abc import Iterable
from dataclasses import dataclass

from .contracts import (
    BOOKINGS,
    CATALOG,
    CLAIMS,
    CODEC,
    COUNTERS,
    IDENTITY,
    LIFECYCLE,
    LOADS,
    MEMBERS,
    ORGANISATIONS,
    OWNER,
    PEER_TRANSPORT,
    PEERS,
    PLATFORM,
    RECORD_STATUSES,
    SEARCHES,
    SEATS,
    SUSPECTS,
    TIMELINE,
    UPSTREAM_CLIENT,
    WATCH,
    Codec,
    Counters,
    Identity,
    PeerTransport,
    Platform,
    Timeline,
    UpstreamClient,
)
from .kernel import Kernel
from .model import HostId, HostState
from .services import (
    HostBookings,
    HostCatalog,
    HostClaims,
    HostLifecycle,
    HostLoads,
    HostMembers,
    HostOrganisations,
    HostRecordStatuses,
    HostSearches,
    HostSeats,
    HostSuspects,
    HostWatch,
    PeerLinks,
    UpstreamOwner,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """What a host is connected to."""

    codec: Codec
    counters: Counters
    timeline: Timeline
    platform: Platform
    peer_transport: PeerTransport
    upstream_client: UpstreamClient


def assemble_host(identity: Identity, ports: Ports, seed: int) -> Kernel:
    """Return a kernel with every service of a host; entering it starts them.

    Args:
        identity: which host it is.
        ports: what it is connected to.
        seed: of the random choices that spread load.
    """
    kernel = Kernel()

    def live_members() -> Iterable[HostId]:
        return kernel.find(MEMBERS).select(HostState.LIVE)

    _provide_ports(kernel, identity, ports)
    kernel.provide(LIFECYCLE, HostLifecycle())
    kernel.provide(CATALOG, HostCatalog(kernel))
    kernel.provide(PEERS, PeerLinks(kernel))
    kernel.provide(WATCH, HostWatch(kernel, seed))
    kernel.provide(MEMBERS, HostMembers(kernel))
    kernel.provide(RECORD_STATUSES, HostRecordStatuses(kernel))
    kernel.provide(ORGANISATIONS, HostOrganisations(kernel))
    kernel.provide(SUSPECTS, HostSuspects(kernel, live_members))
    kernel.provide(SEATS, HostSeats(kernel, seed))
    kernel.provide(OWNER, UpstreamOwner(kernel))
    kernel.provide(LOADS, HostLoads(kernel, seed))
    kernel.provide(CLAIMS, HostClaims(kernel))
    kernel.provide(SEARCHES, HostSearches(kernel, seed))
    kernel.provide(BOOKINGS, HostBookings(kernel))
    return kernel


def _provide_ports(kernel: Kernel, identity: Identity, ports: Ports) -> None:
    kernel.provide(IDENTITY, identity)
    kernel.provide(CODEC, ports.codec)
    kernel.provide(COUNTERS, ports.counters)
    kernel.provide(TIMELINE, ports.timeline)
    kernel.provide(PLATFORM, ports.platform)
    kernel.provide(PEER_TRANSPORT, ports.peer_transport)
    kernel.provide(UPSTREAM_CLIENT, ports.upstream_client)

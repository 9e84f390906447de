"""Assemble the services of a host, in the order in which they start."""

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
    MEMBERS,
    ORGANISATIONS,
    OWNED_UPSTREAMS,
    PEER_TRANSPORT,
    PEERS,
    PLATFORM,
    RECORD_STATUSES,
    SEARCHES,
    SEATS,
    SUPERVISOR,
    SUSPECTS,
    TIMELINE,
    UPSTREAM_CLIENT,
    UPSTREAM_LOADS,
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
    HostMembers,
    HostOrganisations,
    HostOwnedUpstreams,
    HostRecordStatuses,
    HostSearches,
    HostSeats,
    HostSupervisor,
    HostSuspects,
    HostUpstreamLoads,
    HostWatch,
    PeerLinks,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class HostAdapters:
    """Implementations of the interfaces to the outside that a host depends on.

    Attributes:
        codec: encodes and decodes the records on the platform.
        counters: collects the metrics.
        timeline: records events for operators.
        platform: the record store.
        peer_transport: opens and accepts streams between hosts.
        upstream_client: opens connections to upstreams.
    """

    codec: Codec
    counters: Counters
    timeline: Timeline
    platform: Platform
    peer_transport: PeerTransport
    upstream_client: UpstreamClient


def assemble_host(identity: Identity, adapters: HostAdapters, seed: int) -> Kernel:
    """Return a kernel with every service of a host; entering it starts them.

    The kernel starts the services in the order in which they are provided. A service
    can look up in its constructor only those that were provided before it.

    Args:
        identity: the address, incarnation and availability zone of the host.
        adapters: the implementations of the interfaces to the outside.
        seed: the seed of the random choices that spread load.
    """
    kernel = Kernel()

    def live_members() -> Iterable[HostId]:
        return kernel.find(MEMBERS).select(HostState.LIVE)

    _provide_adapters(kernel, identity, adapters)
    kernel.provide(SUPERVISOR, HostSupervisor(kernel))
    kernel.provide(LIFECYCLE, HostLifecycle())
    kernel.provide(CATALOG, HostCatalog(kernel))
    kernel.provide(PEERS, PeerLinks(kernel))
    kernel.provide(WATCH, HostWatch(kernel, seed))
    kernel.provide(MEMBERS, HostMembers(kernel))
    kernel.provide(RECORD_STATUSES, HostRecordStatuses(kernel))
    kernel.provide(ORGANISATIONS, HostOrganisations(kernel))
    kernel.provide(SUSPECTS, HostSuspects(kernel, live_members))
    kernel.provide(SEATS, HostSeats(kernel, seed))
    kernel.provide(OWNED_UPSTREAMS, HostOwnedUpstreams(kernel))
    kernel.provide(UPSTREAM_LOADS, HostUpstreamLoads(kernel, seed))
    kernel.provide(CLAIMS, HostClaims(kernel))
    kernel.provide(SEARCHES, HostSearches(kernel, seed))
    kernel.provide(BOOKINGS, HostBookings(kernel))
    return kernel


def _provide_adapters(
    kernel: Kernel, identity: Identity, adapters: HostAdapters
) -> None:
    kernel.provide(IDENTITY, identity)
    kernel.provide(CODEC, adapters.codec)
    kernel.provide(COUNTERS, adapters.counters)
    kernel.provide(TIMELINE, adapters.timeline)
    kernel.provide(PLATFORM, adapters.platform)
    kernel.provide(PEER_TRANSPORT, adapters.peer_transport)
    kernel.provide(UPSTREAM_CLIENT, adapters.upstream_client)

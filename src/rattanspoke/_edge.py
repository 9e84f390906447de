"""Puts together the services of a host that runs on the users' platform."""

from collections.abc import Iterable
from dataclasses import dataclass

from .contracts import (
    COLD,
    COUNTERS,
    CRASHES,
    DIRECTORY,
    ENTRY,
    FLEET,
    IDENTITY,
    LIFECYCLE,
    LINES,
    NEWS,
    OBJECT_STORE,
    PEER_TRANSPORT,
    PEERS,
    PLACEMENTS,
    READINESS,
    RULES,
    SHARED_STATE,
    STATE_CODEC,
    SUSPECTS,
    TIMELINE,
    UPSTREAM_LINES,
    Counters,
    EdgeRules,
    Identity,
    ObjectStore,
    PeerTransport,
    StateCodec,
    Timeline,
    UpstreamLines,
)
from .kernel import Kernel, ServiceKey
from .model import HostEntry, HostId
from .services import (
    ColdUpstreams,
    HostFleet,
    HostLifecycle,
    HostNews,
    HostPlacements,
    HostReadiness,
    HostRules,
    HostSharedState,
    HostSuspects,
    PeerLinks,
    RequestEntry,
    StoreFollower,
    UpstreamChannels,
    UpstreamCrashes,
    UpstreamDirectory,
)

FOLLOWER: ServiceKey[StoreFollower] = ServiceKey('store follower')


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgePorts:
    """What a host on the platform is connected to."""

    counters: Counters
    store: ObjectStore
    codec: StateCodec
    upstream_lines: UpstreamLines
    peer_transport: PeerTransport
    timeline: Timeline


def assemble_edge(
    identity: Identity, entry: HostEntry, ports: EdgePorts, rules: EdgeRules, seed: int
) -> Kernel:
    """Return a kernel with every service of a host; entering it starts them.

    Args:
        identity: which host it is.
        entry: how it makes itself known to other hosts.
        ports: what it is connected to.
        rules: bounds over all hosts.
        seed: of the random choices that spread load.
    """
    kernel = Kernel()

    def live_hosts() -> Iterable[HostId]:
        return kernel.find(FLEET).live_hosts()

    _provide_ports(kernel, identity, ports)
    kernel.provide(RULES, HostRules(kernel, rules))
    kernel.provide(LIFECYCLE, HostLifecycle())
    kernel.provide(PEERS, PeerLinks(kernel))
    kernel.provide(SHARED_STATE, HostSharedState(kernel))
    kernel.provide(DIRECTORY, UpstreamDirectory(kernel))
    kernel.provide(FLEET, HostFleet(kernel, entry))
    kernel.provide(NEWS, HostNews(kernel))
    kernel.provide(SUSPECTS, HostSuspects(kernel, live_hosts))
    kernel.provide(CRASHES, UpstreamCrashes(kernel))
    kernel.provide(COLD, ColdUpstreams(kernel))
    kernel.provide(LINES, UpstreamChannels(kernel))
    kernel.provide(PLACEMENTS, HostPlacements(kernel, seed))
    kernel.provide(READINESS, HostReadiness(kernel))
    kernel.provide(ENTRY, RequestEntry(kernel))
    kernel.provide(FOLLOWER, StoreFollower(kernel, seed))
    return kernel


def _provide_ports(kernel: Kernel, identity: Identity, ports: EdgePorts) -> None:
    kernel.provide(IDENTITY, identity)
    kernel.provide(COUNTERS, ports.counters)
    kernel.provide(OBJECT_STORE, ports.store)
    kernel.provide(STATE_CODEC, ports.codec)
    kernel.provide(UPSTREAM_LINES, ports.upstream_lines)
    kernel.provide(TIMELINE, ports.timeline)
    kernel.provide(PEER_TRANSPORT, ports.peer_transport)

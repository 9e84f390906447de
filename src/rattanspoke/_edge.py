"""Assemble the services of a host that runs on the users' platform."""

from collections.abc import Iterable
from dataclasses import dataclass

from .contracts import (
    CONNECTION_POOLS,
    COUNTERS,
    CRASH_GUARD,
    DIRECTORY,
    FLEET,
    IDENTITY,
    LIFECYCLE,
    OBJECT_STORE,
    PEER_TRANSPORT,
    PEERS,
    READINESS,
    REPLICA_SELECTION,
    REQUEST_HANDLER,
    RULES,
    SHARED_STATE,
    SLOW_START_ADMISSION,
    STATE_CODEC,
    STATE_REPLICATION,
    SUPERVISOR,
    SUSPECTS,
    TIMELINE,
    UPSTREAM_CONNECTOR,
    UPSTREAM_NOTICES,
    Counters,
    EdgeRules,
    Identity,
    ObjectStore,
    PeerTransport,
    StateCodec,
    Timeline,
    UpstreamConnector,
)
from .kernel import Kernel, ServiceKey
from .model import HostEntry, HostId
from .services import (
    HostConnectionPools,
    HostCrashGuard,
    HostFleet,
    HostLifecycle,
    HostReadiness,
    HostRegistry,
    HostReplicaSelection,
    HostRequestHandler,
    HostRules,
    HostSharedState,
    HostSlowStartAdmission,
    HostStateReplication,
    HostSupervisor,
    HostSuspectRecovery,
    HostSuspects,
    HostUpstreamNotices,
    PeerLinks,
    StoreWatcher,
    UpstreamDirectory,
)

SUSPECT_RECOVERY: ServiceKey[HostSuspectRecovery] = ServiceKey('suspect recovery')
HOST_REGISTRY: ServiceKey[HostRegistry] = ServiceKey('host registry')
STORE_WATCHER: ServiceKey[StoreWatcher] = ServiceKey('store watcher')


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgeAdapters:
    """Implementations of the interfaces to the outside that a host depends on.

    Attributes:
        counters: collects the metrics.
        store: the object store of the platform.
        codec: decodes the objects of the store.
        upstream_connector: opens connections to upstreams.
        peer_transport: opens and accepts streams between hosts.
        timeline: records events for operators.
    """

    counters: Counters
    store: ObjectStore
    codec: StateCodec
    upstream_connector: UpstreamConnector
    peer_transport: PeerTransport
    timeline: Timeline


def assemble_edge(
    identity: Identity,
    entry: HostEntry,
    adapters: EdgeAdapters,
    rules: EdgeRules,
    seed: int,
) -> Kernel:
    """Return a kernel with every service of a host; entering it starts them.

    The kernel starts the services in the order in which they are provided. A service
    can look up in its constructor only those that were provided before it.

    Args:
        identity: the address, incarnation and availability zone of the host.
        entry: the entry in the platform's store under which other hosts find it.
        adapters: the implementations of the interfaces to the outside.
        rules: limits that apply to all hosts together.
        seed: the seed of the random choices that spread load.
    """
    kernel = Kernel()

    _provide_adapters(kernel, identity, adapters)
    _provide_foundations(kernel, rules)
    kernel.provide(PEERS, PeerLinks(kernel))
    kernel.provide(SHARED_STATE, HostSharedState(kernel))
    kernel.provide(DIRECTORY, UpstreamDirectory(kernel))
    kernel.provide(FLEET, HostFleet(kernel))
    kernel.provide(HOST_REGISTRY, HostRegistry(kernel, entry))
    kernel.provide(STATE_REPLICATION, HostStateReplication(kernel))
    _provide_crash_protection(kernel)
    kernel.provide(SLOW_START_ADMISSION, HostSlowStartAdmission(kernel))
    kernel.provide(UPSTREAM_NOTICES, HostUpstreamNotices(kernel))
    kernel.provide(CONNECTION_POOLS, HostConnectionPools(kernel))
    kernel.provide(REPLICA_SELECTION, HostReplicaSelection(kernel, seed))
    kernel.provide(READINESS, HostReadiness(kernel))
    kernel.provide(REQUEST_HANDLER, HostRequestHandler(kernel))
    kernel.provide(STORE_WATCHER, StoreWatcher(kernel, seed))
    return kernel


def _provide_foundations(kernel: Kernel, rules: EdgeRules) -> None:
    """Provide the services that depend on no other and that most others use."""
    kernel.provide(SUPERVISOR, HostSupervisor(kernel))
    kernel.provide(RULES, HostRules(kernel, rules))
    kernel.provide(LIFECYCLE, HostLifecycle())


def _provide_crash_protection(kernel: Kernel) -> None:
    """Provide the services that find and refuse requests that crash upstreams."""

    def neighbours() -> Iterable[HostId]:
        return kernel.find(FLEET).neighbours()

    kernel.provide(SUSPECTS, HostSuspects(kernel, neighbours, is_forwarding=True))
    kernel.provide(SUSPECT_RECOVERY, HostSuspectRecovery(kernel))
    kernel.provide(CRASH_GUARD, HostCrashGuard(kernel))


def _provide_adapters(
    kernel: Kernel, identity: Identity, adapters: EdgeAdapters
) -> None:
    kernel.provide(IDENTITY, identity)
    kernel.provide(COUNTERS, adapters.counters)
    kernel.provide(OBJECT_STORE, adapters.store)
    kernel.provide(STATE_CODEC, adapters.codec)
    kernel.provide(UPSTREAM_CONNECTOR, adapters.upstream_connector)
    kernel.provide(TIMELINE, adapters.timeline)
    kernel.provide(PEER_TRANSPORT, adapters.peer_transport)

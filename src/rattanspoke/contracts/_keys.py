"""Keys of the services and topics, each with the type that it stands for."""

from ..kernel import ServiceKey, Topic
from ..model import (
    BrokenCall,
    EdgeHeartbeat,
    HostId,
    Incarnation,
    RecordChange,
    StateChange,
    UpstreamId,
)
from ._edges import (
    ConnectionPools,
    CrashGuard,
    Directory,
    EdgeRules,
    Fleet,
    NoticeRegistry,
    ObjectStore,
    Readiness,
    ReplicaSelection,
    RequestHandler,
    Rules,
    SharedState,
    SlowStartAdmission,
    StateCodec,
    StateReplication,
    UpstreamConnector,
)
from ._ports import Codec, PeerTransport, Platform, UpstreamClient
from ._services import (
    Bookings,
    Catalog,
    Claims,
    Counters,
    Identity,
    Lifecycle,
    Members,
    Organisations,
    OwnedUpstreams,
    Peers,
    RecordStatuses,
    Searches,
    Seats,
    Suspects,
    Timeline,
    UpstreamLoads,
    Watch,
)

IDENTITY: ServiceKey[Identity] = ServiceKey('identity')
COUNTERS: ServiceKey[Counters] = ServiceKey('counters')
TIMELINE: ServiceKey[Timeline] = ServiceKey('timeline')
LIFECYCLE: ServiceKey[Lifecycle] = ServiceKey('lifecycle')
CODEC: ServiceKey[Codec] = ServiceKey('codec')
PLATFORM: ServiceKey[Platform] = ServiceKey('platform')
PEER_TRANSPORT: ServiceKey[PeerTransport] = ServiceKey('peer transport')
UPSTREAM_CLIENT: ServiceKey[UpstreamClient] = ServiceKey('upstream client')
CATALOG: ServiceKey[Catalog] = ServiceKey('catalog')
PEERS: ServiceKey[Peers] = ServiceKey('peers')
MEMBERS: ServiceKey[Members] = ServiceKey('members')
WATCH: ServiceKey[Watch] = ServiceKey('watch')
RECORD_STATUSES: ServiceKey[RecordStatuses] = ServiceKey('record statuses')
SEATS: ServiceKey[Seats] = ServiceKey('seats')
SUSPECTS: ServiceKey[Suspects] = ServiceKey('suspects')
CRASH_GUARD: ServiceKey[CrashGuard] = ServiceKey('crash guard')
OWNED_UPSTREAMS: ServiceKey[OwnedUpstreams] = ServiceKey('owned upstreams')
UPSTREAM_LOADS: ServiceKey[UpstreamLoads] = ServiceKey('upstream loads')
ORGANISATIONS: ServiceKey[Organisations] = ServiceKey('organisations')
SEARCHES: ServiceKey[Searches] = ServiceKey('searches')
CLAIMS: ServiceKey[Claims] = ServiceKey('claims')
BOOKINGS: ServiceKey[Bookings] = ServiceKey('bookings')

OBJECT_STORE: ServiceKey[ObjectStore] = ServiceKey('object store')
STATE_CODEC: ServiceKey[StateCodec] = ServiceKey('state codec')
UPSTREAM_CONNECTOR: ServiceKey[UpstreamConnector] = ServiceKey('upstream connector')
SHARED_STATE: ServiceKey[SharedState] = ServiceKey('shared state')
DIRECTORY: ServiceKey[Directory] = ServiceKey('directory')
RULES: ServiceKey[Rules] = ServiceKey('rules')
FLEET: ServiceKey[Fleet] = ServiceKey('fleet')
SLOW_START_ADMISSION: ServiceKey[SlowStartAdmission] = ServiceKey(
    'slow start admission'
)
UPSTREAM_NOTICES: ServiceKey[NoticeRegistry] = ServiceKey('upstream notices')
CONNECTION_POOLS: ServiceKey[ConnectionPools] = ServiceKey('connection pools')
STATE_REPLICATION: ServiceKey[StateReplication] = ServiceKey('state replication')
REPLICA_SELECTION: ServiceKey[ReplicaSelection] = ServiceKey('replica selection')
READINESS: ServiceKey[Readiness] = ServiceKey('readiness')
REQUEST_HANDLER: ServiceKey[RequestHandler] = ServiceKey('request handler')

RULES_CHANGED: Topic[EdgeRules] = Topic('rules changed')
HEARTBEAT_RECEIVED: Topic[EdgeHeartbeat] = Topic('heartbeat received')
UPSTREAM_GONE: Topic[UpstreamId] = Topic('upstream gone')
CALL_BROKEN: Topic[BrokenCall] = Topic('call broken off')
UPSTREAM_REFUSED: Topic[Incarnation] = Topic('upstream refuses connections')
STATE_CHANGED: Topic[StateChange] = Topic('state changed')
RECORD_CHANGED: Topic[RecordChange] = Topic('record changed')
MEMBER_CHANGED: Topic[HostId] = Topic('member changed')
SEATS_CHANGED: Topic[UpstreamId] = Topic('seats changed')

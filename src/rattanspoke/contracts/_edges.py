"""Protocols of the services of a host on the users' platform."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from types import TracebackType
from typing import Protocol, Self

from ..model import (
    CallerAnswer,
    CallerRequest,
    CallId,
    DesiredState,
    ExtraSend,
    HostEntry,
    HostId,
    PendingRequest,
    Reason,
    Registration,
    Revision,
    Route,
    Seconds,
    ServiceId,
    StateContent,
    StateKind,
    StoredObject,
    SuspicionLevel,
    UpstreamError,
    UpstreamId,
    UpstreamReply,
    ZoneId,
)
from ._ports import ObjectList


class ObjectStore(Protocol):
    """Client of the platform's object store; objects have a kind and a name.

    Every method raises PlatformUnavailable when the call failed and is certain to have
    had no effect.
    """

    async def list_kind(self, kind: str, *, may_be_stale: bool = False) -> ObjectList:
        """Return all objects of a kind and the revision of this snapshot.

        Args:
            may_be_stale: whether the snapshot may be some seconds old, which is cheaper
                for the store.
        """

    async def watch_kind(self, kind: str, after: Revision, wait: Seconds) -> ObjectList:
        """Return the changes of a kind after a revision, by a long poll.

        Args:
            after: the revision up to which the caller has every change.
            wait: seconds for which the poll stays open while nothing changes.

        Raises:
            PlatformHistoryGone: when the store no longer keeps the changes since that
                revision.
        """

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

    async def write(
        self, kind: str, name: str, content: bytes, expected: Revision
    ) -> Revision:
        """Write an object by compare-and-set and return its new revision.

        Args:
            expected: the revision that the object must have in the store; zero if it
                must not exist.

        Raises:
            PlatformConflict: when the object has another revision.
            PlatformReplyLost: when the write may have taken effect.
        """

    async def delete(self, kind: str, name: str, expected: Revision) -> None:
        """Delete an object by compare-and-set; raises the same errors as write."""


class StateCodec(Protocol):
    """Codec for the contents of stored objects."""

    def decode_state(self, kind: StateKind, stored: StoredObject) -> StateContent:
        """Decode an object of the shared state; raise RecordError if it is invalid."""

    def decode_host(self, stored: StoredObject) -> HostEntry:
        """Decode the entry of a host; raise RecordError if it is invalid."""

    def encode_host(self, entry: HostEntry) -> bytes:
        """Encode the entry of a host."""


class UpstreamHttpConnection(Protocol):
    """One open connection to an upstream, for one request at a time."""

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another request."""

    @property
    def keep_alive_timeout(self) -> Seconds | None:
        """Seconds after which the upstream closes it when idle; None if not sent."""

    async def exchange(
        self, request: CallerRequest, upstream: UpstreamId, budget: Seconds
    ) -> UpstreamReply:
        """Send a request and return the complete reply.

        Args:
            budget: seconds until the request's deadline.

        Raises:
            UpstreamError: when there is no complete reply; its outcome says whether
                the upstream ran the request.
        """

    def abort(self) -> None:
        """Close the connection at once, including any exchange in flight."""

    async def __aenter__(self) -> Self:
        """Return the open connection."""

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection."""


class UpstreamConnector(Protocol):
    """Opens connections to upstreams."""

    async def open(self, address: str, limit: Seconds) -> UpstreamHttpConnection:
        """Open a connection.

        Args:
            address: host name and port of the upstream.
            limit: seconds after which the attempt fails.

        Raises:
            UpstreamError: when it cannot be opened; nothing was sent.
        """


class SharedState(Protocol):
    """This host's replica of the state that all hosts share.

    It holds the desired state, the registrations of upstreams and the evacuated zones.
    """

    @property
    def desired(self) -> DesiredState | None:
        """The newest desired state, None until one was received."""

    @property
    def is_read(self) -> bool:
        """Whether every kind was read at least once and a desired state exists."""

    @property
    def is_complete(self) -> bool:
        """Whether the state was read and has been current since the start.

        A host that has just started may get the state from a peer that is behind. It
        would use upstreams again that have left since.
        """

    def note_current(self) -> None:
        """Record that the state that was read is that of the store, not an old copy."""

    async def await_complete(self, limit: Seconds) -> None:
        """Wait until the state is complete, at most for the seconds given as limit."""

    def revision(self, kind: StateKind) -> Revision:
        """Return the revision up to which this host has every change of a kind."""

    def select_after(
        self, kind: StateKind, revision: Revision
    ) -> tuple[StoredObject, ...]:
        """Return the objects of a kind that changed after a revision.

        Deleted objects are returned as tombstones.
        """

    def adopt_list(self, kind: StateKind, listing: ObjectList) -> None:
        """Apply a complete listing of a kind; objects missing in it were deleted."""

    def adopt_changes(
        self, kind: StateKind, after: Revision, changes: ObjectList
    ) -> bool:
        """Apply the changes of a kind after a revision.

        Returns:
            False if this host lacks changes before that revision, so that its own
            revision of the kind stays as it is.
        """


class Directory(Protocol):
    """Directory of the upstreams that may receive requests."""

    def replicas(self, service: ServiceId) -> tuple[Registration, ...]:
        """Return the upstreams of a service that may receive new requests."""


class Fleet(Protocol):
    """Membership of the fleet of hosts.

    A host is live while its heartbeats arrive, and known until it is found gone. Known
    hosts may be sending requests to upstreams, so limits that hold for all hosts
    together are divided among them.
    """

    @property
    def known_host_count(self) -> int:
        """Number of known hosts, including this one."""

    @property
    def is_isolated(self) -> bool:
        """Whether other zones have known hosts, but none of those is live."""

    @property
    def is_watcher(self) -> bool:
        """Whether this host is to watch the store for the others."""

    def live_hosts(self) -> dict[HostId, ZoneId]:
        """Return the live hosts that this host hears and that are not shutting down.

        They include this host. A host that is no relay hears only relays of its zone.
        """

    def known_hosts(self) -> Mapping[HostId, ZoneId]:
        """Return the known hosts with their zones, including this one."""

    def add_hosts(self, hosts: Mapping[HostId, ZoneId]) -> None:
        """Add hosts that were found in the store or listed by another host."""

    def contact(self, host: HostId) -> None:
        """Send a heartbeat to a host, which becomes known if it answers."""

    async def ask_for_hosts(self) -> bool:
        """Learn of all hosts from a seed; return whether one answered."""

    def neighbours(self) -> tuple[HostId, ...]:
        """Return the hosts that this host exchanges heartbeats with."""

    def followers(self) -> tuple[HostId, ...]:
        """Return the live hosts that want the state updates of this host."""

    def heartbeat_interval(self) -> Seconds:
        """Return the seconds between heartbeats to one host."""

    def announce_leaving(self) -> None:
        """Send heartbeats at once, which say that this host is shutting down."""


class StateReplication(Protocol):
    """Replication of the shared state between hosts."""

    def measure_age(self) -> Seconds:
        """Return the seconds since this host or a peer last had a reply of the store.

        Replies to a peer count from the age that its heartbeats carry.
        """

    @property
    def is_store_failing(self) -> bool:
        """Whether this host's last call to the store failed, for any kind of state."""

    def note_store_failure(self, kind: StateKind) -> None:
        """Record that a call to the store for a kind of state failed."""

    def can_rely_on_peers(self) -> bool:
        """Whether other hosts watch the store and their state updates arrive here."""

    def handle_listing(self, kind: StateKind, listing: ObjectList) -> None:
        """Apply a complete listing that this host read from the store."""

    def handle_changes(
        self, kind: StateKind, after: Revision, changes: ObjectList
    ) -> None:
        """Apply changes that this host read from the store and replicate them."""


class NoticeRegistry(Protocol):
    """What upstreams announce about themselves in their replies to this host."""

    def note_reply(self, target: Registration, reply: UpstreamReply) -> None:
        """Record what a reply says about the upstream that sent it."""

    def select(self, targets: Iterable[Registration]) -> tuple[Registration, ...]:
        """Return the upstreams of a service that are not leaving.

        If all of them are, those that can still serve a request.
        """

    def measure_quiet(self, target: Registration) -> Seconds:
        """Return the seconds for which an upstream still wants no requests."""

    def find_objection(self, target: Registration) -> Reason | None:
        """Return why a request that was chosen an upstream must not be sent now."""


class ConnectionPools(Protocol):
    """Pools of connections to upstreams, with a queue of requests for each."""

    async def send(
        self, request: CallerRequest, route: Route, target: Registration
    ) -> UpstreamReply:
        """Send a request to one upstream and return the complete reply.

        Raises:
            UpstreamError: when there is no complete reply; its outcome says whether
                the upstream ran the request.
        """


@dataclass(frozen=True, slots=True)
class RetryBudgetRule:
    """Limit on the extra sends (hedges and retries) of all hosts to a service.

    Attributes:
        ratio: extra sends allowed for each request to the service.
        slack: extra sends allowed in a window in addition to the ratio.
        starts_full: whether retry budgets start at full capacity, because no earlier
            incarnation of any host can have withdrawn from them in this window.
        window: seconds of a window, of which any is counted.
    """

    ratio: float
    slack: float
    starts_full: bool = True
    window: Seconds = Seconds(10)


@dataclass(frozen=True, slots=True)
class SlowStartRule:
    """Limit on the requests of all hosts to a cold upstream in any second.

    Attributes:
        factor: multiple of the rate that the service is configured with.
        slack: requests allowed in addition to that.
    """

    factor: float
    slack: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgeRules:
    """Rules of the platform that every host applies.

    Attributes:
        retry_budget: limit on the extra sends (hedges and retries) to a service.
        slow_start: limit on the requests to a cold upstream.
        drain_time: seconds for which draining upstreams may receive requests.
        seeds: hosts from which this host learns of the others while the store does
            not answer.
        is_first_start: whether the whole system starts for the first time, so that no
            caller waits yet.
        regions: the region of each availability zone.
    """

    retry_budget: RetryBudgetRule
    slow_start: SlowStartRule
    drain_time: Seconds
    seeds: tuple[HostId, ...] = ()
    is_first_start: bool = False
    regions: Mapping[ZoneId, str] = field(default_factory=dict)


class Rules(Protocol):
    """Holder of the current rules, which a reload of the settings may replace."""

    @property
    def current(self) -> EdgeRules:
        """The rules that apply now."""

    def replace(self, rules: EdgeRules) -> None:
        """Replace the rules and publish the change on the bus."""


class SlowStartAdmission(Protocol):
    """Admission of requests to cold upstreams during their slow start."""

    def admits(self, upstream: UpstreamId) -> bool:
        """Whether this host may send an upstream another request now."""

    def note_sent(self, upstream: UpstreamId) -> None:
        """Count a request that is about to be sent against the upstream's limit."""


class ReplicaSelection(Protocol):
    """Replica selection, and the retry budgets for hedges and retries."""

    def choose_hedge_target(
        self, service: ServiceId, route: Route, tried: Collection[UpstreamId]
    ) -> Registration | None:
        """Return an upstream for a hedge, None when none has spare capacity."""

    async def await_capacity(
        self, service: ServiceId, pending: PendingRequest, tried: Collection[UpstreamId]
    ) -> Registration | None:
        """Wait for an upstream with free capacity and return it.

        Returns:
            None when no upstream is expected to have capacity before the request has
            to give up.
        """

    def estimate_retry_after(
        self, service: ServiceId, pending: PendingRequest
    ) -> Seconds:
        """Return the seconds after which a refused caller should retry."""

    def estimate_hedge_delay(self, service: ServiceId, route: Route) -> Seconds:
        """Return the seconds without a reply after which to send a hedge."""

    def count_request(self, service: ServiceId) -> None:
        """Count a caller's request, which deposits into the service's retry budget."""

    def withdraw_extra_send(self, service: ServiceId, kind: ExtraSend) -> bool:
        """Withdraw one extra send from a service's retry budget; False if denied."""

    def note_sent(self, target: Registration) -> CallId:
        """Count a request that is about to be sent and return its call id."""

    def note_reply(
        self, target: Registration, call: CallId, route: Route, reply: UpstreamReply
    ) -> None:
        """Update the upstream's statistics after a complete reply."""

    def note_failure(
        self, target: Registration, call: CallId, route: Route, error: UpstreamError
    ) -> None:
        """Update the upstream's statistics after a request without a complete reply."""

    def note_dropped(self, target: Registration, call: CallId, route: Route) -> None:
        """Update the upstream's statistics after a cancelled request."""


class CrashGuard(Protocol):
    """Detection of queries of death: requests that crash the upstreams they run on."""

    def classify_request(self, request: CallerRequest) -> SuspicionLevel:
        """Return whether a request is clear, suspect or blocked."""

    def note_success(self, request: CallerRequest) -> None:
        """Clear a suspect request after every upstream that it was sent to ran it."""


class Readiness(Protocol):
    """Readiness of this host, as the load balancer sees it."""

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this host."""

    def should_close_connections(self) -> bool:
        """Whether replies ask callers to close their connection to this host."""

    def note_search(self, *, is_failed: bool) -> None:
        """Count a finished search, as failed when too few shards were covered."""


class RequestHandler(Protocol):
    """Handler of callers' requests."""

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Process a request and return the answer for its caller."""

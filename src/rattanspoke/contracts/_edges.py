"""Protocols of what serves callers on the users' platform."""

from collections.abc import Collection
from dataclasses import dataclass
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
    """The platform's store of objects by kind and name.

    Every method raises PlatformUnavailable when the call surely had no effect.
    """

    async def list_kind(self, kind: str) -> ObjectList:
        """Return every object of a kind."""

    async def watch_kind(self, kind: str, after: Revision, wait: Seconds) -> ObjectList:
        """Return the changes of a kind after a revision, waiting for the first.

        Raises:
            PlatformHistoryGone: when the store no longer keeps that history.
        """

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None when it does not exist."""

    async def write(
        self, kind: str, name: str, content: bytes, expected: Revision
    ) -> Revision:
        """Write an object if its revision is the expected one; zero means absent.

        Raises:
            PlatformConflict: when the revision is another.
            PlatformReplyLost: when the write may have taken effect.
        """

    async def delete(self, kind: str, name: str, expected: Revision) -> None:
        """Delete an object if its revision is the expected one; raises as write."""


class StateCodec(Protocol):
    """Turns objects of the store into values and back."""

    def decode_state(self, kind: StateKind, stored: StoredObject) -> StateContent:
        """Return what an object says; raises RecordError."""

    def decode_host(self, stored: StoredObject) -> HostEntry:
        """Return a host's entry; raises RecordError."""

    def encode_host(self, entry: HostEntry) -> bytes:
        """Return the content that decodes to a host's entry."""


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
    """What this host knows of the state that every host follows."""

    @property
    def desired(self) -> DesiredState | None:
        """The newest desired state, None while none is known."""

    @property
    def is_complete(self) -> bool:
        """Whether every kind of state was read at least once."""

    async def await_complete(self, limit: Seconds) -> None:
        """Wait until everything was read once, but no longer than a limit."""

    def revision(self, kind: StateKind) -> Revision:
        """Return the revision up to which a kind is known."""

    def select_after(
        self, kind: StateKind, revision: Revision
    ) -> tuple[StoredObject, ...]:
        """Return what changed of a kind after a revision, deletions included."""

    def adopt_list(self, kind: StateKind, listing: ObjectList) -> None:
        """Take a complete listing of a kind; what it lacks was deleted."""

    def adopt_changes(
        self, kind: StateKind, after: Revision, changes: ObjectList
    ) -> bool:
        """Take the changes after a revision; False if some before it are unknown."""


class Directory(Protocol):
    """Which upstreams may be sent work now."""

    def replicas(self, service: ServiceId) -> tuple[Registration, ...]:
        """Return the upstreams of a service that may be sent new work."""


class Fleet(Protocol):
    """The hosts of the tier that are alive."""

    @property
    def known_host_count(self) -> int:
        """Hosts that may be sending work to upstreams, this one included."""

    @property
    def is_isolated(self) -> bool:
        """Whether no host of any other zone is heard, though some exist."""

    def live_hosts(self) -> dict[HostId, ZoneId]:
        """Return the hosts that were heard lately, this one included."""

    def hosts_reaching_store(self) -> dict[HostId, ZoneId]:
        """Return the live hosts that the store has not failed lately."""

    def known_hosts(self) -> tuple[HostId, ...]:
        """Return the hosts that may be sending work, this one included."""

    def links(self) -> tuple[HostId, ...]:
        """Return the hosts that this one exchanges pulses with."""

    def heartbeat_interval(self) -> Seconds:
        """Return the seconds between pulses to one host."""

    def announce_leaving(self) -> None:
        """Tell the other hosts at once that this one is leaving."""


class StateReplication(Protocol):
    """The store's news, as this host heard them or peers passed them on."""

    def measure_age(self) -> Seconds:
        """Return the seconds since the store was heard, here or through peers."""

    @property
    def is_store_failing(self) -> bool:
        """Whether the store failed this host when it was last asked."""

    def note_store_failure(self, kind: StateKind) -> None:
        """Count a call to the store that failed."""

    def can_rely_on_peers(self) -> bool:
        """Whether other hosts wait on the store, and their news arrive here."""

    def handle_listing(self, kind: StateKind, listing: ObjectList) -> None:
        """Take a complete listing from the store."""

    def handle_changes(
        self, kind: StateKind, after: Revision, changes: ObjectList
    ) -> None:
        """Take changes from the store."""


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
    """

    ratio: float
    slack: float
    starts_full: bool = True


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
    """What the platform tells of other hosts, and lets all of them together do.

    Attributes:
        extra: bounds on extra sends to a service.
        cold: bounds on what cold upstreams are sent.
        drain_time: seconds for which upstreams that leave may be sent work.
        seeds: hosts that may know the others while the store does not answer.
    """

    retry_budget: RetryBudgetRule
    slow_start: SlowStartRule
    drain_time: Seconds
    seeds: tuple[HostId, ...] = ()


class Rules(Protocol):
    """The rules in force, which the platform may change while a host runs."""

    @property
    def current(self) -> EdgeRules:
        """The rules that hold now."""

    def replace(self, rules: EdgeRules) -> None:
        """Put other rules in force, and announce them."""


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

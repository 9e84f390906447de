"""Tier membership from heartbeats between hosts and the platform's host list."""

import asyncio
from typing import NoReturn, Self

from ..contracts import (
    CATALOG,
    COUNTERS,
    IDENTITY,
    LIFECYCLE,
    MEMBER_CHANGED,
    PEERS,
    PLATFORM,
    TIMELINE,
    WATCH,
    Metric,
    Respond,
)
from ..decisions import SELF_FENCE_AFTER, Membership
from ..kernel import Kernel
from ..model import (
    EventKind,
    Heartbeat,
    HostId,
    HostState,
    Message,
    PlatformError,
    Reason,
    Seconds,
    WorkError,
    ZoneId,
)
from ._tasks import TaskOwner, read_clock

WATCHER_LIST_INTERVAL = Seconds(2)  # between reads of the host list by a watcher
IDLE_LIST_INTERVAL = Seconds(30)  # between its reads by every other host


class HostMembers(TaskOwner):
    """Send heartbeats, read the platform's list, and track every other host's state."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._counters = kernel.find(COUNTERS)
        self._timeline = kernel.find(TIMELINE)
        self._lifecycle = kernel.find(LIFECYCLE)
        self._catalog = kernel.find(CATALOG)
        self._peers = kernel.find(PEERS)
        self._membership = Membership(self._identity.host, self._identity.zone)
        self._states: dict[HostId, HostState] = {}
        self._listed_at = -IDLE_LIST_INTERVAL

    def find_state(self, host: HostId) -> HostState:
        """Return the last determined state of a host, SILENT for an unknown one.

        States are determined when a heartbeat arrives and once in each interval.
        """
        if host == self._identity.host:
            return HostState.LIVE
        return self._states.get(host, HostState.SILENT)

    def select(self, state: HostState, zone: ZoneId | None = None) -> frozenset[HostId]:
        """Return the hosts in a state, of one zone or of all."""
        hosts = self._membership.list_hosts(zone)
        return frozenset(host for host in hosts if self.find_state(host) is state)

    def states(self) -> dict[HostId, HostState]:
        """Return the last determined state of every other host."""
        return dict(self._states)

    def is_fenced(self) -> bool:
        """Return whether this host was isolated for too long to use its seats.

        Other hosts may take over the seats of a host that is isolated from its zone
        and dropped from the platform's list. It therefore stops using them before
        that, when it has had no heartbeat from its zone and no reply of its own from
        the platform for longer than the self-fencing time.
        """
        isolation = self._membership.measure_isolation(Seconds(read_clock()))
        if isolation <= SELF_FENCE_AFTER:
            return False
        return self._kernel.find(WATCH).measure_platform_silence() > SELF_FENCE_AFTER

    async def __aenter__(self) -> Self:
        self._peers.serve_inline(Heartbeat, self._answer_heartbeat)
        self._supervise('heartbeats', self._send_heartbeats)
        self._supervise('host list', self._read_list)
        return self

    def announce_leaving(self) -> None:
        """Announce to all hosts, in a heartbeat sent now, that this one shuts down."""
        heartbeat = self._make_heartbeat()
        for host in self._membership.list_known_hosts():
            self._send(host, heartbeat)

    async def _send_heartbeats(self) -> NoReturn:
        while True:
            heartbeat = self._make_heartbeat()
            for host in self._membership.list_targets(Seconds(read_clock())):
                self._send(host, heartbeat)
            self._announce_changes(self._membership.list_known_hosts())
            await asyncio.sleep(self._membership.interval())

    def _send(self, host: HostId, heartbeat: Heartbeat) -> None:
        def note(reply: Message | WorkError) -> None:
            match reply:
                case Heartbeat():
                    self._note_heartbeat(reply, host)
                case WorkError(reason=Reason.PEER_REFUSED):
                    self._note_refused(host)

        self._peers.post(host, heartbeat, note)

    async def _read_list(self) -> NoReturn:
        platform = self._kernel.find(PLATFORM)
        while True:
            now = read_clock()
            is_watcher = self._kernel.find(WATCH).holds_watch
            interval = WATCHER_LIST_INTERVAL if is_watcher else IDLE_LIST_INTERVAL
            if now - self._listed_at >= interval:
                self._listed_at = Seconds(now)
                try:
                    listed = await platform.list_hosts()
                except PlatformError:
                    self._counters.add(Metric.PLATFORM_FAILURES, 'list hosts')
                else:
                    self._membership.note_list(listed, Seconds(read_clock()))
            for host in self._membership.remove_departed(Seconds(now)):
                self._states.pop(host, None)
            await asyncio.sleep(WATCHER_LIST_INTERVAL)

    def _answer_heartbeat(
        self, heartbeat: Heartbeat, sender: HostId, respond: Respond
    ) -> None:
        respond(self._make_heartbeat())
        self._note_heartbeat(heartbeat, sender)

    def _note_heartbeat(self, heartbeat: Heartbeat, sender: HostId) -> None:
        self._membership.note_heartbeat(
            sender,
            heartbeat.zone,
            heartbeat.incarnation,
            Seconds(read_clock()),
            leaving=heartbeat.leaving,
        )
        self._announce_changes([sender])
        self._kernel.find(WATCH).note_peer(
            sender,
            heartbeat.watermark,
            holds_watch=heartbeat.holds_watch,
            age=heartbeat.platform_age,
        )

    def _note_refused(self, host: HostId) -> None:
        self._membership.note_refused(host)
        self._states[host] = HostState.DEAD
        self._kernel.bus.publish(MEMBER_CHANGED, host)

    def _announce_changes(self, hosts: list[HostId]) -> None:
        now = Seconds(read_clock())
        for host in hosts:
            state = self._membership.find_state(host, now)
            if self._states.get(host) is not state:
                self._states[host] = state
                self._counters.add(Metric.MEMBERS_CHANGED, state.value)
                self._timeline.note(EventKind.MEMBERSHIP, f'{host} is {state.value}')
                self._kernel.bus.publish(MEMBER_CHANGED, host)

    def _make_heartbeat(self) -> Heartbeat:
        watch = self._kernel.find(WATCH)
        return Heartbeat(
            incarnation=self._identity.incarnation,
            zone=self._identity.zone,
            watermark=self._catalog.watermark,
            leaving=self._lifecycle.is_leaving,
            holds_watch=watch.holds_watch,
            platform_age=watch.measure_age(),
        )

"""Replication of the shared state between hosts.

A watcher pushes each change that it reads from the store to the hosts that follow it,
and those that did not have it yet push it on to their own followers. A host that missed
a change detects from the revisions in a heartbeat that the sender is ahead, and pulls
the changes from it.
"""

import asyncio
from typing import Self

import structlog

from ..contracts import (
    FLEET,
    HEARTBEAT_RECEIVED,
    IDENTITY,
    PEERS,
    SHARED_STATE,
    ObjectList,
)
from ..decisions import choose_stale_age
from ..kernel import Kernel
from ..model import (
    NO_REVISION,
    Acknowledgement,
    EdgeHeartbeat,
    HostId,
    Message,
    PeerError,
    Revision,
    Seconds,
    StateKind,
    StatePull,
    StateUpdate,
)
from ._tasks import TaskOwner, ignore_reply, read_clock

PULL_TIMEOUT = Seconds(1)
# Time after which a host that has started uses a state that may be behind: neither the
# store nor a peer that hears from it answers.
CURRENT_STATE_WAIT = Seconds(1.5)
CURRENT_STATE_CHECK = Seconds(0.1)
LONG_AGO = Seconds(1e6)  # age that stands for a reply that was never received


class HostStateReplication(TaskOwner):
    """Push state updates to other hosts, and pull those that this host missed."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._peers = kernel.find(PEERS)
        self._state = kernel.find(SHARED_STATE)
        self._fleet = kernel.find(FLEET)
        self._log = structlog.get_logger()
        self._last_replies: dict[StateKind, float] = {}
        self._last_peer_reply = -LONG_AGO
        # Revision from which this host has the deletions of a kind. A snapshot contains
        # no tombstones, so a host that pulls from an earlier revision gets a snapshot.
        self._history_starts: dict[StateKind, Revision] = {}
        self._pulling: set[StateKind] = set()
        self._announced: dict[StateKind, Revision] = {}  # newest in any heartbeat
        self._failing_kinds: set[StateKind] = set()
        kernel.bus.subscribe(HEARTBEAT_RECEIVED, self._note_heartbeat)

    def measure_age(self) -> Seconds:
        """Return the seconds since this host or a peer last had a reply of the store.

        Replies to this host count once it has had one for every kind of state, and then
        from the kind whose last reply is the oldest.
        """
        own = -LONG_AGO
        if len(self._last_replies) == len(StateKind):
            own = Seconds(min(self._last_replies.values()))
        return Seconds(read_clock() - max(own, self._last_peer_reply))

    @property
    def is_store_failing(self) -> bool:
        """Whether this host's last call to the store failed, for any kind of state."""
        return bool(self._failing_kinds)

    def note_store_failure(self, kind: StateKind) -> None:
        """Record that a call to the store for a kind of state failed."""
        self._failing_kinds.add(kind)

    def can_rely_on_peers(self) -> bool:
        """Whether other hosts watch the store and their state updates arrive here."""
        if not self._state.is_complete or self._is_stale():
            return False
        return not self._fleet.is_watcher

    def handle_listing(self, kind: StateKind, listing: ObjectList) -> None:
        """Apply a complete listing that this host read from the store.

        It is not pushed; peers that lack it pull it.
        """
        self._note_reply(kind)
        before = self._state.revision(kind)
        self._history_starts[kind] = max(
            self._history_starts.get(kind, NO_REVISION),
            listing.revision if before == NO_REVISION else NO_REVISION,
        )
        self._state.adopt_list(kind, listing)
        self._note_if_current()
        revision = self._state.revision(kind)
        self._log.info('listed', kind=kind.value, revision=revision)

    def handle_changes(
        self, kind: StateKind, after: Revision, changes: ObjectList
    ) -> None:
        """Apply changes that this host read from the store and push them to peers."""
        self._note_reply(kind)
        self._state.adopt_changes(kind, after, changes)
        self._note_if_current()
        if changes.objects:
            self._push(
                StateUpdate(
                    kind=kind,
                    after=after,
                    until=changes.revision,
                    objects=changes.objects,
                )
            )

    async def __aenter__(self) -> Self:
        self._peers.serve(StatePull, self._answer_pull)
        self._peers.serve(StateUpdate, self._handle_update)
        self._supervise('start of the state', self._await_current_state)
        return self

    async def _await_current_state(self) -> None:
        """Decide from when on the state of a host that has started may be used."""
        read_at: float | None = None
        while read_at is None or read_clock() - read_at < CURRENT_STATE_WAIT:
            if self._state.is_complete:
                return
            await asyncio.sleep(CURRENT_STATE_CHECK)
            if read_at is None and self._state.is_read:
                read_at = read_clock()
        self._log.warning('state may be behind', age=self.measure_age())
        self._state.note_current()

    def _note_if_current(self) -> None:
        """Record that the state is current once nothing newer is announced."""
        if not self._state.is_read or self._is_stale():
            return
        announced = self._announced.items()
        if all(self._state.revision(kind) >= newest for kind, newest in announced):
            self._state.note_current()

    def _is_stale(self) -> bool:
        stale_age = choose_stale_age(self._fleet.heartbeat_interval())
        return self.measure_age() > stale_age

    def _note_reply(self, kind: StateKind) -> None:
        self._last_replies[kind] = read_clock()
        self._failing_kinds.discard(kind)

    def _push(self, update: StateUpdate, source: HostId | None = None) -> None:
        for host in self._fleet.followers():
            if host != source:
                self._peers.post(host, update, ignore_reply)

    def _note_heartbeat(self, heartbeat: EdgeHeartbeat) -> None:
        last_reply = read_clock() - heartbeat.store_age
        self._last_peer_reply = max(self._last_peer_reply, last_reply)
        for kind, revision in heartbeat.revisions.items():
            newest = max(revision, self._announced.get(kind, NO_REVISION))
            self._announced[kind] = newest
            if revision > self._state.revision(kind) and kind not in self._pulling:
                self._pulling.add(kind)
                self._tasks.spawn(self._pull(kind, heartbeat.host))
        self._note_if_current()

    async def _pull(self, kind: StateKind, host: HostId) -> None:
        pull = StatePull(kind, self._state.revision(kind))
        try:
            reply = await self._peers.call(host, pull, PULL_TIMEOUT)
        except PeerError as error:
            self._log.info('state not pulled', kind=kind.value, reason=str(error))
            return
        finally:
            self._pulling.discard(kind)
        if isinstance(reply, StateUpdate):
            self._adopt_update(reply, host)

    async def _answer_pull(self, pull: StatePull, sender: HostId) -> Message:
        is_whole = pull.after < self._history_starts.get(pull.kind, NO_REVISION)
        after = NO_REVISION if is_whole else pull.after
        objects = self._state.select_after(pull.kind, after)
        if is_whole:
            objects = tuple(each for each in objects if each.content is not None)
        return StateUpdate(
            kind=pull.kind,
            after=pull.after,
            until=self._state.revision(pull.kind),
            objects=objects,
            is_whole=is_whole,
        )

    async def _handle_update(self, update: StateUpdate, sender: HostId) -> Message:
        self._adopt_update(update, sender)
        return Acknowledgement(self._identity.incarnation)

    def _adopt_update(self, update: StateUpdate, source: HostId) -> None:
        before = self._state.revision(update.kind)
        if update.until <= before:
            return
        changes = ObjectList(update.until, update.objects)
        if update.is_whole:
            self._history_starts[update.kind] = update.until
            self._state.adopt_list(update.kind, changes)
            self._note_if_current()
            return
        if before == NO_REVISION:
            # Changes alone would leave the state incomplete. The first snapshot is
            # listed from the store or pulled from a peer.
            return
        if self._state.adopt_changes(update.kind, update.after, changes):
            self._note_if_current()
            self._push(update, source)

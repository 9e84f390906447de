"""The store's news between hosts: pushed on when they come, pulled when missed."""

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
from ..decisions import choose_stale_age, choose_watchers
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

PULL_LIMIT = Seconds(1)
LONG_AGO = Seconds(1e6)


class HostStateReplication(TaskOwner):
    """Pass on what this host learns first, and catch up on what it missed."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__()
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._peers = kernel.find(PEERS)
        self._state = kernel.find(SHARED_STATE)
        self._fleet = kernel.find(FLEET)
        self._log = structlog.get_logger()
        self._heard: dict[StateKind, float] = {}
        self._heard_indirectly = -LONG_AGO
        self._floors: dict[StateKind, Revision] = {}
        self._pulling: set[StateKind] = set()
        self._lost: set[StateKind] = set()
        kernel.bus.subscribe(HEARTBEAT_RECEIVED, self._note_pulse)

    def measure_age(self) -> Seconds:
        """Return the seconds since the store was heard, here or through peers."""
        own = -LONG_AGO
        if len(self._heard) == len(StateKind):
            own = Seconds(min(self._heard.values()))
        return Seconds(read_clock() - max(own, self._heard_indirectly))

    @property
    def is_blind(self) -> bool:
        """Whether the store failed this host when it was last asked."""
        return bool(self._lost)

    def note_store_failure(self, kind: StateKind) -> None:
        """Count a call to the store that failed."""
        self._lost.add(kind)

    def can_rely_on_peers(self) -> bool:
        """Whether other hosts wait on the store, and their news arrive here."""
        stale_age = choose_stale_age(self._fleet.heartbeat_interval())
        if not self._state.is_complete or self.measure_age() > stale_age:
            return False
        return self._identity.host not in choose_watchers(
            self._fleet.hosts_reaching_store()
        )

    def handle_listing(self, kind: StateKind, listing: ObjectList) -> None:
        """Take a complete listing from the store; peers that lack it pull it."""
        self._note_heard(kind)
        before = self._state.revision(kind)
        self._floors[kind] = max(
            self._floors.get(kind, NO_REVISION),
            listing.revision if before == NO_REVISION else NO_REVISION,
        )
        self._state.adopt_list(kind, listing)
        revision = self._state.revision(kind)
        self._log.info('listed', kind=kind.value, revision=revision)

    def handle_changes(
        self, kind: StateKind, after: Revision, changes: ObjectList
    ) -> None:
        """Take changes from the store."""
        self._note_heard(kind)
        self._state.adopt_changes(kind, after, changes)
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
        self._peers.serve(StateUpdate, self._take_news)
        return self

    def _note_heard(self, kind: StateKind) -> None:
        self._heard[kind] = read_clock()
        self._lost.discard(kind)

    def _push(self, news: StateUpdate, source: HostId | None = None) -> None:
        for host in self._fleet.links():
            if host != source:
                self._peers.post(host, news, ignore_reply)

    def _note_pulse(self, pulse: EdgeHeartbeat) -> None:
        heard = read_clock() - pulse.store_age
        self._heard_indirectly = max(self._heard_indirectly, heard)
        for kind, revision in pulse.revisions.items():
            if revision > self._state.revision(kind) and kind not in self._pulling:
                self._pulling.add(kind)
                self._tasks.spawn(self._pull(kind, pulse.host))

    async def _pull(self, kind: StateKind, host: HostId) -> None:
        pull = StatePull(kind, self._state.revision(kind))
        try:
            reply = await self._peers.call(host, pull, PULL_LIMIT)
        except PeerError as error:
            self._log.info('news not pulled', kind=kind.value, reason=str(error))
            return
        finally:
            self._pulling.discard(kind)
        if isinstance(reply, StateUpdate):
            self._adopt(reply, host)

    async def _answer_pull(self, pull: StatePull, sender: HostId) -> Message:
        is_whole = pull.after < self._floors.get(pull.kind, NO_REVISION)
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

    async def _take_news(self, news: StateUpdate, sender: HostId) -> Message:
        self._adopt(news, sender)
        return Acknowledgement(self._identity.incarnation)

    def _adopt(self, news: StateUpdate, source: HostId) -> None:
        before = self._state.revision(news.kind)
        if news.until <= before:
            return
        changes = ObjectList(news.until, news.objects)
        if news.is_whole:
            self._floors[news.kind] = news.until
            self._state.adopt_list(news.kind, changes)
            return
        if before == NO_REVISION:
            return  # a first listing is pulled; changes alone would not be complete
        if self._state.adopt_changes(news.kind, news.after, changes):
            self._push(news, source)

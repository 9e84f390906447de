"""Replica of the shared state: desired state, registrations and evacuated zones."""

import asyncio
from dataclasses import dataclass, field

import structlog

from ..contracts import STATE_CHANGED, STATE_CODEC, ObjectList
from ..kernel import Kernel
from ..model import (
    NO_REVISION,
    DesiredState,
    RecordError,
    Revision,
    Seconds,
    StateChange,
    StateContent,
    StateKind,
    StoredObject,
)


@dataclass(slots=True)
class _KindState:
    """Replica of one kind of state.

    Attributes:
        revision: the revision up to which this host has every change.
        objects: the newest version of each object by name; deletions are tombstones.
    """

    revision: Revision = NO_REVISION
    objects: dict[str, StoredObject] = field(default_factory=dict)


class HostSharedState:
    """Keep the newest version of each object and ignore older ones.

    Updates may arrive from the store and from several hosts in any order. Revisions
    only rise, so the state never goes back to an earlier one.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._bus = kernel.bus
        self._codec = kernel.find(STATE_CODEC)
        self._log = structlog.get_logger()
        self._kinds = {kind: _KindState() for kind in StateKind}
        self._desired: DesiredState | None = None
        self._is_current = False
        self._completed = asyncio.Event()

    @property
    def desired(self) -> DesiredState | None:
        """The newest desired state, None until one was received."""
        return self._desired

    @property
    def is_read(self) -> bool:
        """Whether every kind was read at least once and a desired state exists."""
        are_read = all(each.revision > NO_REVISION for each in self._kinds.values())
        return are_read and self._desired is not None

    @property
    def is_complete(self) -> bool:
        """Whether the state was read and has been current since the start."""
        return self._is_current and self.is_read

    def note_current(self) -> None:
        """Record that the state that was read is that of the store, not an old copy."""
        self._is_current = True
        self._note_complete()

    async def await_complete(self, limit: Seconds) -> None:
        """Wait until the state is complete, at most for the seconds given as limit."""
        try:
            async with asyncio.timeout(max(0, limit)):
                await self._completed.wait()
        except TimeoutError:
            return

    def revision(self, kind: StateKind) -> Revision:
        """Return the revision up to which this host has every change of a kind."""
        return self._kinds[kind].revision

    def select_after(
        self, kind: StateKind, revision: Revision
    ) -> tuple[StoredObject, ...]:
        """Return the objects of a kind that changed after a revision.

        Deleted objects are returned as tombstones.
        """
        objects = self._kinds[kind].objects.values()
        return tuple(each for each in objects if each.revision > revision)

    def adopt_list(self, kind: StateKind, listing: ObjectList) -> None:
        """Apply a complete listing of a kind; objects missing in it were deleted."""
        replica = self._kinds[kind]
        if listing.revision < replica.revision:
            return
        listed = {stored.name for stored in listing.objects}
        for stored in tuple(replica.objects.values()):
            if stored.content is not None and stored.name not in listed:
                gone = StoredObject(
                    kind=kind.value,
                    name=stored.name,
                    revision=listing.revision,
                    content=None,
                )
                self._adopt(kind, gone)
        for stored in listing.objects:
            self._adopt(kind, stored)
        replica.revision = listing.revision
        self._note_complete()

    def adopt_changes(
        self, kind: StateKind, after: Revision, changes: ObjectList
    ) -> bool:
        """Apply the changes of a kind after a revision.

        Returns:
            False if this host lacks changes before that revision, so that its own
            revision of the kind stays as it is.
        """
        replica = self._kinds[kind]
        for stored in changes.objects:
            self._adopt(kind, stored)
        if after > replica.revision:
            return False
        replica.revision = max(replica.revision, changes.revision)
        self._note_complete()
        return True

    def _note_complete(self) -> None:
        if self.is_complete:
            self._completed.set()

    def _adopt(self, kind: StateKind, stored: StoredObject) -> None:
        objects = self._kinds[kind].objects
        former = objects.get(stored.name)
        if former is not None and former.revision >= stored.revision:
            return
        objects[stored.name] = stored
        content = self._decode(kind, stored)
        if isinstance(content, DesiredState):
            self._set_desired(content)
        elif kind is StateKind.DESIRED_STATE:
            return
        self._bus.publish(STATE_CHANGED, StateChange(kind, stored.name, content))

    def _set_desired(self, desired: DesiredState) -> None:
        self._desired = desired
        self._log.info(
            'desired state adopted',
            version=desired.version,
            revision=desired.revision,
            routes=len(desired.routes),
        )

    def _decode(self, kind: StateKind, stored: StoredObject) -> StateContent | None:
        if stored.content is None:
            return None
        try:
            return self._codec.decode_state(kind, stored)
        except RecordError as error:
            self._log.warning(
                'object not readable',
                kind=kind.value,
                name=stored.name,
                revision=stored.revision,
                reason=str(error),
            )
            return None

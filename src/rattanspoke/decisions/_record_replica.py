"""Which configuration records are in force on a host.

Changes arrive from the store and from other hosts, out of order and repeatedly. A host
keeps the object with the highest revision under every key, tombstones included, and a
watermark: the revision up to which it has seen every change. An object that does not
follow its schema is rejected, and the last valid record stays in force.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..model import (
    NO_REVISION,
    Record,
    RecordChange,
    RecordError,
    RecordKind,
    RecordStatus,
    Revision,
    StoredObject,
)

ObjectKey = tuple[str, str]


@dataclass(slots=True)
class RecordReplica:
    """One host's copy of the stored objects and the records in force.

    Attributes:
        decode: turns an object into a record or raises RecordError.
        watermark: the revision up to which every change has been applied.
        rejected: the keys whose newest object is not in force, with the reason.
    """

    decode: Callable[[StoredObject], Record]
    watermark: Revision = NO_REVISION
    rejected: dict[ObjectKey, RecordStatus] = field(default_factory=dict)
    _objects: dict[ObjectKey, StoredObject] = field(default_factory=dict)
    _records: dict[str, dict[str, Record]] = field(
        default_factory=lambda: {kind.value: {} for kind in RecordKind}
    )

    def adopt(self, incoming: Iterable[StoredObject]) -> list[RecordChange]:
        """Apply the objects that are newer than the copies kept here.

        Returns:
            The changes to the records in force, in the order of their revisions.
        """
        changes = []
        for stored in sorted(incoming, key=lambda each: each.revision):
            known = self._objects.get((stored.kind, stored.name))
            if known is None or stored.revision > known.revision:
                changes += self._replace(stored)
        return changes

    def adopt_range(
        self, after: Revision, until: Revision, incoming: Iterable[StoredObject]
    ) -> tuple[list[RecordChange], bool]:
        """Apply a state update that holds every change between two revisions.

        The watermark advances unless changes before the update are missing here.

        Args:
            after: the revision after which the update begins.
            until: the revision with which it ends.
            incoming: the objects that changed in between.

        Returns:
            The changes to the records in force, and whether changes before the update
            are missing here.
        """
        changes = self.adopt(incoming)
        gap = after > self.watermark
        if not gap:
            self.watermark = max(self.watermark, until)
        return changes, gap

    def adopt_list(
        self, until: Revision, listed: Iterable[StoredObject]
    ) -> list[RecordChange]:
        """Apply a complete listing of the store.

        An object that the listing lacks was deleted. Nothing is deleted when the
        listing is older than the watermark, nor an object that changed after it.

        Args:
            until: the revision of the listing.
            listed: every object in the store at that revision.

        Returns:
            The changes to the records in force.
        """
        objects = list(listed)
        changes = self.adopt(objects)
        if until < self.watermark:
            return changes
        present = {(stored.kind, stored.name) for stored in objects}
        deleted = [
            StoredObject(kind=known.kind, name=known.name, revision=until, content=None)
            for name, known in self._objects.items()
            if name not in present
            and known.content is not None
            and known.revision <= until
        ]
        self.watermark = until
        return changes + self.adopt(deleted)

    def select_after(self, revision: Revision) -> tuple[StoredObject, ...]:
        """Return every object, tombstones included, that changed after a revision."""
        return tuple(
            stored for stored in self._objects.values() if stored.revision > revision
        )

    def find(self, kind: RecordKind, name: str) -> Record | None:
        """Return the record in force under a name."""
        return self._records[kind.value].get(name)

    def select(self, kind: RecordKind) -> dict[str, Record]:
        """Return all records of a kind that are in force, by name."""
        return self._records[kind.value]

    def _replace(self, stored: StoredObject) -> list[RecordChange]:
        name = (stored.kind, stored.name)
        self._objects[name] = stored
        self.rejected.pop(name, None)
        kind = RecordKind(stored.kind)
        if stored.content is None:
            self._records[stored.kind].pop(stored.name, None)
            return [RecordChange(kind, stored.name, stored.revision, None)]
        try:
            record = self.decode(stored)
        except RecordError as error:
            self.rejected[name] = RecordStatus(
                revision=stored.revision, reason=str(error)
            )
            return []
        self._records[stored.kind][stored.name] = record
        return [RecordChange(kind, stored.name, stored.revision, record)]

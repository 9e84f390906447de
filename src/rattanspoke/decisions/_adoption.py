"""Which configuration is in force: revisions only rise, whatever brings them.

A host keeps the newest object of every name, tombstones included, and a watermark:
every change up to it is known here. An object that does not follow its schema leaves
the last good record in force.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..model import (
    NO_REVISION,
    Change,
    Record,
    RecordError,
    RecordKind,
    RecordStatus,
    Revision,
    StoredObject,
)

Name = tuple[str, str]


@dataclass(slots=True)
class Adoption:
    """The objects that one host knows and the records in force.

    Attributes:
        decode: turns an object into a record or raises RecordError.
        watermark: every change up to this revision is known.
        refused: why the newest object of a name is not in force.
    """

    decode: Callable[[StoredObject], Record]
    watermark: Revision = NO_REVISION
    refused: dict[Name, RecordStatus] = field(default_factory=dict)
    _objects: dict[Name, StoredObject] = field(default_factory=dict)
    _records: dict[str, dict[str, Record]] = field(
        default_factory=lambda: {kind.value: {} for kind in RecordKind}
    )

    def adopt(self, incoming: Iterable[StoredObject]) -> list[Change]:
        """Take over the objects that are newer than what is known."""
        changes = []
        for stored in sorted(incoming, key=lambda each: each.revision):
            known = self._objects.get((stored.kind, stored.name))
            if known is None or stored.revision > known.revision:
                changes += self._replace(stored)
        return changes

    def adopt_range(
        self, after: Revision, until: Revision, incoming: Iterable[StoredObject]
    ) -> tuple[list[Change], bool]:
        """Take over changes complete between two revisions.

        Returns:
            The changes, and whether some before them are missing here.
        """
        changes = self.adopt(incoming)
        gap = after > self.watermark
        if not gap:
            self.watermark = max(self.watermark, until)
        return changes, gap

    def adopt_list(
        self, until: Revision, listed: Iterable[StoredObject]
    ) -> list[Change]:
        """Take over a complete listing; what it lacks was deleted unless it is old."""
        objects = list(listed)
        changes = self.adopt(objects)
        if until < self.watermark:
            return changes
        present = {(stored.kind, stored.name) for stored in objects}
        lost = [
            StoredObject(kind=known.kind, name=known.name, revision=until, content=None)
            for name, known in self._objects.items()
            if name not in present and known.content and known.revision <= until
        ]
        self.watermark = until
        return changes + self.adopt(lost)

    def select_after(self, revision: Revision) -> tuple[StoredObject, ...]:
        """Return every known object that changed after a revision."""
        return tuple(
            stored for stored in self._objects.values() if stored.revision > revision
        )

    def find(self, kind: RecordKind, name: str) -> Record | None:
        """Return the record in force under a name."""
        return self._records[kind.value].get(name)

    def select(self, kind: RecordKind) -> dict[str, Record]:
        """Return all records of a kind that are in force, by name."""
        return self._records[kind.value]

    def _replace(self, stored: StoredObject) -> list[Change]:
        name = (stored.kind, stored.name)
        self._objects[name] = stored
        self.refused.pop(name, None)
        kind = RecordKind(stored.kind)
        if stored.content is None:
            self._records[stored.kind].pop(stored.name, None)
            return [Change(kind, stored.name, stored.revision, None)]
        try:
            record = self.decode(stored)
        except RecordError as error:
            self.refused[name] = RecordStatus(
                revision=stored.revision, reason=str(error)
            )
            return []
        self._records[stored.kind][stored.name] = record
        return [Change(kind, stored.name, stored.revision, record)]

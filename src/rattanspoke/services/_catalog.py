"""The configuration records in force on this host, with typed look-ups."""

from collections.abc import Iterable
from typing import TypeVar, cast

from ..contracts import CODEC, COUNTERS, RECORD_CHANGED, TIMELINE, Metric
from ..decisions import RecordReplica
from ..kernel import Kernel
from ..model import (
    NO_REVISION,
    EventKind,
    IndexRecord,
    OrganisationRecord,
    Reason,
    Record,
    RecordChange,
    RecordKind,
    RecordStatus,
    Revision,
    SeatAssignmentRecord,
    ServiceId,
    ServiceRecord,
    StoredObject,
    UpstreamId,
    UpstreamRecord,
    UpstreamState,
    ZoneId,
    ZoneRecord,
    ZoneState,
)

RecordType = TypeVar('RecordType', bound=Record)
KNOWN_KINDS = frozenset(kind.value for kind in RecordKind)


class HostCatalog:
    """Apply objects from any source and announce the records that come into force."""

    def __init__(self, kernel: Kernel) -> None:
        self._bus = kernel.bus
        self._counters = kernel.find(COUNTERS)
        self._timeline = kernel.find(TIMELINE)
        self._adoption = RecordReplica(kernel.find(CODEC).decode_record)
        self._first_watermark = NO_REVISION

    @property
    def watermark(self) -> Revision:
        """The revision up to which this host has received every change."""
        return self._adoption.watermark

    @property
    def first_watermark(self) -> Revision:
        """The first watermark, NO_REVISION while nothing was listed.

        Records of a later revision changed while this host was running.
        """
        return self._first_watermark

    def zone(self, zone: ZoneId) -> ZoneRecord | None:
        """Return a zone's record."""
        return self._find(RecordKind.ZONE, zone, ZoneRecord)

    def service(self, service: ServiceId) -> ServiceRecord | None:
        """Return a service's record."""
        return self._find(RecordKind.SERVICE, service, ServiceRecord)

    def upstream(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Return an upstream's record."""
        return self._find(RecordKind.UPSTREAM, upstream, UpstreamRecord)

    def upstreams(self) -> list[UpstreamRecord]:
        """Return the records of all upstreams."""
        return self._select(RecordKind.UPSTREAM, UpstreamRecord)

    def upstreams_in(self, zone: ZoneId) -> list[UpstreamRecord]:
        """Return the records of a zone's upstreams."""
        return [each for each in self.upstreams() if each.zone == zone]

    def upstreams_of(self, service: ServiceId) -> list[UpstreamRecord]:
        """Return the records of a service's upstreams."""
        return [each for each in self.upstreams() if each.service == service]

    def zones(self) -> list[ZoneRecord]:
        """Return the records of all zones."""
        return self._select(RecordKind.ZONE, ZoneRecord)

    def index(self, service: ServiceId) -> IndexRecord | None:
        """Return a service's index record."""
        return self._find(RecordKind.INDEX, service, IndexRecord)

    def seats(self, zone: ZoneId) -> SeatAssignmentRecord | None:
        """Return a zone's seat assignment record."""
        return self._find(RecordKind.SEATS, zone, SeatAssignmentRecord)

    def organisations(self) -> list[OrganisationRecord]:
        """Return the records of all organisations."""
        return self._select(RecordKind.ORGANISATION, OrganisationRecord)

    def explain_exclusion(self, upstream: UpstreamRecord) -> Reason | None:
        """Return why the records keep work from an upstream, None if they allow it.

        An upstream whose zone has no record gets no work.
        """
        zone = self.zone(upstream.zone)
        if zone is None or zone.state is ZoneState.TAKEN_OUT:
            return Reason.ZONE_OUT
        if upstream.state is UpstreamState.LEAVING:
            return Reason.UPSTREAM_DRAINING
        return None

    def select_after(self, revision: Revision) -> tuple[StoredObject, ...]:
        """Return the newest version of each object that changed after a revision."""
        return self._adoption.select_after(revision)

    def adopt_range(
        self, after: Revision, until: Revision, objects: tuple[StoredObject, ...]
    ) -> bool:
        """Apply the changes between two revisions.

        Returns:
            Whether changes before them are missing on this host.
        """
        changes, gap = self._adoption.adopt_range(
            after, until, _drop_unknown_kinds(objects)
        )
        self._note_first_watermark()
        self._announce(changes)
        return gap

    def adopt_list(self, until: Revision, objects: tuple[StoredObject, ...]) -> None:
        """Apply a complete listing taken at a revision."""
        changes = self._adoption.adopt_list(until, _drop_unknown_kinds(objects))
        self._note_first_watermark()
        self._announce(changes)

    def adopt_written(self, stored: StoredObject) -> None:
        """Apply an object that this host wrote itself."""
        self._announce(self._adoption.adopt(_drop_unknown_kinds([stored])))

    def list_refused(self) -> dict[str, RecordStatus]:
        """Return the status of each object rejected as invalid, by kind/name."""
        return {
            f'{kind}/{name}': record_status
            for (kind, name), record_status in self._adoption.rejected.items()
        }

    def _note_first_watermark(self) -> None:
        if self._first_watermark == NO_REVISION:
            self._first_watermark = self._adoption.watermark

    def _announce(self, changes: list[RecordChange]) -> None:
        for change in changes:
            self._counters.add(Metric.RECORDS_ADOPTED, change.kind.value)
            if change.kind is not RecordKind.SEATS:
                self._timeline.note(
                    EventKind.CONFIGURATION,
                    f'{change.kind.value}/{change.name} at revision {change.revision}',
                )
            self._bus.publish(RECORD_CHANGED, change)

    def _find(
        self, kind: RecordKind, name: str, record_type: type[RecordType]
    ) -> RecordType | None:
        return cast('RecordType | None', self._adoption.find(kind, name))

    def _select(
        self, kind: RecordKind, record_type: type[RecordType]
    ) -> list[RecordType]:
        return cast('list[RecordType]', list(self._adoption.select(kind).values()))


def _drop_unknown_kinds(objects: Iterable[StoredObject]) -> list[StoredObject]:
    """Drop objects of kinds that only a newer release of the tier knows."""
    return [stored for stored in objects if stored.kind in KNOWN_KINDS]

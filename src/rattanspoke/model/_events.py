"""Events of the time line."""

from dataclasses import dataclass

from ._ids import HostId, Incarnation, OrganisationId, RequestId, UpstreamId, ZoneId
from ._states import EventKind


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Something a host did or learned.

    Attributes:
        tick: Lamport time; it orders causes before effects on any clocks.
        wall: seconds since the epoch by the host's own clock, for display only.
    """

    kind: EventKind
    detail: str
    host: HostId = HostId('')
    incarnation: Incarnation = Incarnation('')
    tick: int = 0
    wall: float = 0
    request: RequestId | None = None
    upstream: UpstreamId | None = None
    zone: ZoneId | None = None
    organisation: OrganisationId | None = None

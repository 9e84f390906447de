"""Events of the time line, the history that each host keeps for operators."""

from dataclasses import dataclass

from ._ids import HostId, Incarnation, OrganisationId, RequestId, UpstreamId, ZoneId
from ._states import EventKind


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Something that a host did or received.

    Attributes:
        detail: text for operators.
        tick: Lamport time; it orders causes before effects, even if the clocks of the
            hosts differ.
        wall: seconds since the Unix epoch by the host's own clock, for display only.
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

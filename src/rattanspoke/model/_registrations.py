"""What the platform's store says of upstreams, hosts and zones."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import TypeAlias

from ._ids import HostId, Incarnation, Seconds, ServiceId, UpstreamId, ZoneId
from ._routing import DesiredState


@unique
class StateKind(Enum):
    """Kinds of shared state that every host follows."""

    DESIRED_STATE = 'desired state'
    REGISTRATIONS = 'registrations'
    EVACUATIONS = 'evacuated zones'


@unique
class RegistrationState(Enum):
    """What an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """An upstream's own entry in the store.

    Attributes:
        upstream: the name under which the upstream registers, also after a restart.
        started: Unix milliseconds of its start; another start is another incarnation.
        address: where it takes requests, as host:port.
        slots: requests that it runs at once.
        cold_left: seconds for which it stayed cold when the entry was written.
    """

    upstream: UpstreamId
    started: int
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    state: RegistrationState
    cold_left: Seconds = Seconds(0)

    @property
    def incarnation(self) -> Incarnation:
        """One run of the upstream: its name and its start."""
        return Incarnation(f'{self.upstream}@{self.started}')


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Operators want no work sent to the upstreams of a zone."""

    zone: ZoneId


@dataclass(frozen=True, slots=True, kw_only=True)
class HostEntry:
    """A host of the tier, as it makes itself known to the others.

    Attributes:
        name: the name of its entry in the store.
        host: the address on which its peers reach it.
    """

    name: str
    host: HostId
    zone: ZoneId


StateContent: TypeAlias = DesiredState | Registration | Evacuation


@dataclass(frozen=True, slots=True)
class StateChange:
    """An object of the shared state has new content, or None once it is gone."""

    kind: StateKind
    name: str
    content: StateContent | None

"""Registrations of upstreams and hosts, and evacuated zones, as kept in the store."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import TypeAlias

from ._ids import HostId, Incarnation, Seconds, ServiceId, UpstreamId, ZoneId
from ._routing import DesiredState

HOST_KIND = 'hosts'  # of the entries of hosts in the store


@unique
class StateKind(Enum):
    """Kinds of state in the platform's store that all hosts share."""

    DESIRED_STATE = 'desired state'
    REGISTRATIONS = 'registrations'
    EVACUATIONS = 'evacuated zones'


@unique
class RegistrationState(Enum):
    """State that an upstream reports in its registration."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """Entry in the store that an upstream writes about itself.

    Attributes:
        upstream: the name of the upstream, which stays the same after a restart.
        started: when the upstream started, in Unix milliseconds; each start is an
            incarnation of its own.
        service: the service that the upstream belongs to.
        address: host:port at which it accepts requests.
        zone: the availability zone that it runs in.
        slots: number of requests that it runs at once.
        state: whether it is ready or draining.
        cold_left: seconds of slow start that were left when the entry was written.
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
        """Id of this run of the upstream, made of its name and start time."""
        return Incarnation(f'{self.upstream}@{self.started}')


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Order of an operator to send no requests to the upstreams of a zone."""

    zone: ZoneId


@dataclass(frozen=True, slots=True, kw_only=True)
class HostEntry:
    """Entry in the store by which a host makes itself known to the other hosts.

    Attributes:
        name: the name of the entry in the store.
        host: the address at which other hosts reach it, which is also its id.
        zone: the availability zone that it runs in.
    """

    name: str
    host: HostId
    zone: ZoneId


StateContent: TypeAlias = DesiredState | Registration | Evacuation


@dataclass(frozen=True, slots=True)
class StateChange:
    """Change of an object of the shared state.

    Attributes:
        kind: the kind of the object.
        name: its name in the store.
        content: the decoded content; None if the object was deleted or is invalid.
    """

    kind: StateKind
    name: str
    content: StateContent | None

"""JSON codec between the store's objects and the model's types."""

import re
from typing import TypeVar

import msgspec

from ..contracts import ObjectList
from ..model import (
    MS_PER_SECOND,
    CallerLimits,
    DesiredState,
    Destination,
    Evacuation,
    HostEntry,
    HostId,
    Idempotency,
    OneService,
    RecordError,
    Registration,
    RegistrationState,
    Route,
    RouteId,
    Seconds,
    ServiceId,
    ServiceTraits,
    ShardSet,
    StateContent,
    StateKind,
    StoredObject,
    UpstreamId,
    WeightedService,
    WeightedServices,
    ZoneId,
)
from ._json import UnreadableJson, decode_json

DESIRED_STATE_NAME = 'main'
IDEMPOTENCY_BY_ROUTE_TYPE = {
    'idempotent': Idempotency.IDEMPOTENT,
    'non_idempotent': Idempotency.NON_IDEMPOTENT,
}
REGISTRATION_STATES = {
    'ready': RegistrationState.READY,
    'draining': RegistrationState.DRAINING,
}
# A host name or an IPv4 address, and a port.
ADDRESS = re.compile(
    '[A-Za-z0-9_-]{1,63}([.][A-Za-z0-9_-]{1,63})*:(?P<port>[0-9]{1,5})'
)
MAX_PORT = 65535
HEADER_VALUE = re.compile('[!-~]{1,256}')  # printable ASCII without spaces

Form = TypeVar('Form')


class _CamelCaseForm(msgspec.Struct, rename='camel'):
    """Base of forms whose fields are spelled in camel case in JSON."""


class _WeightForm(_CamelCaseForm):
    service: str
    weight: float


class _RouteForm(_CamelCaseForm):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    service: str = ''
    traffic_split: list[_WeightForm] = []
    fanout_services: list[str] = []
    top_k: int = 0
    minimum: float = 0
    allowed_regions: list[str] = []


class _ServiceForm(_CamelCaseForm):
    name: str
    max_connections: int
    warmup_s: float = 0
    warmup_per_s: float = 0


class _LimitsForm(_CamelCaseForm):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _DesiredStateForm(_CamelCaseForm):
    version: int
    routes: list[_RouteForm]
    services: list[_ServiceForm]
    limits: _LimitsForm


class _RegistrationForm(_CamelCaseForm):
    """An upstream's entry.

    An entry that lacks one of the fields without a default was not written by an
    upstream. `born` is the start of the incarnation in Unix milliseconds. In an entry
    without it, only the name identifies the incarnation, and a restart does not show.
    `version` is that of the upstream's software.
    """

    service: str
    address: str
    zone: str
    version: str
    state: str
    slots: int
    warmup_left_ms: float
    sequence: int
    born: int = 0


class _HostForm(_CamelCaseForm):
    peer_address: str
    zone: str


class JsonStateCodec:
    """Decodes the state that is replicated to every host, and codes host entries."""

    def decode_state(self, kind: StateKind, stored: StoredObject) -> StateContent:
        """Decode a stored object.

        Args:
            kind: the kind of state that the object holds.
            stored: the object as the store returned it.

        Raises:
            RecordError: when the content does not decode; the message names the field.
        """
        content = stored.content or b''
        match kind:
            case StateKind.DESIRED_STATE:
                return _read_desired_state(stored, _decode(content, _DesiredStateForm))
            case StateKind.REGISTRATIONS:
                form = _decode(content, _RegistrationForm)
                return _read_registration(UpstreamId(stored.name), form)
            case StateKind.EVACUATIONS:
                return Evacuation(ZoneId(stored.name))

    def decode_host(self, stored: StoredObject) -> HostEntry:
        """Decode the entry of a host; raises RecordError when it does not decode."""
        form = _decode(stored.content or b'', _HostForm)
        host = HostId(form.peer_address)
        return HostEntry(name=stored.name, host=host, zone=ZoneId(form.zone))

    def encode_host(self, entry: HostEntry) -> bytes:
        """Encode the entry of a host as the content of a stored object."""
        return msgspec.json.encode(_HostForm(entry.host, entry.zone))


def select_desired_state(listing: ObjectList) -> ObjectList:
    """Drop every object of the kind except the one with the newest desired state."""
    selected = [each for each in listing.objects if each.name == DESIRED_STATE_NAME]
    return ObjectList(listing.revision, tuple(selected))


def _read_desired_state(stored: StoredObject, form: _DesiredStateForm) -> DesiredState:
    services = [
        ServiceTraits(
            service=ServiceId(each.name),
            connection_limit=each.max_connections,
            cold_time=Seconds(each.warmup_s),
            cold_rate=each.warmup_per_s,
        )
        for each in form.services
    ]
    limits = form.limits
    return DesiredState(
        version=form.version,
        revision=stored.revision,
        routes=tuple(_read_route(each) for each in form.routes),
        services={each.service: each for each in services},
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_time=Seconds(limits.header_timeout_ms / MS_PER_SECOND),
            idle_time=Seconds(limits.idle_timeout_ms / MS_PER_SECOND),
        ),
    )


def _read_route(form: _RouteForm) -> Route:
    if form.route_type not in IDEMPOTENCY_BY_ROUTE_TYPE:
        raise RecordError(f'routeType: {form.route_type!r} of route {form.name!r}')
    time_limit = Seconds(form.timeout_ms / MS_PER_SECOND)
    return Route(
        route=RouteId(form.name),
        authority=form.host.lower(),
        prefix=form.path_prefix,
        destination=_read_destination(form),
        idempotency=IDEMPOTENCY_BY_ROUTE_TYPE[form.route_type],
        time_limit=time_limit,
        objective=Seconds(form.target_latency_ms / MS_PER_SECOND) or time_limit,
        attempt_limit=max(1, form.max_attempts),
        priority=form.priority,
        regions=frozenset(form.allowed_regions),
    )


def _read_destination(form: _RouteForm) -> Destination:
    if form.fanout_services:
        shards = tuple(ServiceId(each) for each in form.fanout_services)
        return ShardSet(shards, form.top_k, form.minimum)
    if form.traffic_split:
        return WeightedServices(
            tuple(
                WeightedService(ServiceId(each.service), each.weight)
                for each in form.traffic_split
            )
        )
    if not form.service:
        raise RecordError(f'service: route {form.name!r} names no service')
    return OneService(ServiceId(form.service))


def _read_registration(upstream: UpstreamId, form: _RegistrationForm) -> Registration:
    if form.state not in REGISTRATION_STATES:
        raise RecordError(f'state: {form.state!r} is not a state')
    if not _is_address(form.address):
        raise RecordError(f'address: {form.address!r} is not host:port')
    if HEADER_VALUE.fullmatch(upstream) is None:
        raise RecordError(f'name: {upstream!r} cannot be sent in a header')
    return Registration(
        upstream=upstream,
        started=form.born,
        service=ServiceId(form.service),
        address=form.address,
        zone=ZoneId(form.zone),
        slots=max(1, form.slots),
        state=REGISTRATION_STATES[form.state],
        cold_left=Seconds(form.warmup_left_ms / MS_PER_SECOND),
    )


def _is_address(address: str) -> bool:
    match = ADDRESS.fullmatch(address)
    return match is not None and 0 < int(match['port']) <= MAX_PORT


def _decode(content: bytes, form: type[Form]) -> Form:
    try:
        return decode_json(content, form)
    except UnreadableJson as error:
        raise RecordError(f'content: {error}') from error

"""Directory of upstreams, from their registrations and the evacuated zones."""

from collections import defaultdict

import structlog

from ..contracts import RULES, RULES_CHANGED, STATE_CHANGED, UPSTREAM_GONE, EdgeRules
from ..decisions import MissingUpstreams, choose_retention
from ..kernel import Kernel
from ..model import (
    Evacuation,
    Registration,
    RegistrationState,
    Seconds,
    ServiceId,
    StateChange,
    StateKind,
    UpstreamId,
    ZoneId,
)
from ._tasks import read_clock


class UpstreamDirectory:
    """Keep the upstreams of each service that may receive new requests.

    These are the ready upstreams outside evacuated zones. Upstreams whose registrations
    vanished are among them while MissingUpstreams retains them.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._bus = kernel.bus
        self._missing = MissingUpstreams(
            choose_retention(kernel.find(RULES).current.drain_time)
        )
        self._log = structlog.get_logger()
        self._registrations: dict[UpstreamId, Registration] = {}
        self._evacuated: set[ZoneId] = set()
        self._by_service: dict[ServiceId, tuple[Registration, ...]] | None = None
        kernel.bus.subscribe(STATE_CHANGED, self._note_change)
        kernel.bus.subscribe(RULES_CHANGED, self._apply_rules)

    def replicas(self, service: ServiceId) -> tuple[Registration, ...]:
        """Return the upstreams of a service that may receive new requests."""
        gone = self._missing.drop_expired(Seconds(read_clock()))
        for upstream in gone:
            self._by_service = None
            self._bus.publish(UPSTREAM_GONE, upstream)
        if self._by_service is None:
            self._by_service = self._group_by_service()
        return self._by_service.get(service, ())

    def _apply_rules(self, rules: EdgeRules) -> None:
        self._missing.retention = choose_retention(rules.drain_time)

    def _group_by_service(self) -> dict[ServiceId, tuple[Registration, ...]]:
        found: dict[ServiceId, list[Registration]] = defaultdict(list)
        for registration in (
            *self._registrations.values(),
            *self._missing.list_retained(self._registrations.values()),
        ):
            if self._accepts_requests(registration):
                found[registration.service].append(registration)
        return {service: tuple(each) for service, each in found.items()}

    def _accepts_requests(self, registration: Registration) -> bool:
        if registration.zone in self._evacuated:
            return False
        return registration.state is RegistrationState.READY

    def _note_change(self, change: StateChange) -> None:
        match change.kind:
            case StateKind.REGISTRATIONS:
                self._note_registration(UpstreamId(change.name), change)
            case StateKind.EVACUATIONS:
                self._note_evacuation(ZoneId(change.name), change)
            case StateKind.DESIRED_STATE:
                return
        self._by_service = None

    def _note_registration(self, upstream: UpstreamId, change: StateChange) -> None:
        former = self._registrations.pop(upstream, None)
        state = 'gone'
        if isinstance(change.content, Registration):
            self._registrations[upstream] = change.content
            self._missing.note_present(upstream)
            state = change.content.state.value
        elif former is not None:
            self._missing.note_vanished(former, Seconds(read_clock()))
        if former is None or state != former.state.value:
            self._log.info('upstream', upstream=upstream, state=state)

    def _note_evacuation(self, zone: ZoneId, change: StateChange) -> None:
        is_out = isinstance(change.content, Evacuation)
        if is_out:
            self._evacuated.add(zone)
        else:
            self._evacuated.discard(zone)
        self._log.info('zone evacuation', zone=zone, is_out=is_out)

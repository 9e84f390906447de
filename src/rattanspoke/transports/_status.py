"""The bodies of /v1/status and /v1/timeline: a host's view of the tier, its events."""

from typing import Any

import msgspec

from ..contracts import (
    CATALOG,
    IDENTITY,
    LIFECYCLE,
    MEMBERS,
    OWNED_UPSTREAMS,
    SEATS,
    TIMELINE,
    WATCH,
)
from ..decisions import list_owners
from ..kernel import Kernel
from ..model import UpstreamRecord


def describe_status(kernel: Kernel) -> dict[str, Any]:
    """Return a host's view of itself, its peers, the zones and the upstreams."""
    identity = kernel.find(IDENTITY)
    catalog = kernel.find(CATALOG)
    watch = kernel.find(WATCH)
    return {
        'host': identity.host,
        'incarnation': identity.incarnation,
        'zone': identity.zone,
        'leaving': kernel.find(LIFECYCLE).is_leaving,
        'revision': catalog.watermark,
        'holds_watch': watch.holds_watch,
        'platform_age': round(watch.measure_age(), 3),
        'refused_records': {
            name: record_status.reason
            for name, record_status in catalog.list_refused().items()
        },
        'hosts': {
            host: state.value for host, state in kernel.find(MEMBERS).states().items()
        },
        'zones': {record.zone: record.state.value for record in catalog.zones()},
        'upstreams': {
            record.upstream: _describe_upstream(kernel, record)
            for record in catalog.upstreams()
        },
    }


def describe_timeline(kernel: Kernel) -> list[dict[str, Any]]:
    """Return the events in a host's time line, oldest first."""
    events = kernel.find(TIMELINE).select()
    described: list[dict[str, Any]] = msgspec.to_builtins(events)
    return described


def _describe_upstream(kernel: Kernel, record: UpstreamRecord) -> dict[str, Any]:
    catalog = kernel.find(CATALOG)
    exclusion = catalog.explain_exclusion(record)
    assignment = catalog.seats(record.zone)
    description: dict[str, Any] = {
        'service': record.service,
        'zone': record.zone,
        'state': exclusion.value if exclusion else 'in service',
        'owners': list_owners(assignment, record.upstream),
        'seats_here': sorted(kernel.find(SEATS).held(record.upstream)),
    }
    upstream_status = kernel.find(OWNED_UPSTREAMS).describe(record.upstream)
    return description | (
        msgspec.to_builtins(upstream_status) if upstream_status else {}
    )

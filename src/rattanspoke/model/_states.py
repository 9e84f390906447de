"""Enumerations of states, outcomes and reasons."""

from enum import Enum, unique


@unique
class Outcome(Enum):
    """Whether an upstream ran a request."""

    RAN = 'ran'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


@unique
class Reason(Enum):
    """Why a request failed or was refused, or why a shard is missing from an answer."""

    NONE = 'none'
    BAD_REQUEST = 'bad request'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    UNKNOWN_SERVICE = 'unknown service'
    NO_VERSION = 'no version of the index is known'
    VERSION_GONE = 'version gone'
    WRONG_VERSION = 'reply of another version'
    SHARD_NOT_HELD = 'shard not held'
    OVER_QUOTA = 'over quota'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline passed'
    CANCELLED = 'cancelled'
    ZONE_OUT = 'availability zone taken out'
    UPSTREAM_DRAINING = 'upstream leaving'
    UPSTREAM_COLD = 'upstream cold'
    UPSTREAM_SHED = 'upstream shed'
    UPSTREAM_QUIET = 'upstream wants no requests'
    UPSTREAM_UNREACHABLE = 'upstream unreachable'
    UPSTREAM_FAILED = 'upstream failed'
    UPSTREAM_LOST = 'upstream lost'
    NO_REPLICA = 'no replica in service'
    NOT_OWNER = 'host holds no seat'
    PEER_UNREACHABLE = 'peer unreachable'
    PEER_REFUSED = 'peer refused the connection'
    PEER_LOST = 'peer lost'
    HOST_LEAVING = 'host leaving'
    SUSPECT = 'request suspected of crashing upstreams'
    PLATFORM_DOWN = 'platform unavailable'
    KEY_IN_USE = 'idempotency key in use'
    TOO_LARGE = 'too large'
    HEADERS_TOO_LARGE = 'headers too large'
    UNKNOWN_ROUTE = 'unknown route'
    NO_DESIRED_STATE = 'no desired state is known'
    REPLY_BROKEN = 'reply broken off or unreadable'
    RETRY_BUDGET = 'retry budget spent'
    NO_REPLY = 'no reply yet'
    LOW_COVERAGE = 'too few shards answered'
    UPSTREAM_REFUSED = 'upstream refuses connections'


# Failures before anything was sent: the upstream has received nothing of the call.
UNSENT_FAILURES = frozenset(
    (
        Reason.UPSTREAM_UNREACHABLE,
        Reason.UPSTREAM_REFUSED,
        Reason.UPSTREAM_DRAINING,
        Reason.UPSTREAM_QUIET,
    )
)


@unique
class RecordKind(Enum):
    """Kinds of record that hosts read from the platform."""

    ZONE = 'zone'
    SERVICE = 'service'
    UPSTREAM = 'upstream'
    ORGANISATION = 'organisation'
    INDEX = 'index'
    SEATS = 'seats'


@unique
class ZoneState(Enum):
    """Whether operators allow work for the upstreams of an availability zone."""

    IN_SERVICE = 'in service'
    TAKEN_OUT = 'taken out'


@unique
class UpstreamState(Enum):
    """Whether operators allow work for an upstream."""

    IN_SERVICE = 'in service'
    LEAVING = 'leaving'


@unique
class HostState(Enum):
    """State of another host, derived from heartbeats and the platform's list."""

    LIVE = 'live'
    SILENT = 'silent'
    LEAVING = 'leaving'
    DEAD = 'dead'


@unique
class Warmth(Enum):
    """Stage of slow start, which limits the load on an upstream after a start."""

    COLD = 'cold'
    WARMING = 'warming'
    WARM = 'warm'


@unique
class ClaimState(Enum):
    """State of a claim on an idempotency key, or the outcome of its booking."""

    CLAIMED = 'claimed'
    RELEASED = 'released'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@unique
class EventKind(Enum):
    """Kinds of event on the time line."""

    REQUEST = 'request'
    ANSWER = 'answer'
    ATTEMPT = 'attempt'
    HEDGE = 'hedge'
    REFUSAL = 'refusal'
    CONFIGURATION = 'configuration'
    MEMBERSHIP = 'membership'
    RAMP = 'ramp'
    DRAIN = 'drain'
    SEAT = 'seat'
    CLAIM = 'claim'
    SUSPICION = 'suspicion'


@unique
class SuspicionLevel(Enum):
    """Whether a request is suspected of crashing the upstreams that run it."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    BLOCKED = 'refused'


@unique
class ExtraSend(Enum):
    """Reason for sending a request to another upstream of the same service."""

    RETRY = 'retry'
    HEDGE = 'hedge'

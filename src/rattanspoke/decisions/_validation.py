"""Validate the values of records. All hosts come to the same result."""

from ..model import (
    IndexRecord,
    OrganisationRecord,
    Record,
    RecordError,
    SeatAssignmentRecord,
    ServiceRecord,
    UpstreamRecord,
    ZoneRecord,
)

MAX_SLOTS = 1024
MAX_CONNECTIONS = 65_536
DIGEST_LENGTH = 64  # hexadecimal digits of SHA-256


def check_record(record: Record) -> None:
    """Check that the values of a record are valid.

    Raises:
        RecordError: when a value is invalid; names the field and the reason.
    """
    match record:
        case UpstreamRecord():
            _check_upstream(record)
        case OrganisationRecord():
            _check_organisation(record)
        case IndexRecord():
            _check_index(record)
        case ZoneRecord() | ServiceRecord() | SeatAssignmentRecord():
            return


def _check_upstream(record: UpstreamRecord) -> None:
    _require(1 <= record.slots <= MAX_SLOTS, 'slots', f'must be 1 to {MAX_SLOTS}')
    _require(
        record.slots <= record.connections <= MAX_CONNECTIONS,
        'connections',
        'must be at least the number of slots',
    )
    _require(1 <= record.cold_slots <= record.slots, 'cold_slots', 'must be 1 to slots')
    _require(record.ramp >= 0, 'ramp', 'must not be negative')
    _require(record.batch >= 1, 'batch', 'must be at least 1')
    host, _, port = record.address.rpartition(':')
    _require(bool(host) and port.isdigit(), 'address', 'must be host:port')


def _check_organisation(record: OrganisationRecord) -> None:
    is_hexadecimal = set(record.token_digest) <= set('0123456789abcdef')
    _require(
        is_hexadecimal and len(record.token_digest) == DIGEST_LENGTH,
        'token_digest',
        'must be the SHA-256 of the token in lower-case hexadecimal',
    )
    _require(record.priority >= 0, 'priority', 'must not be negative')
    _require(record.queries_per_second > 0, 'queries_per_second', 'must be positive')
    _require(record.burst > 0, 'burst', 'must be positive')


def _check_index(record: IndexRecord) -> None:
    numbers = [each.version for each in record.versions]
    _require(len(set(numbers)) == len(numbers), 'versions', 'must not repeat a version')


def _require(condition: bool, field: str, reason: str) -> None:
    if not condition:
        raise RecordError(f'{field}: {reason}')

"""JSON encoding of records, record statuses and claims.

Older schema versions of a record are upgraded step by step when they are read; records
are always written in the newest version.
"""

from collections.abc import Callable
from dataclasses import fields
from typing import Any

import msgspec

from ..decisions import check_record
from ..model import (
    Baseline,
    ClaimEntry,
    CoverageFirst,
    IndexRecord,
    OrganisationRecord,
    Policy,
    Record,
    RecordError,
    RecordKind,
    RecordStatus,
    SeatAssignmentRecord,
    ServiceRecord,
    StoredObject,
    TailFirst,
    UpstreamRecord,
    ZoneRecord,
)
from ..platform import UnreadableJson, decode_json

JsonObject = dict[str, Any]

RECORD_TYPES: dict[RecordKind, type] = {
    RecordKind.ZONE: ZoneRecord,
    RecordKind.SERVICE: ServiceRecord,
    RecordKind.UPSTREAM: UpstreamRecord,
    RecordKind.ORGANISATION: OrganisationRecord,
    RecordKind.INDEX: IndexRecord,
    RecordKind.SEATS: SeatAssignmentRecord,
}
POLICY_TYPES: dict[str, type] = {
    'tail first': TailFirst,
    'coverage first': CoverageFirst,
    'baseline': Baseline,
}
# The value of a policy's `kind` field.
POLICY_NAMES = {policy: name for name, policy in POLICY_TYPES.items()}
# The schema version that is written, by kind of record.
NEWEST_SCHEMA = {kind: 1 for kind in RecordKind} | {RecordKind.ORGANISATION: 2}


class RecordCodec:
    """Decode every supported schema version of a record; encode the newest."""

    def decode_record(self, stored: StoredObject) -> Record:
        """Return the validated record in a stored object.

        Raises:
            RecordError: when the content is not valid; its text gives the field and
                the reason.
        """
        kind = RecordKind(stored.kind)
        form = _parse(stored.content or b'')
        return load_record(kind, stored.name, form)

    def encode_record(self, record: Record) -> bytes:
        """Return a record in its newest schema version, as the content of an object."""
        return msgspec.json.encode(dump_record(record))

    def encode_record_status(self, record_status: RecordStatus) -> bytes:
        """Return the content of the status object that operators read."""
        accepted = not record_status.reason
        return msgspec.json.encode(
            {'accepted': accepted, **msgspec.to_builtins(record_status)}
        )

    def decode_claims(self, content: bytes) -> dict[str, ClaimEntry]:
        """Return the claims in the content of a claim object.

        Raises:
            RecordError: when the content does not hold claims.
        """
        try:
            return decode_json(content, dict[str, ClaimEntry])
        except UnreadableJson as error:
            raise RecordError(str(error)) from error

    def encode_claims(self, claims: dict[str, ClaimEntry]) -> bytes:
        """Return claims as the content of a claim object."""
        return msgspec.json.encode(claims)


def load_record(kind: RecordKind, name: str, form: JsonObject) -> Record:
    """Return the validated record that a JSON object describes.

    Args:
        name: name of the stored object; it is the default of the record's name field
            and must be equal to it.
        form: the record's fields and its schema version.

    Raises:
        RecordError: when the record is not valid; its text gives the field and the
            reason.
    """
    form = _upgrade_schema(kind, dict(form))
    record_type = RECORD_TYPES[kind]
    form.setdefault(
        kind.value if kind in _KINDS_AS_NAME_FIELD else _OTHER_NAME_FIELDS[kind], name
    )
    unknown = set(form) - {field.name for field in fields(record_type)}
    if unknown:
        raise RecordError(f'{min(unknown)}: is not a field of {kind.value} records')
    if kind is RecordKind.ORGANISATION:
        return _validate_record(_read_organisation(form), name, kind)
    return _validate_record(_convert(form, record_type), name, kind)


def dump_record(record: Record) -> JsonObject:
    """Return a record as a JSON object in its newest schema version."""
    kind = next(kind for kind, each in RECORD_TYPES.items() if isinstance(record, each))
    form: JsonObject = msgspec.to_builtins(record)
    if isinstance(record, OrganisationRecord):
        form['policy'] = {
            'kind': POLICY_NAMES[type(record.policy)],
            **msgspec.to_builtins(record.policy),
        }
    return {'schema': NEWEST_SCHEMA[kind], **form}


# Kinds whose records hold their name in a field that is called like the kind.
_KINDS_AS_NAME_FIELD = frozenset(
    (RecordKind.ZONE, RecordKind.SERVICE, RecordKind.UPSTREAM, RecordKind.ORGANISATION)
)
_OTHER_NAME_FIELDS = {RecordKind.INDEX: 'service', RecordKind.SEATS: 'zone'}


def _parse(content: bytes) -> JsonObject:
    try:
        return decode_json(content, dict[str, Any])
    except UnreadableJson as error:
        raise RecordError(f'content: {error}') from error


def _upgrade_schema(kind: RecordKind, form: JsonObject) -> JsonObject:
    schema = form.pop('schema', None)
    newest = NEWEST_SCHEMA[kind]
    if not isinstance(schema, int) or not 1 <= schema <= newest:
        raise RecordError(f'schema: must be 1 to {newest}, is {schema!r}')
    for version in range(schema, newest):
        form = _UPGRADES[kind, version](form)
    return form


def _upgrade_organisation(form: JsonObject) -> JsonObject:
    """Upgrade an organisation from schema 1 to schema 2.

    Schema 1 only says whether tail latency or coverage matters more (`weighs`);
    schema 2 holds the policy itself.
    """
    weighs = form.pop('weighs', 'coverage')
    if weighs not in {'tail', 'coverage'}:
        raise RecordError(f'weighs: must be tail or coverage, is {weighs!r}')
    return form | {'policy': {'kind': f'{weighs} first'}}


_UPGRADES: dict[tuple[RecordKind, int], Callable[[JsonObject], JsonObject]] = {
    (RecordKind.ORGANISATION, 1): _upgrade_organisation,
}


def _read_organisation(form: JsonObject) -> OrganisationRecord:
    policy = _read_policy(form.pop('policy', {'kind': 'coverage first'}))
    converted = _convert(form, _OrganisationForm)
    values = {name: getattr(converted, name) for name in converted.__struct_fields__}
    return OrganisationRecord(policy=policy, **values)


def _read_policy(form: Any) -> Policy:
    if not isinstance(form, dict) or form.get('kind') not in POLICY_TYPES:
        raise RecordError(f'policy.kind: must be one of {", ".join(POLICY_TYPES)}')
    values = {name: each for name, each in form.items() if name != 'kind'}
    policy_type = POLICY_TYPES[form['kind']]
    unknown = set(values) - {field.name for field in fields(policy_type)}
    if unknown:
        raise RecordError(f'policy.{min(unknown)}: is not a field of this policy')
    policy: Policy = _convert(values, policy_type, 'policy.')
    return policy


def _convert(form: JsonObject, record_type: type, prefix: str = '') -> Any:
    try:
        return msgspec.convert(form, record_type)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(' - at `$')
        field = path.strip('.`') or 'record'
        raise RecordError(f'{prefix}{field}: {reason}') from error


def _validate_record(record: Record, name: str, kind: RecordKind) -> Record:
    name_in_record = getattr(
        record, kind.value if kind in _KINDS_AS_NAME_FIELD else _OTHER_NAME_FIELDS[kind]
    )
    if name_in_record != name:
        raise RecordError(
            f'{kind.value}: is {name_in_record!r} in an object named {name!r}'
        )
    check_record(record)
    return record


# An organisation record without its policy, which is read separately: msgspec cannot
# decode a union of dataclasses.
_OrganisationForm = msgspec.defstruct(
    'OrganisationForm',
    [
        (field.name, field.type)
        if field.name in {'organisation', 'token_digest'}
        else (field.name, field.type, field.default)
        for field in fields(OrganisationRecord)
        if field.name != 'policy'
    ],
)

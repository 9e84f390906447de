"""Read and format record files: objects with kind, name and spec in commented JSON."""

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import pyjson5

from ..model import Record, RecordError, RecordKind, Revision
from ..transports import dump_record, load_record

RECORD_KEYS = frozenset(('kind', 'name', 'spec', 'revision'))


@dataclass(frozen=True, slots=True, kw_only=True)
class DeclaredRecord:
    """A record as declared in a file.

    Attributes:
        kind: the kind of the record.
        name: the name of the record, unique within its kind.
        spec: the content of the record as decoded from the file.
        record: the same content, validated and converted.
        revision: the revision that the declaration replaces, None if not stated.
    """

    kind: RecordKind
    name: str
    spec: dict[str, Any]
    record: Record
    revision: Revision | None = None

    @property
    def content(self) -> bytes:
        """The encoded content to write, in the schema version of the file."""
        return msgspec.json.encode(self.spec)


def load_records(path: Path) -> list[DeclaredRecord]:
    """Read the records of a file.

    Raises:
        RecordError: the file cannot be read or a record is not valid. The message
            names the file, and where they are known the line, the record, the field
            and the reason.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        raise RecordError(f'{path}: {error.strerror}') from error
    return parse_records(text, str(path))


def parse_records(text: str, source: str) -> list[DeclaredRecord]:
    """Parse records from the text of a file.

    Args:
        text: one record or a list of records, in JSON with comments.
        source: the name of the file, for error messages.

    Raises:
        RecordError: the text or a record is not valid. The message names the source,
            and where they are known the line, the record, the field and the reason.
    """
    try:
        entries = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        line = _find_syntax_line(text, str(error))
        raise RecordError(
            f'{source}:{line}: is not JSON with comments: {error}'
        ) from error
    if not isinstance(entries, list):
        entries = [entries]
    return [
        _parse_entry(decoded, text, source, number)
        for number, decoded in enumerate(entries, 1)
    ]


def format_record(kind: RecordKind, name: str, revision: int, record: Record) -> str:
    """Return a record as text that the command `apply` accepts."""
    declaration = {
        'kind': kind.value,
        'name': name,
        'revision': revision,
        'spec': dump_record(record),
    }
    return msgspec.json.format(msgspec.json.encode(declaration), indent=2).decode()


def _parse_entry(decoded: Any, text: str, source: str, number: int) -> DeclaredRecord:
    if not isinstance(decoded, dict) or not RECORD_KEYS.issuperset(decoded):
        raise RecordError(
            f'{source}: record {number}: must be an object with no other fields than'
            f' {sorted(RECORD_KEYS)}'
        )
    name, spec = str(decoded.get('name', '')), decoded.get('spec')
    try:
        kind = RecordKind(decoded.get('kind'))
    except ValueError as error:
        line = find_line(text, name, 'kind')
        raise RecordError(f'{source}:{line}: {name}: kind: {error}') from error
    if not name or not isinstance(spec, dict):
        raise RecordError(f'{source}: record {number}: name and spec are required')
    try:
        record = load_record(kind, name, spec)
    except RecordError as error:
        field = str(error).partition(':')[0]
        line = find_line(text, name, field)
        raise RecordError(f'{source}:{line}: {kind.value}/{name}: {error}') from error
    revision = decoded.get('revision')
    return DeclaredRecord(
        kind=kind,
        name=name,
        spec=spec,
        record=record,
        revision=None if revision is None else Revision(int(revision)),
    )


def find_line(text: str, name: str, field: str) -> int:
    """Return the number of the line that holds a field of a record.

    Args:
        text: the text of the file.
        name: the name of the record.
        field: the path of the field, of which only the last part is searched.

    Returns:
        The line of the field; the line of the record's name if the field is not found;
        1 if the name is not found either.
    """
    lines = text.splitlines()
    key = field.rpartition('.')[2]
    name_pattern = re.compile(rf'["\']?name["\']?\s*:\s*["\']{re.escape(name)}["\']')
    start = next(
        (number for number, line in enumerate(lines) if name_pattern.search(line)), 0
    )
    field_pattern = re.compile(rf'["\']?\b{re.escape(key)}\b["\']?\s*:')
    for number, line in enumerate(lines[start:], start):
        if number > start and re.search(r'["\']?name["\']?\s*:', line):
            break
        if field_pattern.search(line):
            return number + 1
    return start + 1


def _find_syntax_line(text: str, reason: str) -> int:
    """Return the line of the character position in an error message of pyjson5."""
    found = re.search(r'near (\d+)', reason)
    position = int(found.group(1)) if found else 0
    return text.count('\n', 0, position) + 1

"""Files of records: objects with kind, name and spec, in JSON with comments."""

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import pyjson5

from ..model import Record, RecordError, RecordKind, Revision
from ..transports import dump_record, load_record

FIELDS = frozenset(('kind', 'name', 'spec', 'revision'))


@dataclass(frozen=True, slots=True, kw_only=True)
class Declared:
    """A record as a file declares it.

    Attributes:
        revision: the revision that the declaration replaces, None if not stated.
    """

    kind: RecordKind
    name: str
    spec: dict[str, Any]
    record: Record
    revision: Revision | None = None

    @property
    def content(self) -> bytes:
        """The content to write, in the schema version of the file."""
        return msgspec.json.encode(self.spec)


def load_records(path: Path) -> list[Declared]:
    """Return the records of a file.

    Raises:
        RecordError: which names the file, the line, the record, the field and why.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        raise RecordError(f'{path}: {error.strerror}') from error
    return parse_records(text, str(path))


def parse_records(text: str, source: str) -> list[Declared]:
    """Return the records of a text.

    Raises:
        RecordError: which names the source, the line, the record, the field and why.
    """
    try:
        forms = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        line = _find_syntax_line(text, str(error))
        raise RecordError(f'{source}:{line}: does not parse: {error}') from error
    if not isinstance(forms, list):
        forms = [forms]
    return [_read(form, text, source, number) for number, form in enumerate(forms, 1)]


def write_declared(kind: RecordKind, name: str, revision: int, record: Record) -> str:
    """Return a declaration that `apply` takes back."""
    form = {
        'kind': kind.value,
        'name': name,
        'revision': revision,
        'spec': dump_record(record),
    }
    return msgspec.json.format(msgspec.json.encode(form), indent=2).decode()


def _read(form: Any, text: str, source: str, number: int) -> Declared:
    if not isinstance(form, dict) or not FIELDS.issuperset(form):
        raise RecordError(
            f'{source}: record {number}: has other fields than {sorted(FIELDS)}'
        )
    name, spec = str(form.get('name', '')), form.get('spec')
    try:
        kind = RecordKind(form.get('kind'))
    except ValueError as error:
        line = find_line(text, name, 'kind')
        raise RecordError(f'{source}:{line}: {name}: kind: {error}') from error
    if not name or not isinstance(spec, dict):
        raise RecordError(f'{source}: record {number}: name and spec are needed')
    try:
        record = load_record(kind, name, spec)
    except RecordError as error:
        field = str(error).partition(':')[0]
        line = find_line(text, name, field)
        raise RecordError(f'{source}:{line}: {kind.value}/{name}: {error}') from error
    revision = form.get('revision')
    return Declared(
        kind=kind,
        name=name,
        spec=spec,
        record=record,
        revision=None if revision is None else Revision(int(revision)),
    )


def find_line(text: str, name: str, field: str) -> int:
    """Return the line on which a record's field stands, else that of its name."""
    lines = text.splitlines()
    last = field.rpartition('.')[2]
    named = re.compile(rf'["\']?name["\']?\s*:\s*["\']{re.escape(name)}["\']')
    start = next((number for number, line in enumerate(lines) if named.search(line)), 0)
    wanted = re.compile(rf'["\']?\b{re.escape(last)}\b["\']?\s*:')
    for number, line in enumerate(lines[start:], start):
        if number > start and re.search(r'["\']?name["\']?\s*:', line):
            break
        if wanted.search(line):
            return number + 1
    return start + 1


def _find_syntax_line(text: str, reason: str) -> int:
    """Return the line of the character that a parser's message counts to."""
    found = re.search(r'near (\d+)', reason)
    position = int(found.group(1)) if found else 0
    return text.count('\n', 0, position) + 1

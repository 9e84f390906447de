"""Read and write records in the store of the platform, with compare-and-set."""

import asyncio
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from .._exit_codes import ExitCode
from ..model import (
    NO_REVISION,
    PlatformConflict,
    PlatformError,
    PlatformReplyLost,
    RecordError,
    RecordKind,
    Revision,
)
from ..platform import HttpStore
from ..services import HostCounters
from ..transports import HttpRecordStore, RecordCodec, RecordStore
from ._files import DeclaredRecord, format_record, load_records

PLATFORM_OPTION = option(
    'platform',
    'p',
    'The base URL of the platform.',
    flag=False,
    default='http://127.0.0.1:9000',
)


class GetCommand(Command):
    """Print a record with its revision, in the format that the command apply reads."""

    name = 'get'
    description = 'Prints a record with its revision.'
    arguments = [
        argument('kind', 'zone, service, upstream, organisation, index or seats.'),
        argument('name', 'The name of the record.'),
    ]
    options = [PLATFORM_OPTION]

    def handle(self) -> int:
        """Read the record and print it."""
        try:
            self.line(asyncio.run(self._get()))
        except (PlatformError, RecordError, ValueError) as error:
            self.line_error(str(error), style='error')
            return ExitCode.FAILED
        return ExitCode.OK

    async def _get(self) -> str:
        kind = RecordKind(self.argument('kind'))
        name = self.argument('name')
        async with open_records(self.option('platform')) as platform:
            stored = await platform.read(kind.value, name)
        if stored is None or stored.content is None:
            raise RecordError(f'{kind.value}/{name}: does not exist')
        record = RecordCodec().decode_record(stored)
        return format_record(kind, name, stored.revision, record)


class ApplyCommand(Command):
    """Write the records of files, each only if no other writer has changed it."""

    name = 'apply'
    description = 'Validates all records, then writes each with compare-and-set.'
    arguments = [argument('files', 'Files of records.', multiple=True)]
    options = [PLATFORM_OPTION]

    def handle(self) -> int:
        """Validate every file, then write the records one after another."""
        try:
            declared = [
                each
                for name in self.argument('files')
                for each in load_records(Path(name))
            ]
        except RecordError as error:
            self.line_error(str(error), style='error')
            return ExitCode.INVALID
        return asyncio.run(self._apply(declared))

    async def _apply(self, declared: list[DeclaredRecord]) -> int:
        code = ExitCode.OK
        async with open_records(self.option('platform')) as platform:
            for each in declared:
                name = f'{each.kind.value}/{each.name}'
                try:
                    self.line(f'{name}: {await apply_record(platform, each)}')
                except PlatformConflict:
                    self.line_error(
                        f'{name}: was changed by another writer', style='error'
                    )
                    code = ExitCode.CONFLICT
                except PlatformError as error:
                    self.line_error(f'{name}: not written: {error}', style='error')
                    return ExitCode.FAILED
        return code


def open_records(platform: str) -> HttpRecordStore:
    """Return a client of the record store; entering it opens the connection.

    Args:
        platform: the base URL of the platform.
    """
    return HttpRecordStore(HttpStore(platform, HostCounters()))


async def apply_record(platform: RecordStore, declared: DeclaredRecord) -> str:
    """Write a record unless the store already has the same content.

    Returns:
        A text for the user: whether the record was written, and its revision.

    Raises:
        PlatformConflict: the stored record does not have the revision that the
            declaration states, or was changed between the read and the write.
        PlatformError: the platform could not be reached or refused the call.
    """
    kind, name = declared.kind.value, declared.name
    stored = await platform.read(kind, name)
    current = NO_REVISION if stored is None else stored.revision
    if stored is not None and stored.content == declared.content:
        return f'unchanged at revision {current}'
    expected = current if declared.revision is None else declared.revision
    try:
        written = await platform.write(kind, name, declared.content, expected)
    except PlatformReplyLost:
        written = await _confirm_write(platform, declared)
    return f'written at revision {written}'


async def _confirm_write(platform: RecordStore, declared: DeclaredRecord) -> Revision:
    """Return the revision of a write whose reply was lost, if it took effect.

    Raises:
        PlatformConflict: the stored content is not the one that was written.
    """
    stored = await platform.read(declared.kind.value, declared.name)
    if stored is None or stored.content != declared.content:
        raise PlatformConflict(declared.name)
    return stored.revision

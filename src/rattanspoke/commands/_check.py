"""Check settings and records without touching anything."""

from pathlib import Path

import pyjson5
from cleo.commands.command import Command
from cleo.helpers import argument

from .._settings import load_settings
from ..model import RecordError, SettingsError
from ._codes import ExitCode
from ._files import load_records


class CheckCommand(Command):
    """Check files of settings or records."""

    name = 'check'
    description = 'Checks settings and record files; names the key and the reason.'
    arguments = [argument('files', 'Files to check.', multiple=True)]

    def handle(self) -> int:
        """Check every file and report each that is not valid."""
        code = ExitCode.OK
        for name in self.argument('files'):
            try:
                self.line(f'{name}: {describe_file(Path(name))}')
            except (SettingsError, RecordError) as error:
                self.line_error(str(error), style='error')
                code = ExitCode.INVALID
        return code


def describe_file(path: Path) -> str:
    """Check a file and say what it holds.

    Raises:
        SettingsError: when settings are not valid.
        RecordError: when a record is not valid.
    """
    if _is_settings_file(path):
        settings = load_settings(path)
        return f'settings of host {settings.host} in {settings.zone}'
    return f'{len(load_records(path))} records'


def _is_settings_file(path: Path) -> bool:
    try:
        decoded = pyjson5.decode(path.read_text(encoding='utf-8'))
    except (OSError, pyjson5.Json5Exception):
        return False
    return isinstance(decoded, dict) and 'kind' not in decoded

"""Validate files of settings or records without contacting a host or the platform."""

from pathlib import Path

import pyjson5
from cleo.commands.command import Command
from cleo.helpers import argument

from .._exit_codes import ExitCode
from .._settings import load_settings
from ..model import RecordError, SettingsError
from ._files import load_records


class CheckCommand(Command):
    """Validate files of settings or records."""

    name = 'check'
    description = 'Validates settings and record files; prints each error with its key.'
    arguments = [argument('files', 'Files to validate.', multiple=True)]

    def handle(self) -> int:
        """Validate every file and print the error of each that is not valid."""
        code = ExitCode.OK
        for name in self.argument('files'):
            try:
                self.line(f'{name}: {describe_file(Path(name))}')
            except (SettingsError, RecordError) as error:
                self.line_error(str(error), style='error')
                code = ExitCode.INVALID
        return code


def describe_file(path: Path) -> str:
    """Validate a file and return a short summary of its content.

    Raises:
        SettingsError: the file holds settings that are not valid.
        RecordError: the file holds a record that is not valid, or cannot be read.
    """
    if _is_settings_file(path):
        settings = load_settings(path)
        return f'settings of host {settings.host} in {settings.zone}'
    return f'{len(load_records(path))} records'


def _is_settings_file(path: Path) -> bool:
    """Return whether a file holds settings: an object without the key kind."""
    try:
        decoded = pyjson5.decode(path.read_text(encoding='utf-8'))
    except (OSError, pyjson5.Json5Exception):
        return False
    return isinstance(decoded, dict) and 'kind' not in decoded

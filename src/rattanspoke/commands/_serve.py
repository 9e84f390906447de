"""Run one host."""

import asyncio
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from .._exit_codes import ExitCode
from .._process import run_host
from .._settings import load_settings
from ..model import SettingsError
from ..observability import configure_logs


class ServeCommand(Command):
    """Run one host until SIGTERM or SIGINT, then drain it."""

    name = 'serve'
    description = 'Runs one host until SIGTERM; work in flight is then completed.'
    arguments = [argument('settings', 'A settings file, in JSON with comments.')]

    def handle(self) -> int:
        """Load the settings and run the host."""
        try:
            settings = load_settings(Path(self.argument('settings')))
        except SettingsError as error:
            self.line_error(str(error), style='error')
            return ExitCode.INVALID
        configure_logs(settings.log_level)
        drained = asyncio.run(run_host(settings))
        return ExitCode.OK if drained else ExitCode.FAILED

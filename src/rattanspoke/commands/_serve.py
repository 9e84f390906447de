"""Run one host."""

import asyncio
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from .._process import run_host
from .._settings import load_settings
from ..model import SettingsError
from ..observability import configure_logs
from ._codes import ExitCode


class ServeCommand(Command):
    """Run one host until it is told to stop."""

    name = 'serve'
    description = 'Runs one host until SIGTERM, which it ends without cutting work.'
    arguments = [argument('settings', 'A file of settings in JSON with comments.')]

    def handle(self) -> int:
        """Check the settings and serve."""
        try:
            settings = load_settings(Path(self.argument('settings')))
        except SettingsError as error:
            self.line_error(str(error), style='error')
            return ExitCode.INVALID
        configure_logs(settings.log_level)
        drained = asyncio.run(run_host(settings))
        return ExitCode.OK if drained else ExitCode.FAILED

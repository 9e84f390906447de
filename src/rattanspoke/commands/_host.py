"""Run one host on the users' platform."""

import faulthandler
import os
import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from .._edge_process import run_edge
from ..model import SettingsError
from ..observability import configure_logs
from ..platform import SETTINGS_VARIABLE, load_host_settings
from ._codes import ExitCode


class HostCommand(Command):
    """Run one host on the users' platform until SIGTERM or SIGINT."""

    name = 'host'
    description = "Runs one host on the users' platform until SIGTERM."
    arguments = [
        argument(
            'settings',
            f'The settings file of the platform; default: ${SETTINGS_VARIABLE}.',
            optional=True,
        )
    ]

    def handle(self) -> int:
        """Load the settings and run the host."""
        named = self.argument('settings') or os.environ.get(SETTINGS_VARIABLE, '')
        path = Path(named)
        try:
            settings = load_host_settings(path)
        except SettingsError as error:
            self.line_error(str(error), style='error')
            return ExitCode.INVALID
        configure_logs('info', sys.stdout)
        faulthandler.enable()  # prints a traceback to stderr if native code crashes
        return ExitCode.OK if run_edge(path, settings) else ExitCode.FAILED

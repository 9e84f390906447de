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
    """Run one host on the platform until it is told to stop."""

    name = 'host'
    description = "Runs one host on the users' platform until SIGTERM."
    arguments = [
        argument(
            'settings',
            f"The platform's settings file; {SETTINGS_VARIABLE} names it otherwise.",
            optional=True,
        )
    ]

    def handle(self) -> int:
        """Check the settings and serve."""
        named = self.argument('settings') or os.environ.get(SETTINGS_VARIABLE, '')
        path = Path(named)
        try:
            settings = load_host_settings(path)
        except SettingsError as error:
            self.line_error(str(error), style='error')
            return ExitCode.INVALID
        configure_logs('info', sys.stdout)
        faulthandler.enable()  # a fault in native code leaves a trace on stderr
        return ExitCode.OK if run_edge(path, settings) else ExitCode.FAILED

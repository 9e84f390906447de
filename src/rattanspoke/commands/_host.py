"""Run one host on the users' platform."""

import os
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from .._platform_host import run_platform_host
from ..platform import SETTINGS_VARIABLE


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
        return run_platform_host(
            Path(named), lambda reason: self.line_error(reason, style='error')
        )

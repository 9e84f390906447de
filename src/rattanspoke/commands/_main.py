"""The application that holds every command; each is imported when it is used."""

import logging
import sys
from collections.abc import Callable
from importlib import import_module

from cleo.application import Application
from cleo.commands.command import Command
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from .. import __version__

# A host imports only what it runs: the module and the class of each command.
COMMANDS = {
    'host': ('_host', 'HostCommand'),
    'serve': ('_serve', 'ServeCommand'),
    'check': ('_check', 'CheckCommand'),
    'get': ('_configure', 'GetCommand'),
    'apply': ('_configure', 'ApplyCommand'),
    'status': ('_inspect', 'StatusCommand'),
    'timeline': ('_inspect', 'TimelineCommand'),
    'demo': ('_demo', 'DemoCommand'),
    'standins': ('_standins', 'StandinsCommand'),
    'bench': ('_bench', 'BenchCommand'),
}


def main() -> None:
    """Run the command that the arguments name and exit with its code."""
    logging.basicConfig(level=logging.WARNING)
    application = Application('rattanspoke', __version__)
    application.set_command_loader(
        FactoryCommandLoader({name: _make_factory(name) for name in COMMANDS})
    )
    sys.exit(application.run())


def _make_factory(name: str) -> Callable[[], Command]:
    module, command = COMMANDS[name]

    def create_command() -> Command:
        instance: Command = getattr(import_module(f'{__package__}.{module}'), command)()
        return instance

    return create_command

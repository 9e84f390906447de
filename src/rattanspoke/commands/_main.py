"""The command-line application; it imports a command only when that is used."""

import logging
import sys
from collections.abc import Callable
from importlib import import_module, metadata

from cleo.application import Application
from cleo.commands.command import Command
from cleo.loaders.factory_command_loader import FactoryCommandLoader

# The module and the class of each command. A command is imported on use, so that a host
# does not load the code of the others.
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
    """Run the command that the arguments select and exit with its exit code."""
    logging.basicConfig(level=logging.WARNING)
    application = Application('rattanspoke', _read_version())
    application.set_command_loader(
        FactoryCommandLoader({name: _make_factory(name) for name in COMMANDS})
    )
    sys.exit(application.run())


def _read_version() -> str:
    try:
        return metadata.version('rattanspoke')
    except metadata.PackageNotFoundError:
        return 'unknown'


def _make_factory(name: str) -> Callable[[], Command]:
    """Return a function that imports and creates a command."""
    module, command = COMMANDS[name]

    def create_command() -> Command:
        instance: Command = getattr(import_module(f'{__package__}.{module}'), command)()
        return instance

    return create_command

"""Run a host with a settings file of the users' platform."""

import faulthandler
import logging
import os
import sys
from collections.abc import Callable
from pathlib import Path

from ._edge_process import run_edge
from ._exit_codes import ExitCode
from .model import SettingsError
from .observability import configure_logs
from .platform import SETTINGS_VARIABLE, load_host_settings


def run_platform_host(path: Path, report_error: Callable[[str], object]) -> ExitCode:
    """Run one host on the users' platform until SIGTERM or SIGINT.

    Args:
        path: the platform's settings file.
        report_error: is called with the reason when the settings are not valid.
    """
    try:
        settings = load_host_settings(path)
    except SettingsError as error:
        report_error(str(error))
        return ExitCode.INVALID
    configure_logs('info', sys.stdout)
    faulthandler.enable()  # prints a traceback to stderr if native code crashes
    return ExitCode.OK if run_edge(path, settings) else ExitCode.FAILED


def main() -> None:
    """Run a host with the settings file that the environment names, then exit."""
    logging.basicConfig(level=logging.WARNING)
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    sys.exit(run_platform_host(path, lambda reason: sys.stderr.write(f'{reason}\n')))

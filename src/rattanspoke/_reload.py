"""Reload the settings file while a host runs, on SIGHUP and when the file changes."""

import asyncio
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from typing import NoReturn

import structlog

from .model import Seconds, SettingsError
from .platform import HostSettings, load_host_settings

# The file may change without a SIGHUP, and its rules must apply within a few seconds.
POLL_INTERVAL = Seconds(1)
# Fields that apply only at the next start: the addresses on which the host listens, the
# name, zone and address under which other hosts know it, the address of the store, and
# whether the whole system starts for the first time.
FIXED_UNTIL_RESTART = frozenset(
    ('name', 'zone', 'host', 'callers', 'probes', 'store', 'is_first_start')
)


class SettingsReload:
    """Reload a settings file and apply what changed.

    Args:
        path: the settings file.
        settings: the settings in force.
        apply: called with the settings after each successful reload.
    """

    def __init__(
        self,
        path: Path,
        settings: HostSettings,
        apply: Callable[[HostSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._last_signature = _read_signature(path)
        self._log = structlog.get_logger()

    async def poll(self) -> NoReturn:
        """Poll the file for changes until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            signature = _read_signature(self._path)
            if signature is not None and signature != self._last_signature:
                self.reload('file changed')

    def reload(self, cause: str = 'signal') -> None:
        """Apply the settings in the file; keep the current ones if they are not valid.

        Args:
            cause: what triggered the reload, for the log.
        """
        self._last_signature = _read_signature(self._path)
        try:
            settings = load_host_settings(self._path)
        except SettingsError as error:
            self._log.warning('settings not reloaded', cause=cause, reason=str(error))
            return
        changed = [
            field.name
            for field in fields(HostSettings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        ]
        self._log.info(
            'settings reloaded',
            cause=cause,
            changed=sorted(set(changed) - FIXED_UNTIL_RESTART),
            at_next_start=sorted(FIXED_UNTIL_RESTART.intersection(changed)),
        )
        self._settings = settings
        self._apply(settings)


def _read_signature(path: Path) -> tuple[int, int, int] | None:
    """Return modification time in nanoseconds, size and inode number of a file.

    The result is None if the file does not exist, as for a moment while it is replaced.
    """
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino

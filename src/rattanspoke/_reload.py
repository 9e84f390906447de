"""Settings that change while a host runs, with or without a signal."""

import asyncio
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

import structlog

from .model import Seconds, SettingsError
from .platform import HostSettings, load_host_settings

# Settings may change without a signal; rules are to hold within a few seconds.
POLL_INTERVAL = Seconds(1)
# What a host listens on, or made itself known by, holds until its next start.
FIXED_UNTIL_RESTART = frozenset(
    ('name', 'zone', 'host', 'callers', 'probes', 'store', 'is_first_start')
)


class SettingsReload:
    """Read the settings file again when it has changed, or when asked to."""

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

    async def run(self) -> None:
        """Look for changes until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            signature = _read_signature(self._path)
            if signature is not None and signature != self._last_signature:
                self.reload('file changed')

    def reload(self, cause: str = 'signal') -> None:
        """Put what changed in force; keep what holds if the file cannot be read."""
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
    """Return what differs once a file has changed, None while it is being replaced."""
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino

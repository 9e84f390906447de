"""Settings of one host: JSON with comments, checked before anything starts."""

from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import msgspec
import pyjson5

from .model import HostId, SettingsError, ZoneId

MAX_PORT = 65_535
LOG_LEVELS = ('debug', 'info', 'warning', 'error')


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """What a host cannot learn from records.

    Attributes:
        host: the address on which peers reach this host, as host:port.
        zone: the availability zone that this host is in.
        listen: the address for callers and operators, as host:port.
        platform: the base URL of the platform's object API.
        seed: of the random choices that spread load; 0 draws one at each start.
        log_level: the least severe line that is logged.
        max_body: bytes of a caller's request at most.
        leave_wait: seconds for which a balancer may still send requests after the
            host reports that it is leaving.
    """

    host: HostId
    zone: ZoneId
    listen: str
    platform: str
    seed: int = 0
    log_level: str = 'info'
    max_body: int = 65_536
    leave_wait: float = 2


def load_settings(path: Path) -> Settings:
    """Return the settings of a file.

    Raises:
        SettingsError: which names the file, the key and the reason.
    """
    try:
        decoded = pyjson5.decode(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    except pyjson5.Json5Exception as error:
        raise SettingsError(f'{path}: is not JSON with comments: {error}') from error
    try:
        return read_settings(decoded)
    except SettingsError as error:
        raise SettingsError(f'{path}: {error}') from error


def read_settings(decoded: Any) -> Settings:
    """Return the settings of a parsed form.

    Raises:
        SettingsError: which names the key and the reason.
    """
    if not isinstance(decoded, dict):
        raise SettingsError('settings must be an object')
    unknown = set(decoded) - {field.name for field in fields(Settings)}
    if unknown:
        raise SettingsError(f'{min(unknown)}: is not a setting')
    try:
        settings = msgspec.convert(decoded, Settings)
    except msgspec.ValidationError as error:
        reason, _, key = str(error).partition(' - at `$')
        raise SettingsError(f'{key.strip(".`") or "settings"}: {reason}') from error
    _check(settings)
    return settings


def _check(settings: Settings) -> None:
    for key in ('host', 'listen'):
        _check_address(key, getattr(settings, key))
    if not settings.zone:
        raise SettingsError('zone: must not be empty')
    if not settings.platform.startswith(('http://', 'https://')):
        raise SettingsError('platform: must be an http or https URL')
    if settings.log_level not in LOG_LEVELS:
        raise SettingsError(f'log_level: must be one of {", ".join(LOG_LEVELS)}')
    if settings.max_body <= 0:
        raise SettingsError('max_body: must be positive')
    if settings.leave_wait < 0:
        raise SettingsError('leave_wait: must not be negative')


def _check_address(key: str, address: str) -> None:
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f'{key}: must be host:port, is {address!r}')

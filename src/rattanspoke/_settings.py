"""Settings of a host, read from JSON with comments and validated before it starts."""

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
    """Settings of one host that are not part of the records on the platform.

    Attributes:
        host: the address on which peers reach this host, as host:port.
        zone: the availability zone of this host.
        listen: the address for callers and operators, as host:port.
        platform: the base URL of the platform's object API.
        seed: the seed of the random choices that spread load; 0 selects a random seed
            at each start.
        log_level: the lowest level of the lines that are logged.
        max_body: the maximum size of the body of a caller's request, in bytes.
        leave_wait: seconds for which the host still accepts requests after it reports
            that it is leaving, because the load balancer may still send some.
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
    """Read and validate a settings file.

    Raises:
        SettingsError: the file cannot be read or a setting is not valid. The message
            names the file, the key and the reason.
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
    """Validate decoded settings.

    Args:
        decoded: the value that the settings file holds.

    Raises:
        SettingsError: a setting is not valid. The message names the key and the reason.
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

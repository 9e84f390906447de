"""Settings file of the platform: lines of `name=value`, lists separated by commas."""

import math
from dataclasses import dataclass
from pathlib import Path

from ..model import MS_PER_SECOND, HostId, Seconds, SettingsError, ZoneId

SETTINGS_VARIABLE = 'RATTANSPOKE_CONFIG'
FLAG_ON, FLAG_OFF = 'true', 'false'


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """Settings of one host, read from the platform's settings file.

    Attributes:
        name: the host's name, unique among the hosts.
        zone: the availability zone in which the host runs.
        regions: the region of every availability zone.
        host: the address on which other hosts reach this one, as host:port.
        seeds: addresses of hosts to contact first, as host:port; some may be down.
        callers: the address that listens for callers, as host:port.
        probes: the address that listens for the load balancer's readiness probes, as
            host:port.
        store: the address of the platform's store, as host:port.
        drain_time: seconds after which a draining upstream receives no more requests.
        is_first_start: whether the whole system starts for the first time, so that no
            earlier incarnation of a host can have used up a retry budget.
        grace: seconds between SIGTERM and SIGKILL.
        retry_ratio: extra sends (hedges and retries) allowed to a service for each of
            its requests, over all hosts.
        retry_slack: extra sends allowed to a service in each window in addition, over
            all hosts.
        retry_window: the length of that window in seconds.
        cold_factor: rate that a cold upstream may receive, as a multiple of the rate
            that its service declares for cold upstreams.
        cold_slack: requests a second that it may receive in addition.
    """

    name: str
    zone: ZoneId
    regions: dict[ZoneId, str]
    host: HostId
    seeds: tuple[HostId, ...]
    callers: str
    probes: str
    store: str
    drain_time: Seconds
    is_first_start: bool
    grace: Seconds
    retry_ratio: float
    retry_slack: float
    retry_window: Seconds
    cold_factor: float
    cold_slack: float


def load_host_settings(path: Path) -> HostSettings:
    """Return the settings of a file.

    Raises:
        SettingsError: when the file cannot be read or a value is missing or malformed;
            the message names the file, the key and the reason.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from error
    try:
        return _read_settings(_SettingsValues(text))
    except SettingsError as error:
        raise SettingsError(f'{path}: {error}') from error


class _SettingsValues:
    """Values of a settings file by name, with conversions to their types."""

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        for number, line in enumerate(text.splitlines(), 1):
            name, separator, value = line.partition('=')
            if not separator and line.strip():
                raise SettingsError(f'line {number}: {line!r} is not name=value')
            self._values[name.strip()] = value.strip()

    def text(self, name: str) -> str:
        """Return a value; raises SettingsError when it is missing."""
        value = self._values.get(name, '')
        if not value:
            raise SettingsError(f'{name}: is missing')
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number from zero, or the default, if any, when it is missing."""
        if default is not None and not self._values.get(name):
            return default
        value = self.text(name)
        try:
            number = float(value)
        except ValueError as error:
            raise SettingsError(f'{name}: {value!r} is not a number') from error
        if not math.isfinite(number) or number < 0:
            raise SettingsError(f'{name}: {value!r} is not a finite number from zero')
        return number

    def milliseconds(self, name: str, default: float) -> Seconds:
        """Return in seconds a duration that the file states in milliseconds."""
        return Seconds(self.number(name, default) / MS_PER_SECOND)

    def flag(self, name: str) -> bool:
        """Return a boolean, False when it is missing."""
        value = self._values.get(name, FLAG_OFF)
        if value not in {FLAG_OFF, FLAG_ON}:
            raise SettingsError(f'{name}: {value!r} is neither true nor false')
        return value == FLAG_ON

    def addresses(self, name: str) -> tuple[str, ...]:
        """Return a list of addresses, empty when it is missing."""
        return tuple(each for each in self._values.get(name, '').split(',') if each)

    def table(self, prefix: str) -> dict[str, str]:
        """Return the values whose names begin with a prefix and a dot."""
        dotted_prefix = f'{prefix}.'
        return {
            name.removeprefix(dotted_prefix): value
            for name, value in self._values.items()
            if name.startswith(dotted_prefix)
        }


def _read_settings(values: _SettingsValues) -> HostSettings:
    regions = values.table('zones')
    return HostSettings(
        name=values.text('node'),
        zone=ZoneId(values.text('zone')),
        regions={ZoneId(zone): region for zone, region in regions.items()},
        host=HostId(values.text('listen.control')),
        seeds=tuple(HostId(each) for each in values.addresses('seeds')),
        callers=values.text('listen.front'),
        probes=values.text('listen.ready'),
        store=values.text('platform.address'),
        drain_time=values.milliseconds('bounds.drainMs', 3000),
        is_first_start=values.flag('bootstrap'),
        grace=Seconds(values.number('bounds.graceS', 6)),
        retry_ratio=values.number('bounds.retryBudgetRatio', 0.2),
        retry_slack=values.number('bounds.budgetExtraRetries', 0),
        retry_window=Seconds(max(1, values.number('bounds.budgetWindowS', 10))),
        cold_factor=values.number('bounds.warmupFactor', 1),
        cold_slack=values.number('bounds.warmupSlack', 0),
    )

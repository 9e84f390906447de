"""The platform's settings file: lines of `name=value`, lists joined by commas."""

from dataclasses import dataclass
from pathlib import Path

from ..model import MILLISECONDS, HostId, Seconds, SettingsError, ZoneId

SETTINGS_VARIABLE = 'RATTANSPOKE_CONFIG'
FLAG_ON, FLAG_OFF = 'true', 'false'


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """What the platform tells a host at its start.

    Attributes:
        name: the machine's name, unique among the hosts.
        regions: the region of every availability zone.
        callers: the address for callers, as host:port.
        probes: the address for the balancer's readiness probes, as host:port.
        host: the address on which peers reach this host, as host:port.
        seeds: hosts that may be up, by the same kind of address.
        store: the address of the platform's store, as host:port.
        drain_time: seconds within which an upstream that leaves gets nothing more.
        is_first_start: whether the whole system starts for the first time.
        grace: seconds between SIGTERM and SIGKILL.
        retry_ratio: extra sends to a service for each of its requests, over all hosts.
        retry_slack: extra sends to a service in each window beside the ratio.
        cold_factor: what a cold upstream bears, as a multiple of its rate.
        cold_slack: requests in a second beside that.
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
    cold_factor: float
    cold_slack: float


def load_host_settings(path: Path) -> HostSettings:
    """Return the settings of a file.

    Raises:
        SettingsError: which names the file, the key and the reason.
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
    """The values of a settings file by their names."""

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        for number, line in enumerate(text.splitlines(), 1):
            name, separator, value = line.partition('=')
            if not separator and line.strip():
                raise SettingsError(f'line {number}: {line!r} is not name=value')
            self._values[name.strip()] = value.strip()

    def text(self, name: str) -> str:
        """Return a value that must be there."""
        value = self._values.get(name, '')
        if not value:
            raise SettingsError(f'{name}: is missing')
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number, which must be there unless a default is given."""
        if default is not None and not self._values.get(name):
            return default
        value = self.text(name)
        try:
            return float(value)
        except ValueError as error:
            raise SettingsError(f'{name}: {value!r} is not a number') from error

    def milliseconds(self, name: str, default: float) -> Seconds:
        """Return a time that the file gives in milliseconds."""
        return Seconds(self.number(name, default) / MILLISECONDS)

    def flag(self, name: str) -> bool:
        """Return a switch, off where it is missing."""
        value = self._values.get(name, FLAG_OFF)
        if value not in {FLAG_OFF, FLAG_ON}:
            raise SettingsError(f'{name}: {value!r} is neither true nor false')
        return value == FLAG_ON

    def addresses(self, name: str) -> tuple[str, ...]:
        """Return a list of addresses, which may be empty."""
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
        cold_factor=values.number('bounds.warmupFactor', 1),
        cold_slack=values.number('bounds.warmupSlack', 0),
    )

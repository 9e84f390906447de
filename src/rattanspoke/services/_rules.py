"""The rules that the platform's settings put in force, which a reload may change."""

from ..contracts import RULES_CHANGED, EdgeRules
from ..kernel import Kernel


class HostRules:
    """Hold the rules in force and announce others."""

    def __init__(self, kernel: Kernel, rules: EdgeRules) -> None:
        self._bus = kernel.bus
        self._current = rules

    @property
    def current(self) -> EdgeRules:
        """The rules that hold now."""
        return self._current

    def replace(self, rules: EdgeRules) -> None:
        """Put other rules in force, and announce them."""
        self._current = rules
        self._bus.publish(RULES_CHANGED, rules)

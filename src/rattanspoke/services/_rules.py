"""The current rules of the platform's settings, which a reload may change."""

from ..contracts import RULES_CHANGED, EdgeRules
from ..kernel import Kernel


class HostRules:
    """Hold the current rules and publish changes of them."""

    def __init__(self, kernel: Kernel, rules: EdgeRules) -> None:
        self._bus = kernel.bus
        self._current = rules

    @property
    def current(self) -> EdgeRules:
        """The rules that apply now."""
        return self._current

    def replace(self, rules: EdgeRules) -> None:
        """Replace the rules and publish the change on the bus."""
        self._current = rules
        self._bus.publish(RULES_CHANGED, rules)

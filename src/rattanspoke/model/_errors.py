"""The error tree: a branch for each layer, which turns the errors from below."""

from ._states import Outcome, Reason


class RattanspokeError(Exception):
    """Root of every error that this package raises on purpose."""


class KernelError(RattanspokeError):
    """Raised for a fault in how services are put together."""


class ServiceMissing(KernelError):
    """Raised when no service is registered under a name."""

    def __init__(self, name: str) -> None:
        super().__init__(f'no service is registered as {name!r}')


class ServiceDuplicate(KernelError):
    """Raised when two services claim one name."""

    def __init__(self, name: str) -> None:
        super().__init__(f'a service is already registered as {name!r}')


class SettingsError(RattanspokeError):
    """Raised when a setting is unknown, of the wrong type or impossible."""


class RecordError(RattanspokeError):
    """Raised when a record does not follow the schema that it names."""


class PlatformError(RattanspokeError):
    """Root of the errors of the platform's object API."""


class PlatformUnavailable(PlatformError):
    """Raised when the platform surely did not take a call."""


class PlatformReplyLost(PlatformError):
    """Raised when a write may or may not have taken effect."""


class PlatformConflict(PlatformError):
    """Raised when a conditional write met another revision."""


class PlatformHistoryGone(PlatformError):
    """Raised when the platform no longer keeps the changes that a watch asks for."""


class RecordHistoryGone(PlatformError):
    """Raised when an object does not exist."""


class WorkError(RattanspokeError):
    """Root of the errors that say whether work ran.

    Attributes:
        outcome: whether an upstream ran the work.
        reason: why the work has no result.
    """

    def __init__(self, reason: Reason, outcome: Outcome, detail: str = '') -> None:
        super().__init__(f'{reason.value} ({outcome.value}) {detail}'.rstrip())
        self.reason = reason
        self.outcome = outcome
        self.detail = detail


class PeerError(WorkError):
    """Raised when a call to another host brought no reply."""


class UpstreamError(WorkError):
    """Raised when a call to an upstream brought no result."""


class RequestError(WorkError):
    """Raised towards a caller whose request has no answer."""

"""Exceptions, with a base class for each layer.

A layer converts the errors of the layer below it into its own.
"""

from ._states import Outcome, Reason


class RattanspokeError(Exception):
    """Base class of every error that this package raises on purpose."""


class KernelError(RattanspokeError):
    """Base class of the errors in how a host is assembled from services."""


class ServiceMissing(KernelError):
    """Raised when no service is registered under a name."""

    def __init__(self, name: str) -> None:
        super().__init__(f'no service is registered as {name!r}')


class ServiceDuplicate(KernelError):
    """Raised when a service is registered under a name that is taken."""

    def __init__(self, name: str) -> None:
        super().__init__(f'a service is already registered as {name!r}')


class SettingsError(RattanspokeError):
    """Raised when a setting is unknown, of the wrong type or out of range."""


class RecordError(RattanspokeError):
    """Raised when a record does not match its schema version."""


class PlatformError(RattanspokeError):
    """Base class of the errors of the platform's object API."""


class PlatformUnavailable(PlatformError):
    """Raised when a call to the platform failed and certainly had no effect."""


class PlatformReplyLost(PlatformError):
    """Raised when the reply to a write was lost; the write may have taken effect."""


class PlatformConflict(PlatformError):
    """Raised when a compare-and-set failed because the revision has changed."""


class PlatformHistoryGone(PlatformError):
    """Raised when the platform has discarded the changes that a watch asks for."""


class RecordHistoryGone(PlatformError):
    """Raised when a watch of the records asks for changes that were discarded."""


class WorkError(RattanspokeError):
    """Base class of the errors that say whether work ran.

    Attributes:
        reason: why the work has no result.
        outcome: whether an upstream ran the work.
        detail: text for people, may be empty.
    """

    def __init__(self, reason: Reason, outcome: Outcome, detail: str = '') -> None:
        super().__init__(f'{reason.value} ({outcome.value}) {detail}'.rstrip())
        self.reason = reason
        self.outcome = outcome
        self.detail = detail


class PeerError(WorkError):
    """Raised when a call to another host got no reply."""


class UpstreamError(WorkError):
    """Raised when a call to an upstream got no result."""


class RequestError(WorkError):
    """Raised when a caller's request has no answer; the caller gets the reason."""

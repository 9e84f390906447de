"""A sub-request or booking in an owner's queue, and the reply to it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from ..contracts import BookingResult, SubResult
from ..model import (
    BookingCommand,
    BookingReply,
    Outcome,
    Reason,
    Seconds,
    SubReply,
    SubRequest,
)

NO_WAIT = Seconds(0)

Job: TypeAlias = SubRequest | BookingCommand


@dataclass(slots=True, eq=False)
class Work:
    """A job with its deadline and the callback that takes its reply.

    Attributes:
        job: the sub-request or booking to run.
        respond: takes the reply; called exactly once.
        deadline: the loop time after which the caller no longer waits for the reply.
        is_cancelled: whether the sender cancelled the attempt.
        is_done: whether respond was called.
    """

    job: Job
    respond: Callable[[SubReply | BookingReply], None]
    deadline: Seconds
    is_cancelled: bool = False
    is_done: bool = False

    def refuse(
        self,
        reason: Reason,
        outcome: Outcome = Outcome.NOT_RUN,
        wait: Seconds = NO_WAIT,
    ) -> None:
        """Answer that the work failed or was refused.

        Args:
            reason: why there is no result.
            outcome: whether an upstream ran the work.
            wait: seconds that new work would spend in the queue; sent with the reply
                to a sub-request.
        """
        if self.is_done:
            return
        self.is_done = True
        match self.job:
            case SubRequest() as part:
                reply = SubReply(
                    request=part.request,
                    attempt=part.attempt,
                    upstream=part.upstream,
                    outcome=outcome,
                    reason=reason,
                    wait=wait,
                )
                self.respond(reply)
            case BookingCommand() as command:
                self.respond(
                    BookingReply(
                        request=command.request,
                        attempt=command.attempt,
                        outcome=outcome,
                        reason=reason,
                    )
                )

    def finish_search(self, result: SubResult, took: Seconds, wait: Seconds) -> None:
        """Answer a sub-request with the upstream's result.

        Args:
            result: the upstream's answer to this sub-request.
            took: seconds that the call to the upstream took.
            wait: seconds that new work would spend in the queue.
        """
        if self.is_done or not isinstance(self.job, SubRequest):
            return
        self.is_done = True
        refused = result.reason is not Reason.NONE
        reply = SubReply(
            request=self.job.request,
            attempt=self.job.attempt,
            upstream=self.job.upstream,
            outcome=Outcome.NOT_RUN if refused else Outcome.RAN,
            reason=result.reason,
            version=result.version,
            shards=result.shards,
            hits=result.hits,
            wait=wait,
            took=took,
        )
        self.respond(reply)

    def finish_booking(self, result: BookingResult) -> None:
        """Answer a booking with the upstream's reference."""
        if self.is_done:
            return
        self.is_done = True
        reply = BookingReply(
            request=self.job.request,
            attempt=self.job.attempt,
            outcome=Outcome.RAN,
            reference=result.reference,
        )
        self.respond(reply)

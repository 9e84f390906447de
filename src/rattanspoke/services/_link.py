"""The stream to one peer: one task opens it, sends bundles on it and reopens it."""

import asyncio
from collections.abc import Callable
from itertools import count
from typing import NoReturn

from ..contracts import (
    Bundle,
    Counters,
    Metric,
    OnReply,
    Parcel,
    PeerChannel,
    PeerTransport,
)
from ..model import CallId, HostId, Message, Outcome, PeerError, Reason, Seconds
from ._tasks import read_clock

MAX_PARCELS = 256  # in one bundle
# Time without a message after which a stream is closed. Hosts that exchange heartbeats
# send far more often.
IDLE_TIMEOUT = Seconds(15)
REOPEN_DELAY = Seconds(0.1)  # after a failed attempt to open a stream

Pack = Callable[[list[Parcel]], Bundle]
OnBundle = Callable[[Bundle], None]


class Link:
    """Calls to one peer, multiplexed over one long-lived stream."""

    def __init__(
        self,
        host: HostId,
        transport: PeerTransport,
        counters: Counters,
        pack: Pack,
        on_bundle: OnBundle,
    ) -> None:
        self._host = host
        self._transport = transport
        self._counters = counters
        self._pack = pack
        self._on_bundle = on_bundle
        self._call_numbers = count(1)
        self._outbox: list[Parcel] = []
        self._pending_calls: dict[CallId, OnReply] = {}
        self._wake = asyncio.Event()
        self._broken = False

    def post(self, message: Message, on_reply: OnReply) -> CallId:
        """Queue a message for the next bundle and return the number of the call."""
        call = CallId(next(self._call_numbers))
        self._pending_calls[call] = on_reply
        self._outbox.append(Parcel(call, message, is_reply=False))
        self._wake.set()
        return call

    def forget(self, call: CallId) -> None:
        """Stop waiting for the reply to a call."""
        self._pending_calls.pop(call, None)

    async def maintain(self) -> NoReturn:
        """Open the stream when there is something to send, and reopen a broken one."""
        while True:
            await self._wake.wait()
            try:
                channel = await self._transport.open(self._host)
            except PeerError as error:
                self._fail_unsent(error.reason)
                await asyncio.sleep(REOPEN_DELAY)
                continue
            await self._run_channel(channel)

    async def _run_channel(self, channel: PeerChannel) -> None:
        self._broken = False
        reader = asyncio.get_running_loop().create_task(self._read(channel))
        try:
            await self._write(channel)
        except PeerError:
            self._counters.add(Metric.PEER_LINKS_LOST, self._host)
        finally:
            reader.cancel()
            await self._close(channel)

    async def _close(self, channel: PeerChannel) -> None:
        self._fail_sent()
        await channel.close()

    async def _write(self, channel: PeerChannel) -> None:
        """Send what is posted; return when nothing was for IDLE_TIMEOUT."""
        while not self._broken:
            if self._outbox:
                parcels = self._outbox[:MAX_PARCELS]
                self._outbox = self._outbox[MAX_PARCELS:]
                await channel.send(self._pack(parcels))
                continue
            self._wake.clear()
            try:
                async with asyncio.timeout(IDLE_TIMEOUT):
                    await self._wake.wait()
            except TimeoutError:
                if not self._pending_calls:
                    return
        raise PeerError(Reason.PEER_LOST, Outcome.UNKNOWN)

    async def _read(self, channel: PeerChannel) -> None:
        try:
            async for bundle in channel.receive():
                self._on_bundle(bundle)
                for parcel in bundle.parcels:
                    self._deliver_reply(parcel)
        except PeerError as error:
            self._counters.add(Metric.PEER_LINKS_LOST, error.reason.value)
        finally:
            self._broken = True
            self._wake.set()

    def _deliver_reply(self, parcel: Parcel) -> None:
        on_reply = self._pending_calls.pop(parcel.call, None)
        if on_reply is None:
            self._counters.add(Metric.LATE_REPLIES)
            return
        on_reply(parcel.message)

    def _fail_unsent(self, reason: Reason) -> None:
        unsent, self._outbox = self._outbox, []
        self._wake.clear()
        error = PeerError(reason, Outcome.NOT_RUN, self._host)
        self._fail([parcel.call for parcel in unsent], error)

    def _fail_sent(self) -> None:
        unsent = {parcel.call for parcel in self._outbox}
        sent = [call for call in self._pending_calls if call not in unsent]
        self._fail(sent, PeerError(Reason.PEER_LOST, Outcome.UNKNOWN, self._host))

    def _fail(self, calls: list[CallId], error: PeerError) -> None:
        for call in calls:
            on_reply = self._pending_calls.pop(call, None)
            if on_reply is not None:
                on_reply(error)


async def await_reply(
    post: Callable[[OnReply], CallId],
    forget: Callable[[CallId], None],
    budget: Seconds,
) -> Message:
    """Post a call and wait up to budget seconds for its reply.

    Raises:
        PeerError: when the call failed. When the budget ran out, its outcome is
            UNKNOWN: the peer may have processed the call.
    """
    reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()

    def settle(result: Message | Exception) -> None:
        if reply.done():
            return
        if isinstance(result, Exception):
            reply.set_exception(result)
        else:
            reply.set_result(result)

    call = post(settle)
    deadline = read_clock() + budget
    try:
        async with asyncio.timeout_at(deadline):
            return await reply
    except TimeoutError as error:
        raise PeerError(Reason.DEADLINE, Outcome.UNKNOWN) from error
    finally:
        forget(call)

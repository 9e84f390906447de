"""Request-reply messaging between hosts over long-lived streams.

A call and its reply travel as parcels: message envelopes with a call number. A bundle
is a batch of parcels.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Self, TypeVar

from ..contracts import (
    COUNTERS,
    IDENTITY,
    PEER_TRANSPORT,
    TIMELINE,
    Bundle,
    Importance,
    Metric,
    OnReply,
    Parcel,
    PeerChannel,
    Respond,
)
from ..kernel import Kernel
from ..model import CallId, HostId, Message, PeerError, Seconds, WorkError
from ._link import Link, await_reply
from ._tasks import TaskOwner

MessageType = TypeVar('MessageType', bound=Message)
Handler = Callable[[Any, HostId, Respond], None]

LOCAL_CALL = CallId(0)


class PeerLinks(TaskOwner):
    """One link and task for each peer called, one task for each accepted stream."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._identity = kernel.find(IDENTITY)
        self._counters = kernel.find(COUNTERS)
        self._timeline = kernel.find(TIMELINE)
        self._transport = kernel.find(PEER_TRANSPORT)
        self._handlers: dict[type, Handler] = {}
        self._links: dict[HostId, Link] = {}

    def serve(
        self,
        message_type: type[MessageType],
        handler: Callable[[MessageType, HostId], Awaitable[Message]],
    ) -> None:
        """Register the handler of a message type; each message gets its own task."""

        async def answer(
            message: MessageType, sender: HostId, respond: Respond
        ) -> None:
            respond(await handler(message, sender))

        def start(message: MessageType, sender: HostId, respond: Respond) -> None:
            self._tasks.spawn(answer(message, sender, respond))

        self._handlers[message_type] = start

    def serve_inline(
        self,
        message_type: type[MessageType],
        handler: Callable[[MessageType, HostId, Respond], None],
    ) -> None:
        """Register a handler that runs in the receiving task and must not block."""
        self._handlers[message_type] = handler

    async def call(self, host: HostId, message: Message, budget: Seconds) -> Message:
        """Send a message and wait up to budget seconds for the reply."""
        return await await_reply(
            lambda on_reply: self.post(host, message, on_reply),
            lambda call: self.forget(host, call),
            budget,
        )

    def post(self, host: HostId, message: Message, on_reply: OnReply) -> CallId:
        """Send a message; on_reply gets the reply or a PeerError later."""
        if host == self._identity.host:
            self._handlers[type(message)](message, host, on_reply)
            return LOCAL_CALL
        return self._find_link(host).post(message, on_reply)

    def forget(self, host: HostId, call: CallId) -> None:
        """Stop waiting for a reply; one that still arrives counts as late."""
        if host in self._links:
            self._links[host].forget(call)

    async def accept(self, channel: PeerChannel) -> None:
        """Handle the calls that arrive on a stream until it ends."""
        replies: asyncio.Queue[Parcel] = asyncio.Queue()
        writer = self._tasks.spawn(self._write_replies(channel, replies))
        try:
            async for bundle in channel.receive():
                self._note_bundle(bundle)
                for parcel in bundle.parcels:
                    self._dispatch(parcel, bundle.sender, replies)
        except PeerError as error:
            self._counters.add(Metric.PEER_LINKS_LOST, error.reason.value)
        finally:
            writer.cancel()

    async def __aenter__(self) -> Self:
        self._transport.register_channel_handler(self.accept)
        return self

    def _find_link(self, host: HostId) -> Link:
        if host not in self._links:
            link = Link(
                host, self._transport, self._counters, self._pack, self._note_bundle
            )
            self._links[host] = link
            self._supervise('peer link', link.maintain, Importance.AUXILIARY)
        return self._links[host]

    def _dispatch(
        self, parcel: Parcel, sender: HostId, replies: asyncio.Queue[Parcel]
    ) -> None:
        handler = self._handlers.get(type(parcel.message))
        if handler is None:
            return

        def respond(message: Message | WorkError) -> None:
            if not isinstance(message, WorkError):
                replies.put_nowait(Parcel(parcel.call, message, is_reply=True))

        handler(parcel.message, sender, respond)

    async def _write_replies(
        self, channel: PeerChannel, replies: asyncio.Queue[Parcel]
    ) -> None:
        while True:
            parcels = [await replies.get()]
            while not replies.empty():
                parcels.append(replies.get_nowait())
            try:
                await channel.send(self._pack(parcels))
            except PeerError:
                self._counters.add(Metric.PEER_LINKS_LOST, 'reply')
                return

    def _pack(self, parcels: list[Parcel]) -> Bundle:
        self._counters.add(Metric.PEER_BUNDLES)
        self._counters.add(Metric.PEER_PARCELS, '', len(parcels))
        return Bundle(
            self._identity.host,
            self._identity.incarnation,
            self._timeline.tick(),
            tuple(parcels),
        )

    def _note_bundle(self, bundle: Bundle) -> None:
        self._timeline.merge_tick(bundle.tick)

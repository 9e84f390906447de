"""Encoding of bundles: a protobuf batch of parcels with MessagePack messages."""

from typing import Any, get_args

import msgspec

from ..contracts import Bundle, Parcel
from ..model import CallId, HostId, Incarnation, Message, Outcome, PeerError, Reason
from . import peer_pb2

# The position of a type is its kind number on the wire, and hosts of different releases
# must agree on it. New types go at the end.
_MESSAGE_TYPES: tuple[type, ...] = get_args(Message)
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_MESSAGE_TYPES)}
_ENCODER = msgspec.msgpack.Encoder()
_DECODERS: tuple[Any, ...] = tuple(
    msgspec.msgpack.Decoder(kind) for kind in _MESSAGE_TYPES
)


def encode_bundle(bundle: Bundle) -> peer_pb2.Bundle:
    """Return a bundle as a protobuf message."""
    parcels = [
        peer_pb2.Parcel(
            call=parcel.call,
            kind=_KIND_NUMBERS[type(parcel.message)],
            is_reply=parcel.is_reply,
            body=_ENCODER.encode(parcel.message),
        )
        for parcel in bundle.parcels
    ]
    return peer_pb2.Bundle(
        sender=bundle.sender,
        incarnation=bundle.incarnation,
        tick=bundle.tick,
        parcels=parcels,
    )


def decode_bundle(encoded_bundle: peer_pb2.Bundle) -> Bundle:
    """Return the bundle that a protobuf message holds.

    Parcels whose kind is unknown, which newer releases may send, are dropped.

    Raises:
        PeerError: when a message does not decode.
    """
    try:
        parcels = tuple(
            Parcel(
                CallId(parcel.call),
                _DECODERS[parcel.kind].decode(parcel.body),
                parcel.is_reply,
            )
            for parcel in encoded_bundle.parcels
            if parcel.kind < len(_DECODERS)
        )
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PeerError(Reason.PEER_LOST, Outcome.UNKNOWN, str(error)) from error
    return Bundle(
        HostId(encoded_bundle.sender),
        Incarnation(encoded_bundle.incarnation),
        encoded_bundle.tick,
        parcels,
    )


def parse_bundle(content: bytes) -> peer_pb2.Bundle:
    """Parse the bytes of an encoded bundle as a protobuf message."""
    return peer_pb2.Bundle.FromString(content)

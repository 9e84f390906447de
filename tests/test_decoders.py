"""Decoders of bytes from outside raise only the errors that their contracts name."""

import pytest

from rattanspoke.model import (
    PeerError,
    RecordError,
    Revision,
    StateKind,
    StoredObject,
)
from rattanspoke.peering import decode_bundle, peer_pb2
from rattanspoke.platform import JsonStateCodec
from rattanspoke.transports import RecordCodec

DEEP = b'[' * 100_000 + b']' * 100_000


def make_object(kind, content):
    """Return a stored object with a content."""
    return StoredObject(kind=kind, name='n', revision=Revision(3), content=content)


def test_deeply_nested_content_is_a_record_error():
    """Nesting beyond the decoder's depth is reported like other unreadable content."""
    codec = JsonStateCodec()
    for kind in (StateKind.DESIRED_STATE, StateKind.REGISTRATIONS):
        with pytest.raises(RecordError):
            codec.decode_state(kind, make_object(kind.value, b'{"x": %b}' % DEEP))
    with pytest.raises(RecordError):
        codec.decode_host(make_object('hosts', DEEP))
    with pytest.raises(RecordError):
        RecordCodec().decode_record(make_object('zone', b'{"x": %b}' % DEEP))
    with pytest.raises(RecordError):
        RecordCodec().decode_claims(b'{"x": %b}' % DEEP)


def test_deeply_nested_message_of_a_peer_is_a_peer_error():
    """A message that a peer nested too deeply closes the stream like a broken one."""
    body = b'\x81\xa1x' + b'\x91' * 100_000 + b'\xc0'
    for kind in range(12):
        parcel = peer_pb2.Parcel(call=1, kind=kind, body=body)
        with pytest.raises(PeerError):
            decode_bundle(peer_pb2.Bundle(sender='a', parcels=[parcel]))

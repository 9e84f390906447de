"""Decoders of bytes from outside raise only the errors that their contracts name."""

import asyncio

import msgspec
import pytest

from rattanspoke.model import (
    Outcome,
    PeerError,
    RecordError,
    Revision,
    Seconds,
    StateKind,
    StoredObject,
    UpstreamError,
)
from rattanspoke.peering import decode_bundle, peer_pb2
from rattanspoke.platform import HttpUpstreamConnector, JsonStateCodec
from rattanspoke.transports import RecordCodec

REGISTRATION = {
    'service': 'one',
    'address': '127.0.0.1:80',
    'zone': 'east',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'warmupLeftMs': 0,
    'sequence': 1,
}
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


def make_registration(name, **changes):
    """Return the stored registration of an upstream."""
    content = msgspec.json.encode(REGISTRATION | changes)
    kind = StateKind.REGISTRATIONS.value
    return StoredObject(kind=kind, name=name, revision=Revision(3), content=content)


@pytest.mark.parametrize(
    'address',
    [
        '127.0.0.1:²',
        '127.0.0.1:99999',
        '127.0.0.1:0',
        'a\0b:80',
        f'{"a" * 64}:80',
        ':80',
    ],
)
def test_address_that_cannot_be_connected_to_names_no_upstream(address):
    """Requests to such an address would wait until their deadlines.

    The connector reports it as unreachable, should it still be given one.
    """
    stored = make_registration('i-1', address=address)
    with pytest.raises(RecordError):
        JsonStateCodec().decode_state(StateKind.REGISTRATIONS, stored)
    with pytest.raises(UpstreamError) as raised:
        asyncio.run(HttpUpstreamConnector().open(address, Seconds(1)))
    assert raised.value.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize('name', ['i 1', 'i-1\r\nX-Added: 1', 'i-é', '名'])
def test_name_that_is_no_header_value_names_no_upstream(name):
    """The name is sent in a header of each request, so it must not add another one."""
    with pytest.raises(RecordError):
        JsonStateCodec().decode_state(StateKind.REGISTRATIONS, make_registration(name))


@pytest.mark.parametrize('field', sorted(REGISTRATION))
def test_registration_that_lacks_a_field_names_no_upstream(field):
    """An entry of another writer was once used if it had an address and a service."""
    form = {name: value for name, value in REGISTRATION.items() if name != field}
    content = msgspec.json.encode(form)
    kind = StateKind.REGISTRATIONS
    with pytest.raises(RecordError):
        JsonStateCodec().decode_state(kind, make_object(kind.value, content))


def test_readable_registration_is_read():
    """A complete registration names an upstream."""
    stored = make_registration('i-7f3a91c2', address='one-0.east.example:80')
    registration = JsonStateCodec().decode_state(StateKind.REGISTRATIONS, stored)
    assert registration.address == 'one-0.east.example:80'

"""Decoders of bytes from outside: any input gives valid entries or a known error."""

import json
from unittest.mock import Mock

import httptools
import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from rattanspoke.model import (
    PeerError,
    RecordError,
    Revision,
    SettingsError,
    StateKind,
    StoredObject,
)
from rattanspoke.peering import decode_bundle, peer_pb2
from rattanspoke.platform import (
    JsonStateCodec,
    UnreadableJson,
    decode_json,
    load_host_settings,
)
from rattanspoke.platform._front import _read_budget
from rattanspoke.platform._http import HttpClientConnection, HttpResponse
from rattanspoke.platform._json import split_array, split_object
from rattanspoke.platform._pages import decode_events, decode_listing, decode_object
from rattanspoke.platform._upstreams import _read_quiet_time
from rattanspoke.transports import RecordCodec

FIXED = settings(max_examples=300, deadline=None, derandomize=True, database=None)
# Text with unpaired surrogates, which JSON can escape and no decoder accepts.
TEXT = st.text(st.characters(codec=None) | st.sampled_from('\ud800\udfff"\\'))
NUMBERS = st.integers() | st.floats() | st.just(10**400)
VALUES = st.recursive(
    st.none() | st.booleans() | NUMBERS | TEXT,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXT, inner, max_size=4)
    ),
    max_leaves=12,
)
# Fields of registrations and desired states, with any values.
FIELDS = st.dictionaries(
    st.sampled_from(
        [
            'service',
            'address',
            'zone',
            'version',
            'slots',
            'state',
            'warmupLeftMs',
            'sequence',
            'born',
            'routes',
            'services',
            'limits',
            'name',
            'host',
            'pathPrefix',
            'routeType',
            'timeoutMs',
            'priority',
        ]
    ),
    VALUES,
)
SPECS = (VALUES | FIELDS).map(json.dumps).map(str.encode) | st.sampled_from(
    (b'[' * 3000 + b']' * 3000, b'{"a": 1, "a": 2}', b'"\xff\xfe"')
)
REGISTRATION = {
    'service': 'one',
    'address': '127.0.0.1:80',
    'zone': 'east',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'warmupLeftMs': 0,
    'sequence': 1,
    'born': 1,
}


def write_item(name, spec):
    """Return the text of an object in a page."""
    return b'{"meta": {"name": "%b", "revision": 3}, "spec": %b}' % (name, spec)


def read_all(listing):
    """Return the registrations in a listing that name an upstream."""
    found = []
    for stored in listing.objects:
        try:
            found.append(JsonStateCodec().decode_state(StateKind.REGISTRATIONS, stored))
        except RecordError:
            continue
    return found


@FIXED
@given(st.lists(VALUES), st.dictionaries(TEXT, VALUES))
def test_members_are_split_like_a_parser_does(values, members):
    """Each member is found, whatever it holds."""
    parts = split_array(json.dumps(values).encode())
    assert [json.loads(each) for each in parts] == json.loads(json.dumps(values))
    readable = {
        name: value
        for name, value in members.items()
        if not any('\ud800' <= character <= '\udfff' for character in name)
    }
    split = split_object(json.dumps(members).encode())
    assert {name: json.loads(each) for name, each in split.items()} == json.loads(
        json.dumps(readable)
    )


@FIXED
@given(st.binary() | VALUES.map(json.dumps).map(str.encode))
def test_any_bytes_are_a_page_or_unreadable(content):
    """No other error than the one of the contract is raised."""
    for decode in (
        lambda: decode_listing('servers', content),
        lambda: decode_events('servers', content),
        lambda: decode_object('servers', content),
        lambda: split_array(content),
        lambda: split_object(content),
        lambda: decode_json(content, dict),
    ):
        try:
            decode()
        except UnreadableJson:
            continue


@FIXED
@given(st.lists(SPECS, max_size=4), st.integers(0, 4))
def test_valid_entry_is_found_among_any_others(specs, position):
    """The loss of a valid neighbour would take an upstream out of service."""
    items = [write_item(b'x-%d' % number, spec) for number, spec in enumerate(specs)]
    items.insert(position, write_item(b'valid', json.dumps(REGISTRATION).encode()))
    page = b'{"items": [%b], "more": false, "asOf": 9}' % b','.join(items)
    events = b','.join(b'{"object": %b, "deleted": false}' % each for each in items)
    batch = b'{"events": [%b], "asOf": 9}' % events
    for listing in (decode_listing('servers', page), decode_events('servers', batch)):
        assert listing.revision == 9
        assert len(listing.objects) == len(items)
        assert 'valid' in {each.upstream for each in read_all(listing)}


@FIXED
@given(st.sampled_from(StateKind), SPECS | st.binary(), st.text())
def test_any_object_is_state_or_a_record_error(kind, content, name):
    """Objects of the store are read or refused, also the tier's own records."""
    stored = StoredObject(
        kind=kind.value, name=name, revision=Revision(3), content=content
    )
    record = StoredObject(kind='zone', name=name, revision=Revision(3), content=content)
    codec = JsonStateCodec()
    for decode in (
        lambda: codec.decode_state(kind, stored),
        lambda: codec.decode_host(stored),
        lambda: RecordCodec().decode_record(record),
        lambda: RecordCodec().decode_claims(content),
    ):
        try:
            decode()
        except RecordError:
            continue


@FIXED
@given(st.integers(0, 30), st.binary())
@example(3, b'\x93\x01\x02')
def test_any_message_of_a_peer_is_read_or_a_peer_error(kind, body):
    """The stream of a peer ends in order, whatever arrives on it."""
    parcel = peer_pb2.Parcel(call=1, kind=kind, body=body)
    try:
        decode_bundle(peer_pb2.Bundle(sender='a', parcels=[parcel]))
    except PeerError:
        return


HEADS = st.lists(
    st.sampled_from(
        (
            b'HTTP/1.1 200 OK\r\n',
            b'HTTP/1.1 100 Continue\r\n\r\n',
            b'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
            b'HTTP/1.1 204 None\r\n\r\n',
            b'Content-Length: 3\r\n',
            b'Transfer-Encoding: chunked\r\n',
            b'Rattanspoke-Attempt-Id: \xff\r\n',
            b'\r\n',
            b'3\r\nabc\r\n0\r\n\r\n',
            b'abc',
        )
    )
    | st.binary(max_size=20),
    max_size=8,
)


@FIXED
@given(HEADS, st.booleans())
def test_any_response_is_parsed_or_aborted(pieces, has_body):
    """Bytes of an upstream never raise an error into the event loop."""
    connection = HttpClientConnection()
    connection.connection_made(Mock())
    response = HttpResponse((b'rattanspoke-attempt-id', b'a-1'), has_body=has_body)
    response.parser = httptools.HttpResponseParser(response)
    connection._response = response  # as during an exchange
    for piece in pieces:
        connection.data_received(piece)
    connection.eof_received()
    connection.connection_lost(None)


@FIXED
@given(st.binary(max_size=40) | st.floats().map(lambda value: repr(value).encode()))
def test_any_header_value_is_a_time_or_none(value):
    """Times in headers of callers and upstreams are finite, and not negative."""
    budget = _read_budget(value)
    assert budget is None or 0 <= budget <= 3600
    response = HttpResponse()
    response.status = 503
    response.headers = [(b'retry-after', value)]
    quiet_time = _read_quiet_time(response)
    assert quiet_time is None or 0 < quiet_time < float('inf')


@FIXED
@given(
    st.text()
    | st.lists(
        st.sampled_from(
            (
                'node=a',
                'zone=',
                'bounds.graceS=nan',
                'bounds.drainMs=x',
                'bootstrap=2',
                '=',
                'platform.address=a:1',
            )
        ),
        max_size=8,
    ).map('\n'.join)
)
def test_any_settings_are_read_or_refused(tmp_path_factory, text):
    """The error names the file, so an operator finds it."""
    path = tmp_path_factory.getbasetemp() / 'settings.conf'
    path.write_bytes(text.encode('utf-8', 'surrogatepass'))
    with pytest.raises(SettingsError):
        load_host_settings(path)


def test_a_megabyte_is_split_in_bounded_memory():
    """Tokens are found one at a time, so nesting and escapes cost no more than text."""
    deep = b'[' * 500_000 + b']' * 500_000
    escapes = b'"' + b'\\"' * 500_000 + b'"'
    items = [write_item(b'a', deep), write_item(b'b', escapes)]
    page = b'{"items": [%b], "asOf": 9}' % b','.join(items)
    listing = decode_listing('servers', page)
    assert [len(each.content) for each in listing.objects] == [len(deep), len(escapes)]
    assert msgspec.json.decode(listing.objects[1].content) == '"' * 500_000

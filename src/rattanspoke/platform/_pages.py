"""Decoding of the store's replies: objects, listings and batches of events.

Other programs write objects too. Whatever one of them holds must not affect how the
other objects of a reply are read, so a reply that does not decode as a whole is decoded
one object at a time.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..model import Revision, StoredObject
from ._json import UnreadableJson, decode_json, split_array, split_object


class _MetaForm(msgspec.Struct, rename='camel'):
    name: str
    revision: int


class _ObjectForm(msgspec.Struct):
    meta: _MetaForm
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _ListingForm(msgspec.Struct, rename='camel'):
    items: list[_ObjectForm]
    as_of: int
    more: bool = False


class _EventForm(msgspec.Struct):
    object: _ObjectForm
    deleted: bool = False


class _EventsForm(msgspec.Struct, rename='camel'):
    events: list[_EventForm]
    as_of: int


@dataclass(frozen=True, slots=True)
class StorePage:
    """One page of a listing, or one batch of events.

    Attributes:
        objects: the objects; those that were deleted have no content. The content of
            an object is not decoded and may be unreadable.
        revision: the revision of the store that the page shows.
        has_more: whether further pages of the listing follow.
        failures: for each object whose name and revision are not readable, the reason.
    """

    objects: tuple[StoredObject, ...]
    revision: Revision
    has_more: bool = False
    failures: tuple[str, ...] = ()


def decode_object(kind: str, content: bytes) -> StoredObject:
    """Decode one object of a kind.

    Raises:
        UnreadableJson: when its name or revision is not readable.
    """
    try:
        form = decode_json(content, _ObjectForm)
    except UnreadableJson:
        return _read_members(kind, content)
    return _read_form(kind, form)


def decode_listing(kind: str, content: bytes) -> StorePage:
    """Decode a page of a listing of a kind.

    Raises:
        UnreadableJson: when the page is not readable, whatever its objects hold.
    """
    try:
        page = decode_json(content, _ListingForm)
    except UnreadableJson:
        return _decode_each(kind, content, 'items', decode_object)
    objects = tuple(_read_form(kind, form) for form in page.items)
    return StorePage(objects, Revision(page.as_of), page.more)


def decode_events(kind: str, content: bytes) -> StorePage:
    """Decode a batch of the events of a kind.

    Raises:
        UnreadableJson: when the batch is not readable, whatever its objects hold.
    """
    try:
        page = decode_json(content, _EventsForm)
    except UnreadableJson:
        return _decode_each(kind, content, 'events', _decode_event)
    objects = tuple(
        _read_form(kind, event.object, is_deleted=event.deleted)
        for event in page.events
    )
    return StorePage(objects, Revision(page.as_of))


def _decode_each(
    kind: str,
    content: bytes,
    member: str,
    decode_entry: Callable[[str, bytes], StoredObject],
) -> StorePage:
    """Decode the entries of a page separately, and leave out the unreadable ones."""
    members = split_object(content)
    objects: list[StoredObject] = []
    failures: list[str] = []
    for entry in split_array(members.get(member, b'')):
        try:
            objects.append(decode_entry(kind, entry))
        except UnreadableJson as error:
            failures.append(str(error))
    return StorePage(
        objects=tuple(objects),
        revision=Revision(decode_json(members.get('asOf', b''), int)),
        has_more=decode_json(members.get('more', b'false'), bool),
        failures=tuple(failures),
    )


def _decode_event(kind: str, content: bytes) -> StoredObject:
    members = split_object(content)
    is_deleted = decode_json(members.get('deleted', b'false'), bool)
    return _read_members(kind, members.get('object', b''), is_deleted=is_deleted)


def _read_members(
    kind: str, content: bytes, *, is_deleted: bool = False
) -> StoredObject:
    """Read an object without decoding anything but its name and revision."""
    members = split_object(content)
    meta = decode_json(members.get('meta', b''), _MetaForm)
    spec = msgspec.Raw(members.get('spec', b'null'))
    return _read_form(kind, _ObjectForm(meta, spec), is_deleted=is_deleted)


def _read_form(
    kind: str, form: _ObjectForm, *, is_deleted: bool = False
) -> StoredObject:
    return StoredObject(
        kind=kind,
        name=form.meta.name,
        revision=Revision(form.meta.revision),
        content=None if is_deleted else bytes(form.spec),
    )

"""Encodings and wires: HTTP, gRPC, JSON; nothing here decides."""

from ._front import make_front
from ._record_store import HOSTS, HttpRecordStore, RecordStore, locate_record
from ._records import RecordCodec, read_form, write_form
from ._upstreams import REFUSALS, BookCall, HttpUpstreams, SearchCall, SearchPart

__all__ = (
    'HOSTS',
    'REFUSALS',
    'BookCall',
    'HttpRecordStore',
    'HttpUpstreams',
    'RecordCodec',
    'RecordStore',
    'SearchCall',
    'SearchPart',
    'locate_record',
    'make_front',
    'read_form',
    'write_form',
)

"""Encodings and wires: HTTP, gRPC, JSON; nothing here decides."""

from ._front import make_front
from ._platform import HttpPlatform
from ._records import RecordCodec, read_form, write_form
from ._upstreams import REFUSALS, BookCall, HttpUpstreams, SearchCall, SearchPart

__all__ = (
    'REFUSALS',
    'BookCall',
    'HttpPlatform',
    'HttpUpstreams',
    'RecordCodec',
    'SearchCall',
    'SearchPart',
    'make_front',
    'read_form',
    'write_form',
)

"""HTTP and JSON adapters: requests of callers, calls to upstreams, stored records.

This package only encodes, decodes and sends; the decisions are made in `decisions`
and `services`.
"""

from ._front import make_http_app
from ._record_store import HttpRecordStore, RecordStore, locate_record
from ._records import RecordCodec, dump_record, load_record
from ._upstreams import (
    REFUSAL_REASONS,
    BookCall,
    HttpUpstreamClient,
    SearchCall,
    SearchPart,
)

__all__ = (
    'REFUSAL_REASONS',
    'BookCall',
    'HttpRecordStore',
    'HttpUpstreamClient',
    'RecordCodec',
    'RecordStore',
    'SearchCall',
    'SearchPart',
    'dump_record',
    'load_record',
    'locate_record',
    'make_http_app',
)

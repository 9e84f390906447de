"""Merge the records that several shards return into one answer."""

import heapq
from collections.abc import Iterable

# Size of one record. Trailing bytes that do not fill a record are ignored.
RECORD_BYTES = 16


def merge_records(parts: Iterable[bytes], limit: int) -> bytes:
    """Return the greatest records of all parts, in descending byte order.

    Args:
        parts: the concatenated records of each shard, in any order. Duplicate
            records are all kept.
        limit: the maximum number of records to return.
    """
    records = (record for part in parts for record in split_records(part))
    return b''.join(heapq.nlargest(limit, records))


def split_records(part: bytes) -> list[bytes]:
    """Split a part into records and ignore an incomplete one at its end."""
    whole = len(part) - len(part) % RECORD_BYTES
    return [part[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES)]

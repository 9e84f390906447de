"""Merging the records of several shards into one answer."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16  # of one record; a shorter rest at the end is not a record


def merge_records(parts: Iterable[bytes], limit: int) -> bytes:
    """Return the greatest records of all parts in falling order.

    Args:
        parts: each a run of records in no order; equal records all count.
        limit: records of the answer at most.
    """
    records = (record for part in parts for record in split_records(part))
    return b''.join(heapq.nlargest(limit, records))


def split_records(part: bytes) -> list[bytes]:
    """Return the whole records of a part."""
    whole = len(part) - len(part) % RECORD_BYTES
    return [part[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES)]

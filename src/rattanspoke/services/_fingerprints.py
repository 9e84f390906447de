"""Digests that identify requests for the same work at an upstream."""

import xxhash

from ..model import Fingerprint


def digest_work(*fields: str | bytes) -> Fingerprint:
    """Return a digest of the fields that define the work; each is length-prefixed."""
    digest = xxhash.xxh3_128()
    for field in fields:
        content = field.encode() if isinstance(field, str) else field
        digest.update(b'%d:' % len(content))
        digest.update(content)
    return Fingerprint(digest.hexdigest())

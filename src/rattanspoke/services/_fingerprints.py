"""Digests by which requests that ask the same of an upstream are recognised."""

import xxhash

from ..model import Fingerprint


def digest_work(*fields: str | bytes) -> Fingerprint:
    """Return a digest of the fields that say what an upstream is asked to do."""
    digest = xxhash.xxh3_128()
    for field in fields:
        content = field.encode() if isinstance(field, str) else field
        digest.update(b'%d:' % len(content))
        digest.update(content)
    return Fingerprint(digest.hexdigest())

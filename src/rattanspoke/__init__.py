"""A query tier that fans searches out over many shards and merges the answers."""

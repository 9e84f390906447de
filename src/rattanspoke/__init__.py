"""A query tier that fans searches out over many shards and merges the answers."""

from importlib import metadata

__all__ = ('__version__',)

try:
    __version__ = metadata.version('rattanspoke')
except metadata.PackageNotFoundError:
    __version__ = 'unknown'

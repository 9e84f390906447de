"""Command-line interface."""

from ._main import main

__all__ = ('main',)

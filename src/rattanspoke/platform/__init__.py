"""Adapters for the users' platform: its HTTP formats and calls in the model's types."""

from ._codec import JsonStateCodec
from ._front import TARGET_EXTENSION, Application, make_caller_app, make_probe_app
from ._json import UnreadableJson, decode_json
from ._settings import SETTINGS_VARIABLE, HostSettings, load_host_settings
from ._store import HttpStore
from ._upstreams import HttpUpstreamConnector
from ._words import OBJECTS_PATH

__all__ = (
    'OBJECTS_PATH',
    'SETTINGS_VARIABLE',
    'TARGET_EXTENSION',
    'Application',
    'HostSettings',
    'HttpStore',
    'HttpUpstreamConnector',
    'JsonStateCodec',
    'UnreadableJson',
    'decode_json',
    'load_host_settings',
    'make_caller_app',
    'make_probe_app',
)

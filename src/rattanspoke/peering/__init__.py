"""The wire between hosts: streams over gRPC, bundles as protocol buffers."""

from ._grpc import GrpcTransport
from ._wire import decode_bundle, encode_bundle, parse_bundle

__all__ = ('GrpcTransport', 'decode_bundle', 'encode_bundle', 'parse_bundle')

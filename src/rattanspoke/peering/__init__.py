"""Transport between hosts: message batches (bundles) as protobuf over gRPC streams."""

from ._grpc import GrpcTransport
from ._wire import decode_bundle, encode_bundle, parse_bundle

__all__ = ('GrpcTransport', 'decode_bundle', 'encode_bundle', 'parse_bundle')

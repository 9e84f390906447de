"""Stand-ins: in-process fakes of the systems outside the tier, with injectable faults.

They fake the platform's object store, the upstreams with their index data, and the
network between hosts, for tests, the demo and benchmarks.
"""

from ._dataset import Document, IndexData, generate_index
from ._local import LocalNetwork, LocalTransport, LocalUpstreamClient
from ._platform import PlatformFaults, StandinPlatform
from ._scenario import (
    DISPATCH,
    FIRST_VERSION,
    HALVORSEN,
    JOBS,
    WERKBANK,
    Environment,
    Scenario,
    build_environment,
    list_held_shards,
    make_organisation,
    make_organisation_token,
    make_zone_id,
)
from ._servers import UpstreamServer
from ._serving import HttpServer
from ._store_server import PlatformServer
from ._upstream import CRASH_MARKER, Behaviour, StandinUpstream, UpstreamStats

__all__ = (
    'CRASH_MARKER',
    'DISPATCH',
    'FIRST_VERSION',
    'HALVORSEN',
    'JOBS',
    'WERKBANK',
    'Behaviour',
    'Document',
    'Environment',
    'HttpServer',
    'IndexData',
    'LocalNetwork',
    'LocalTransport',
    'LocalUpstreamClient',
    'PlatformFaults',
    'PlatformServer',
    'Scenario',
    'StandinPlatform',
    'StandinUpstream',
    'UpstreamServer',
    'UpstreamStats',
    'build_environment',
    'generate_index',
    'list_held_shards',
    'make_organisation',
    'make_organisation_token',
    'make_zone_id',
)

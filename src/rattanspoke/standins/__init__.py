"""Stand-ins for the systems around the tier: the platform and the upstreams."""

from ._dataset import Document, IndexData, write_index
from ._local import LocalNetwork, LocalTransport, LocalUpstreams
from ._platform import PlatformFaults, StandinPlatform
from ._scenario import (
    DISPATCH,
    FIRST_VERSION,
    HALVORSEN,
    JOBS,
    WERKBANK,
    Scenario,
    World,
    build_world,
    list_held,
    make_organisation,
    organisation_token,
    zone_name,
)
from ._servers import UpstreamServer
from ._serving import HttpServer
from ._store_server import PlatformServer
from ._upstream import POISON, Behaviour, StandinUpstream, Tally

__all__ = (
    'DISPATCH',
    'FIRST_VERSION',
    'HALVORSEN',
    'JOBS',
    'POISON',
    'WERKBANK',
    'Behaviour',
    'Document',
    'HttpServer',
    'IndexData',
    'LocalNetwork',
    'LocalTransport',
    'LocalUpstreams',
    'PlatformFaults',
    'PlatformServer',
    'Scenario',
    'StandinPlatform',
    'StandinUpstream',
    'Tally',
    'UpstreamServer',
    'World',
    'build_world',
    'list_held',
    'make_organisation',
    'organisation_token',
    'write_index',
    'zone_name',
)

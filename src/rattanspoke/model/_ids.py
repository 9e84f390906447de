"""Identifiers and units, as distinct types that the type checker keeps apart."""

from typing import NewType

HostId = NewType('HostId', str)  # the address at which other hosts reach it
Incarnation = NewType('Incarnation', str)  # identifies one run of a process
HolderId = NewType('HolderId', str)  # a host and its incarnation, 'host#incarnation'
ZoneId = NewType('ZoneId', str)
ServiceId = NewType('ServiceId', str)
UpstreamId = NewType('UpstreamId', str)
ShardId = NewType('ShardId', str)
OrganisationId = NewType('OrganisationId', str)
RequestId = NewType('RequestId', str)
DocumentId = NewType('DocumentId', str)
CallId = NewType('CallId', int)
Fingerprint = NewType('Fingerprint', str)  # digest of the content of a request
IdempotencyKey = NewType('IdempotencyKey', str)
IndexVersion = NewType('IndexVersion', int)
Revision = NewType('Revision', int)  # increases with every write to the platform
Seconds = NewType('Seconds', float)
RouteId = NewType('RouteId', str)
Seal = NewType('Seal', str)  # proof that one reply comes from its upstream

NO_REVISION = Revision(0)
MS_PER_SECOND = 1000


def make_holder_id(host: HostId, incarnation: Incarnation) -> HolderId:
    """Return the id under which one incarnation of a host holds seats."""
    return HolderId(f'{host}#{incarnation}')


def parse_holder_host(holder: HolderId) -> HostId:
    """Return the host part of a seat holder's id."""
    return HostId(holder.partition('#')[0])

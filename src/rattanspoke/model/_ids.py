"""Identifiers and units; each is a distinct type so that two cannot be mixed up."""

from typing import NewType

HostId = NewType('HostId', str)  # the address on which a host's peers reach it
Incarnation = NewType('Incarnation', str)  # one life of a process
HolderId = NewType('HolderId', str)  # a host and its incarnation: 'host#incarnation'
ZoneId = NewType('ZoneId', str)
ServiceId = NewType('ServiceId', str)
UpstreamId = NewType('UpstreamId', str)
ShardId = NewType('ShardId', str)
OrganisationId = NewType('OrganisationId', str)
RequestId = NewType('RequestId', str)
DocumentId = NewType('DocumentId', str)
CallId = NewType('CallId', int)
Fingerprint = NewType('Fingerprint', str)  # a digest of what an upstream is asked to do
IdempotencyKey = NewType('IdempotencyKey', str)
IndexVersion = NewType('IndexVersion', int)
Revision = NewType('Revision', int)  # rises with every write to the platform
Seconds = NewType('Seconds', float)
RouteId = NewType('RouteId', str)
Seal = NewType('Seal', str)  # an upstream's proof of one answer

NO_REVISION = Revision(0)
MS_PER_SECOND = 1000  # in a second


def make_holder_id(host: HostId, incarnation: Incarnation) -> HolderId:
    """Return the name under which one life of a host holds seats."""
    return HolderId(f'{host}#{incarnation}')


def parse_holder_host(holder: HolderId) -> HostId:
    """Return the host of a seat holder."""
    return HostId(holder.partition('#')[0])

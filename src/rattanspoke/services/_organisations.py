"""Authentication, authorisation and request quotas of organisations."""

import hashlib

from ..contracts import CATALOG, MEMBERS, RECORD_CHANGED
from ..decisions import TokenBucket
from ..kernel import Kernel
from ..model import (
    Baseline,
    HostState,
    OrganisationId,
    OrganisationRecord,
    Outcome,
    Policy,
    Reason,
    RecordChange,
    RecordKind,
    RequestError,
    Seconds,
    ServiceId,
)
from ._tasks import read_clock

LOWEST_PRIORITY = 100
MIN_BURST = 1.0  # requests; the least burst of an organisation on one host


class HostOrganisations:
    """Authenticate by token and enforce each organisation's quota on this host.

    A quota is for the whole tier. Each host grants its rate divided by the number of
    live hosts, which is exact if the load balancer spreads requests evenly over them.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._catalog = kernel.find(CATALOG)
        self._by_digest: dict[str, OrganisationRecord] = {}
        self._by_id: dict[OrganisationId, OrganisationRecord] = {}
        self._buckets: dict[OrganisationId, TokenBucket] = {}
        kernel.bus.subscribe(RECORD_CHANGED, self._note_change)

    def authenticate(self, token: str) -> OrganisationRecord:
        """Return the organisation that a bearer token belongs to.

        Raises:
            RequestError: when the token is unknown; nothing was run.
        """
        digest = hashlib.sha256(token.encode()).hexdigest()
        organisation = self._by_digest.get(digest)
        if organisation is None:
            raise RequestError(Reason.UNAUTHENTICATED, Outcome.NOT_RUN)
        return organisation

    def find_priority(self, organisation: OrganisationId) -> int:
        """Return an organisation's priority, the lowest if it is unknown."""
        record = self._by_id.get(organisation)
        return record.priority if record else LOWEST_PRIORITY

    def find_policy(self, organisation: OrganisationId) -> Policy:
        """Return an organisation's policy, the baseline if it is unknown."""
        record = self._by_id.get(organisation)
        return record.policy if record else Baseline()

    def admit(self, organisation: OrganisationRecord, service: ServiceId) -> None:
        """Check access to a service and count the request against the quota.

        Raises:
            RequestError: when the service is unknown or not allowed, or the quota is
                exceeded; nothing was run.
        """
        if organisation.services and service not in organisation.services:
            raise RequestError(Reason.FORBIDDEN, Outcome.NOT_RUN)
        if self._catalog.service(service) is None:
            raise RequestError(Reason.UNKNOWN_SERVICE, Outcome.NOT_RUN)
        if not self._find_bucket(organisation).take(Seconds(read_clock())):
            raise RequestError(Reason.OVER_QUOTA, Outcome.NOT_RUN)

    def _find_bucket(self, organisation: OrganisationRecord) -> TokenBucket:
        hosts = len(self._kernel.find(MEMBERS).select(HostState.LIVE))
        rate = organisation.queries_per_second / max(1, hosts)
        capacity = max(MIN_BURST, rate * organisation.burst)
        bucket = self._buckets.get(organisation.organisation)
        if bucket is None:
            bucket = TokenBucket(rate, capacity, capacity, Seconds(read_clock()))
            self._buckets[organisation.organisation] = bucket
        bucket.rate = rate
        bucket.capacity = capacity
        return bucket

    def _note_change(self, change: RecordChange) -> None:
        if change.kind is RecordKind.ORGANISATION:
            records = self._catalog.organisations()
            self._by_id = {record.organisation: record for record in records}
            self._by_digest = {record.token_digest: record for record in records}

"""Claims on idempotency keys, stored on the platform in batches by claim writers.

Claims are stored in BUCKETS objects. Each bucket has one claim writer among the live
hosts, chosen by rendezvous hashing, which writes all pending changes of the bucket in
one compare-and-set. If two hosts act as the writer of a bucket, the revision fences
them: the write of one conflicts, and that host reads the object again.
"""

import asyncio
from dataclasses import dataclass
from typing import NoReturn, Self

import xxhash

from ..contracts import (
    CODEC,
    COUNTERS,
    IDENTITY,
    MEMBERS,
    PEERS,
    PLATFORM,
    Metric,
)
from ..decisions import ClaimTable, TokenBucket, acquire_claim, rank_hosts, settle_claim
from ..kernel import Kernel
from ..model import (
    NO_REVISION,
    ClaimReply,
    ClaimRequest,
    ClaimSettlement,
    HostId,
    HostState,
    Message,
    PeerError,
    PlatformConflict,
    PlatformError,
    PlatformUnavailable,
    Reason,
    Revision,
    Seconds,
)
from ._tasks import TaskOwner, read_clock

BUCKETS = 64
WRITES_PER_SECOND = 3.0  # per bucket, so that all buckets stay under 200 a second
WRITE_BURST = 3.0
CLAIM_KIND = 'claims'
MAX_TRIES = 8  # of a compare-and-set that conflicts or whose reply is lost
SETTLE_BUDGET = Seconds(5)  # for storing an outcome, with all retries
SETTLE_PAUSE = Seconds(0.5)  # between retries, and the timeout of each remote one


@dataclass(slots=True)
class _PendingChange:
    """A change that is pending until the next write of its bucket."""

    change: ClaimRequest | ClaimSettlement
    done: asyncio.Future[ClaimReply]


class HostClaims(TaskOwner):
    """Acquire and settle claims through the claim writer of their bucket."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._peers = kernel.find(PEERS)
        self._buckets: dict[int, _Bucket] = {}

    async def take(self, claim_request: ClaimRequest) -> ClaimReply:
        """Claim a key for one request, on this host if the claim writer fails.

        The remote call gets half of the budget, so that a local attempt has time left.
        """
        writer = self._find_writer(claim_request)
        if writer != self._identity.host:
            try:
                reply = await self._peers.call(
                    writer, claim_request, Seconds(claim_request.budget / 2)
                )
            except PeerError:
                return await self._take_locally(claim_request)
            if isinstance(reply, ClaimReply):
                return reply
        return await self._take_locally(claim_request)

    async def settle(self, settle: ClaimSettlement) -> bool:
        """Store the outcome of a claimed request; return whether it is confirmed."""
        deadline = read_clock() + SETTLE_BUDGET
        while read_clock() < deadline:
            reply = await self._settle_once(settle)
            if reply.reason is not Reason.PLATFORM_DOWN:
                return reply.granted
            await asyncio.sleep(SETTLE_PAUSE)
        return False

    async def __aenter__(self) -> Self:
        self._peers.serve(ClaimRequest, self._answer_claim_request)
        self._peers.serve(ClaimSettlement, self._answer_settle)
        return self

    async def _settle_once(self, settle: ClaimSettlement) -> ClaimReply:
        writer = self._find_writer(settle)
        if writer != self._identity.host:
            try:
                reply = await self._peers.call(writer, settle, SETTLE_PAUSE)
            except PeerError:
                return await self._find_bucket(settle).submit(settle)
            if isinstance(reply, ClaimReply):
                return reply
        return await self._find_bucket(settle).submit(settle)

    async def _take_locally(self, claim_request: ClaimRequest) -> ClaimReply:
        return await self._find_bucket(claim_request).submit(claim_request)

    async def _answer_claim_request(
        self, claim_request: ClaimRequest, sender: HostId
    ) -> Message:
        return await self._take_locally(claim_request)

    async def _answer_settle(self, settle: ClaimSettlement, sender: HostId) -> Message:
        return await self._find_bucket(settle).submit(settle)

    def _find_writer(self, change: ClaimRequest | ClaimSettlement) -> HostId:
        live = self._kernel.find(MEMBERS).select(HostState.LIVE)
        return rank_hosts(f'claims {_number_bucket(change)}', live)[0]

    def _find_bucket(self, change: ClaimRequest | ClaimSettlement) -> '_Bucket':
        number = _number_bucket(change)
        if number not in self._buckets:
            bucket = _Bucket(self._kernel, number)
            self._buckets[number] = bucket
            self._supervise('claims', bucket.write_batches)
        return self._buckets[number]


class _Bucket:
    """One claim object and the changes that are pending for it."""

    def __init__(self, kernel: Kernel, number: int) -> None:
        self._name = f'{number:03d}'
        self._platform = kernel.find(PLATFORM)
        self._codec = kernel.find(CODEC)
        self._counters = kernel.find(COUNTERS)
        self._pending: asyncio.Queue[_PendingChange] = asyncio.Queue()
        self._claims: ClaimTable = {}
        self._revision: Revision | None = None
        self._write_limiter = TokenBucket(
            WRITES_PER_SECOND, WRITE_BURST, WRITE_BURST, Seconds(read_clock())
        )

    async def submit(self, change: ClaimRequest | ClaimSettlement) -> ClaimReply:
        """Queue a change for the next batch and return its result."""
        self._counters.add(Metric.CLAIMS_ASKED)
        done: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._pending.put_nowait(_PendingChange(change, done))
        return await done

    async def write_batches(self) -> NoReturn:
        """Write pending changes in batches, at most WRITES_PER_SECOND."""
        while True:
            batch = [await self._pending.get()]
            while not self._write_limiter.take(Seconds(read_clock())):
                await asyncio.sleep(1 / WRITES_PER_SECOND)
            while not self._pending.empty():
                batch.append(self._pending.get_nowait())
            replies = await self._write(batch)
            for entry, reply in zip(batch, replies, strict=True):
                if not entry.done.done():
                    entry.done.set_result(reply)

    async def _write(self, batch: list[_PendingChange]) -> list[ClaimReply]:
        """Apply a batch to the claim object and return the reply to each change.

        After a write whose reply was lost the object is read back. The tokens in it
        show whether the write took effect, so no claim is granted twice. If the
        platform is unavailable or every try fails, no change is granted.
        """
        for _ in range(MAX_TRIES):
            try:
                return await self._try_write(batch)
            except PlatformUnavailable:
                break
            except PlatformError:
                self._revision = None
        self._revision = None
        self._counters.add(Metric.PLATFORM_FAILURES, 'claims')
        return [ClaimReply(granted=False, reason=Reason.PLATFORM_DOWN)] * len(batch)

    async def _try_write(self, batch: list[_PendingChange]) -> list[ClaimReply]:
        needs_read = self._revision is None
        if needs_read:
            await self._read()
        claims = dict(self._claims)
        replies = [_apply(claims, entry.change) for entry in batch]
        if not needs_read and not all(reply.granted for reply in replies):
            # The cached claims may be stale: read the object before denying a claim.
            self._revision = None
            return await self._try_write(batch)
        if claims == self._claims:
            return replies
        content = self._codec.encode_claims(claims)
        expected = self._revision or NO_REVISION
        try:
            written = await self._platform.write(
                CLAIM_KIND, self._name, content, expected
            )
        except PlatformConflict:
            self._counters.add(Metric.CLAIM_WRITES, 'conflict')
            raise
        self._counters.add(Metric.CLAIM_WRITES, 'written')
        self._claims, self._revision = claims, written
        return replies

    async def _read(self) -> None:
        stored = await self._platform.read(CLAIM_KIND, self._name)
        self._claims = {}
        self._revision = NO_REVISION
        if stored is not None and stored.content is not None:
            self._claims = self._codec.decode_claims(stored.content)
            self._revision = stored.revision


def _apply(claims: ClaimTable, change: ClaimRequest | ClaimSettlement) -> ClaimReply:
    match change:
        case ClaimRequest() as claim_request:
            return acquire_claim(claims, claim_request)
        case ClaimSettlement() as settle:
            is_recorded = settle_claim(claims, settle)
            return ClaimReply(
                granted=is_recorded,
                reason=Reason.NONE if is_recorded else Reason.KEY_IN_USE,
            )


def _number_bucket(change: ClaimRequest | ClaimSettlement) -> int:
    return (
        xxhash.xxh3_64_intdigest(f'{change.organisation}/{change.key}'.encode())
        % BUCKETS
    )

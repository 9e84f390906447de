"""Record statuses, by which operators learn whether a record they wrote is in force.

Every host validates records alike, so only one of them writes the statuses to the
platform: the first live host in rendezvous order. A record that was there before the
host started needs a status only if it is rejected.
"""

import asyncio
from typing import NoReturn, Self

from ..contracts import (
    CATALOG,
    CODEC,
    COUNTERS,
    IDENTITY,
    MEMBERS,
    PLATFORM,
    RECORD_CHANGED,
    Importance,
    Metric,
)
from ..decisions import rank_hosts
from ..kernel import Kernel
from ..model import (
    NO_REVISION,
    HostState,
    PlatformError,
    RecordChange,
    RecordKind,
    RecordStatus,
    Seconds,
)
from ._tasks import TaskOwner

STATUS_KIND = 'status'
WRITE_INTERVAL = Seconds(0.5)  # between checks for statuses to write


class HostRecordStatuses(TaskOwner):
    """Write the status of each record that changed or is rejected."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._catalog = kernel.find(CATALOG)
        self._codec = kernel.find(CODEC)
        self._counters = kernel.find(COUNTERS)
        self._platform = kernel.find(PLATFORM)
        self._pending: dict[str, RecordStatus] = {}
        self._written: dict[str, RecordStatus] = {}

    async def __aenter__(self) -> Self:
        self._kernel.bus.subscribe(RECORD_CHANGED, self._note_change)
        self._supervise('record statuses', self._write_pending, Importance.AUXILIARY)
        return self

    def _note_change(self, change: RecordChange) -> None:
        first = self._catalog.first_watermark
        is_update = first != NO_REVISION and change.revision > first
        if is_update and change.kind is not RecordKind.SEATS:
            name = f'{change.kind.value}.{change.name}'
            self._pending[name] = RecordStatus(revision=change.revision)

    async def _write_pending(self) -> NoReturn:
        while True:
            await asyncio.sleep(WRITE_INTERVAL)
            self._pending |= {
                name.replace('/', '.', 1): record_status
                for name, record_status in self._catalog.list_refused().items()
            }
            due = {
                name: record_status
                for name, record_status in self._pending.items()
                if self._written.get(name) != record_status
            }
            self._pending.clear()
            if self._is_writer():
                for name, record_status in due.items():
                    await self._write(name, record_status)
            else:
                self._written |= due

    def _is_writer(self) -> bool:
        live = self._kernel.find(MEMBERS).select(HostState.LIVE)
        return rank_hosts('verdicts', live)[0] == self._identity.host

    async def _write(self, name: str, record_status: RecordStatus) -> None:
        content = self._codec.encode_record_status(record_status)
        try:
            stored = await self._platform.read(STATUS_KIND, name)
            known = NO_REVISION if stored is None else stored.revision
            if stored is None or stored.content != content:
                await self._platform.write(STATUS_KIND, name, content, known)
        except PlatformError:
            # The status stays pending. If only the reply was lost, the next try reads
            # the same content from the platform and writes nothing.
            self._counters.add(Metric.PLATFORM_FAILURES, 'status')
            self._pending.setdefault(name, record_status)
        else:
            self._written[name] = record_status

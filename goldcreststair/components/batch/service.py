"""Batch service of one VM: handles messages and runs the chunk owner and dispatchers."""

import asyncio
import logging
from collections import Counter
from dataclasses import replace
from typing import Final

from result import Err

from goldcreststair.components.batch.calendar import Calendar, SystemCalendar
from goldcreststair.components.batch.chunk_owner import ChunkOwner
from goldcreststair.components.batch.const import (
    ADVERT_FAN_OUT,
    ADVERT_MS,
    PUT_TIMEOUT_MS,
    TICK_MS,
)
from goldcreststair.components.batch.directory import Directory
from goldcreststair.components.batch.dispatchers import (
    Dispatchers,
    MakeAllowance,
    make_upstream_key,
)
from goldcreststair.components.batch.jobs import Jobs
from goldcreststair.components.batch.records import (
    PREFIX_CHUNK,
    decode_chunk,
    decode_manifest,
    encode_record,
    make_chunk_key,
    make_job_key,
)
from goldcreststair.components.batch.submission import Submission, SubmitOptions
from goldcreststair.components.batch.sweeper import Sweeper
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.ledger.protocols import (
    LEDGER,
    Change,
    CommitRefused,
    LedgerError,
    Partition,
)
from goldcreststair.core import ComponentKey, Core
from goldcreststair.online_pressure import ONLINE_PRESSURE
from goldcreststair.wire.generated.batch.ttypes import (
    BacklogAdvert,
    ChunksCount,
    ChunksGet,
    JobCancel,
    JobChanged,
    Lot,
    LotRenewal,
    LotRequest,
    LotResult,
    LotStop,
    RecordGet,
    RecordList,
    RecordPut,
    Reply,
    ReplyStatus,
)
from goldcreststair.wire.generated.online.ttypes import YieldHint

_LOGGER = logging.getLogger(__name__)

PREEMPT_HINT_NUMBER: Final = 100


class BatchService:
    """The batch component."""

    def __init__(
        self,
        core: Core,
        calendar: Calendar | None = None,
        make_allowance: MakeAllowance | None = None,
    ) -> None:
        """Register message handlers and subscribe to the ledger and the online pressure."""
        self._core = core
        self._calendar = calendar or SystemCalendar()
        self._ledger = core.get(LEDGER)
        self.directory = Directory(core)
        self.chunk_owner = ChunkOwner(core, self.directory, self._calendar)
        self.dispatchers = Dispatchers(core, self.directory, make_allowance)
        self._sweeper = Sweeper(core, self._calendar)
        self.jobs = Jobs(core, self.directory)
        self._ticking: asyncio.Task[None] | None = None
        self._sweeping: asyncio.Task[None] | None = None
        self._advertised_at = 0
        self._register()
        self._ledger.watch(self.chunk_owner.on_gained, self.chunk_owner.on_lost)
        self._ledger.watch(self._sweeper.on_gained, self._sweeper.on_lost)
        self._unsubscribe = core.blackboard.subscribe(
            ONLINE_PRESSURE, self.dispatchers.apply_pressure
        )

    async def async_start(self) -> None:
        """Start the periodic work and register for graceful shutdown."""
        self._core.drainables.append(self)
        self._ticking = asyncio.create_task(self._async_tick())

    async def async_drain(self, deadline_ms: int) -> None:
        """Start no more items; return when running ones have ended or were returned."""
        await self.dispatchers.async_drain(deadline_ms)

    async def async_close(self) -> None:
        """Return running items and stop."""
        self._unsubscribe()
        if self._ticking is not None:
            self._ticking.cancel()
            await asyncio.gather(self._ticking, return_exceptions=True)
            self._ticking = None
        if self._sweeping is not None:
            self._sweeping.cancel()
            await asyncio.gather(self._sweeping, return_exceptions=True)
        await self.dispatchers.async_close()
        await self.chunk_owner.async_close()

    def begin_submission(self, options: SubmitOptions) -> Submission:
        """Return a submission that is fed with the job's body."""
        return Submission(self._core, self.directory, self._calendar, options)

    def _register(self) -> None:
        register = self.directory.register
        register(60, RecordPut, self._async_put)
        register(61, RecordGet, self._async_get)
        register(62, RecordList, self._async_list)
        register(63, JobCancel, self._async_cancel)
        register(64, JobChanged, self._async_on_changed)
        register(65, BacklogAdvert, self._async_on_advert)
        register(66, LotRequest, self._async_on_lot_request)
        register(67, LotRenewal, self._async_on_renewal)
        register(68, LotResult, self._async_on_result)
        register(69, LotStop, self._async_on_stop)
        peers = self.directory.peers
        peers.register(70, Reply, None)
        peers.register(71, Lot, None)
        register(72, ChunksGet, self._async_count)
        peers.register(73, ChunksCount, None)
        register(PREEMPT_HINT_NUMBER, YieldHint, self._async_on_hint)

    async def _async_tick(self) -> None:
        while True:
            await self._core.clock.async_sleep(TICK_MS)
            try:
                self.chunk_owner.tick()
                self.dispatchers.tick()
                self._advertise()
                self._sweep()
            except Exception:
                # One malformed record must not stop all batch work of this VM.
                _LOGGER.exception("Failed to run periodic batch work")

    def _sweep(self) -> None:
        if self._sweeping is None or self._sweeping.done():
            self._sweeping = asyncio.ensure_future(self._sweeper.async_sweep())

    def _advertise(self) -> None:
        now = self._core.clock.now()
        if now - self._advertised_at < ADVERT_MS:
            return
        self._advertised_at = now
        for model, items in self.chunk_owner.count_backlog().items():
            advert = BacklogAdvert(model, items)
            for session in self._choose_dispatchers(model):
                if session == self._core.session_id:
                    self.dispatchers.apply_advert(session, advert)
                else:
                    self.directory.post(session, advert)

    def _choose_dispatchers(self, model: str) -> list[str]:
        upstreams = self._core.blackboard.read(CONFIGURATION).upstreams.values()
        names = [upstream.name for upstream in upstreams if model in upstream.served_names]
        owners = {self.directory.find_owner(make_upstream_key(name)) for name in names}
        known = sorted(owner for owner in owners if owner)
        return self._core.random.sample(known, min(ADVERT_FAN_OUT, len(known)))

    def _find_partition(self, key: str) -> Partition | Reply:
        index = self._ledger.find_index(key)
        partition = self._ledger.get_owned(index)
        if partition is not None:
            return partition
        return Reply(status=ReplyStatus.NOT_OWNER, owner=self._ledger.find_owner(index))

    async def _async_put(self, _: str, message: RecordPut) -> Reply:
        partition = self._find_partition(message.partition_key)
        if isinstance(partition, Reply):
            return partition
        existing = partition.get(message.key)
        self.chunk_owner.touch(message.key)
        value = message.value if existing is None else existing
        # Committed again even if it exists: it may only be staged, and a reply of OK before it is
        # durable would accept a job that is lost with this VM.
        outcome = await partition.async_commit([Change(message.key, value)], PUT_TIMEOUT_MS)
        if isinstance(outcome, Err):
            return _convert_error(outcome.err_value)
        if message.key.startswith(PREFIX_CHUNK):
            self.chunk_owner.add(partition, message.key, value)
            self.chunk_owner.touch(message.key)
        return Reply(status=ReplyStatus.OK, value=value)

    async def _async_get(self, _: str, message: RecordGet) -> Reply:
        partition = self._find_partition(message.partition_key)
        if isinstance(partition, Reply):
            return partition
        value = partition.get(message.key)
        status = ReplyStatus.MISSING if value is None else ReplyStatus.OK
        return Reply(status=status, value=value)

    async def _async_count(self, _: str, message: ChunksGet) -> ChunksCount:
        counts: Counter[str] = Counter()
        left: list[int] = []
        for number in message.numbers:
            key = make_chunk_key(message.job, message.fingerprint, number)
            partition = self._ledger.get_owned(self._ledger.find_index(key))
            value = partition.get(key) if partition is not None else None
            if value is None:
                left.append(number)
                continue
            counts.update(decode_chunk(value).states)
        return ChunksCount("".join(counts), list(counts.values()), left)

    async def _async_list(self, _: str, message: RecordList) -> Reply:
        partition = self._find_partition(message.partition_key)
        if isinstance(partition, Reply):
            return partition
        found = (value for key, value in partition.scan(message.prefix) if key > message.after)
        page = [value for _, value in zip(range(message.limit), found, strict=False)]
        return Reply(status=ReplyStatus.OK, value=b"\n".join(page))

    async def _async_cancel(self, _: str, message: JobCancel) -> Reply:
        key = make_job_key(message.job)
        partition = self._find_partition(key)
        if isinstance(partition, Reply):
            return partition
        value = partition.get(key)
        if value is None:
            return Reply(status=ReplyStatus.MISSING)
        cancelled = encode_record(replace(decode_manifest(value), cancelled=True))
        outcome = await partition.async_commit([Change(key, cancelled)], PUT_TIMEOUT_MS)
        if isinstance(outcome, Err):
            return _convert_error(outcome.err_value)
        return Reply(status=ReplyStatus.OK, value=cancelled)

    async def _async_on_changed(self, _: str, message: JobChanged) -> None:
        self.chunk_owner.check_job(message.job)

    async def _async_on_advert(self, sender: str, message: BacklogAdvert) -> None:
        self.dispatchers.apply_advert(sender, message)

    async def _async_on_lot_request(self, sender: str, message: LotRequest) -> Lot:
        return self.chunk_owner.assign(sender, message)

    async def _async_on_renewal(self, sender: str, message: LotRenewal) -> Reply:
        partition = self._find_partition(message.chunk)
        if isinstance(partition, Reply):
            return partition
        known = self.chunk_owner.renew(sender, message.chunk, message.indexes)
        return Reply(status=ReplyStatus.OK if known else ReplyStatus.MISSING)

    async def _async_on_result(self, sender: str, message: LotResult) -> Reply:
        partition = self._find_partition(message.chunk)
        if isinstance(partition, Reply):
            return partition
        if message.chunk not in self.chunk_owner.chunks:
            return Reply(status=ReplyStatus.MISSING)
        accepted = self.chunk_owner.accept(sender, message.chunk, message.results)
        return Reply(status=ReplyStatus.OK if accepted else ReplyStatus.REFUSED)

    async def _async_on_stop(self, _: str, message: LotStop) -> Reply:
        self.dispatchers.stop_chunk(message.chunk)
        return Reply(status=ReplyStatus.OK)

    async def _async_on_hint(self, sender: str, message: YieldHint) -> None:
        self.dispatchers.apply_hint(sender, message)


def _convert_error(error: LedgerError) -> Reply:
    refused = isinstance(error, CommitRefused)
    return Reply(status=ReplyStatus.REFUSED if refused else ReplyStatus.UNKNOWN)


BATCH: Final = ComponentKey[BatchService]("batch")
"""Batch jobs."""

"""Serves reads of jobs that this daemon does not run, from a cache or from the store."""

import logging
from collections import OrderedDict

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.fleet.models import OwnState
from goldcreststair.components.jobs.codec import decode_items
from goldcreststair.components.jobs.const import (
    CACHE_BYTES,
    PAGE_BYTES,
    READ_MARGIN_MS,
    REREAD_WAIT_SHARE,
)
from goldcreststair.components.jobs.errors import JobError, JobProblem
from goldcreststair.components.jobs.models import (
    ItemResult,
    JobItem,
    JobKey,
    JobRecord,
    ResultPage,
)
from goldcreststair.components.jobs.records import JobRecords
from goldcreststair.store.errors import ObjectMissing

_LOGGER = logging.getLogger(__name__)


class _CachedJob:
    """What this daemon has read of one job; cached data of a job never changes."""

    def __init__(self, record: JobRecord) -> None:
        self.record = record
        self.results: list[ItemResult] = []
        self.items: tuple[JobItem, ...] = ()

    def size(self) -> int:
        texts = sum(len(result.text) for result in self.results)
        return texts + sum(len(item.body) for item in self.items) + 1000


class JobReader:
    """Reads jobs from the store and caches the most recently read ones, up to a size limit."""

    def __init__(self, records: JobRecords, clock: Clock) -> None:
        """Start with an empty cache."""
        self._records = records
        self._clock = clock
        self._cache: OrderedDict[JobKey, _CachedJob] = OrderedDict()

    def cache_record(self, record: JobRecord) -> None:
        """Cache a job that was just accepted or loaded."""
        if record.key not in self._cache:
            self._cache[record.key] = _CachedJob(record)

    def has_results(self, key: JobKey, position: int) -> bool:
        """Return whether results from a position on can be served without the store."""
        cached = self._cache.get(key)
        if cached is None:
            return False
        return position < len(cached.results) or len(cached.results) == cached.record.items

    def cache_results(self, record: JobRecord, results: list[ItemResult]) -> None:
        """Cache the committed results of a job that this daemon ran."""
        self.cache_record(record)
        cached = self._cache[record.key]
        if len(results) > len(cached.results):
            cached.results = list(results)
        self._trim()

    async def async_find(self, key: JobKey) -> Result[JobRecord, JobError]:
        """Return a job as it was accepted."""
        cached = self._cache.get(key)
        if cached is not None:
            self._cache.move_to_end(key)
            return Ok(cached.record)
        found = await self._records.async_find(key)
        if isinstance(found, Err):
            return Err(JobError(found.err_value.message))
        if found.ok_value is None:
            return Err(JobError("no such job", JobProblem.MISSING))
        self.cache_record(found.ok_value)
        return Ok(found.ok_value)

    async def async_read(
        self, key: JobKey, position: int, wait_ms: int
    ) -> Result[ResultPage, JobError]:
        """Return results from a position on, read from the store if they are not cached.

        If there are none yet, the store is read once more shortly before `wait_ms` is over.
        """
        found = await self.async_find(key)
        if isinstance(found, Err):
            return found
        record = found.ok_value
        page = await self._async_read_page(record, position)
        if isinstance(page, Err) or page.ok_value.results or position >= record.items:
            return page
        if wait_ms <= 0:
            return page
        await self._clock.async_sleep(int(wait_ms * REREAD_WAIT_SHARE))
        return await self._async_read_page(record, position)

    async def async_read_items(self, key: JobKey) -> Result[tuple[JobItem, ...], JobError]:
        """Return all items of a job."""
        found = await self.async_find(key)
        if isinstance(found, Err):
            return found
        cached = self._cache.get(key) or _CachedJob(found.ok_value)
        if cached.items:
            return Ok(cached.items)
        content = await self._records.async_read_object(found.ok_value.body_object)
        if isinstance(content, Err):
            # The object is removed once all results are committed or the job has ended.
            gone = isinstance(content.err_value, ObjectMissing)
            problem = JobProblem.MISSING if gone else JobProblem.UNAVAILABLE
            return Err(JobError(content.err_value.message, problem))
        cached.items = decode_items(content.ok_value)
        self._trim()
        return Ok(cached.items)

    def invalidate(self, key: JobKey) -> None:
        """Remove a job whose record changed from the cache."""
        self._cache.pop(key, None)

    async def _async_read_page(
        self, record: JobRecord, position: int
    ) -> Result[ResultPage, JobError]:
        cached = self._cache.get(record.key) or _CachedJob(record)
        if position >= len(cached.results) and len(cached.results) < record.items:
            first = len(cached.results)
            read = await self._records.async_read_results(record.key, first)
            if isinstance(read, Err):
                return Err(JobError(read.err_value.message))
            # Concurrent readers fetch the same results: appended twice, each result would appear at
            # two positions.
            if len(cached.results) == first:
                cached.results += read.ok_value
            self._trim()
        return Ok(make_page(record.items, cached.results, position))

    def _trim(self) -> None:
        size = sum(cached.size() for cached in self._cache.values())
        while size > CACHE_BYTES and len(self._cache) > 1:
            _, dropped = self._cache.popitem(last=False)
            size -= dropped.size()


def limit_wait(wait_ms: int, own: OwnState, now: Millis) -> int:
    """Return how long a read may wait for its first result at a daemon that may be leaving.

    >>> limit_wait(1_000, OwnState(), 0), limit_wait(1_000, OwnState(stops_at=900), 400)
    (1000, 300)
    >>> limit_wait(1_000, OwnState(stops_at=900), 800)
    0
    """
    if own.stops_at is None:
        return wait_ms
    return max(0, min(wait_ms, own.stops_at - READ_MARGIN_MS - now))


def make_page(total: int, results: list[ItemResult], position: int) -> ResultPage:
    """Return the results from a position on, limited to the size of one answer."""
    page: list[ItemResult] = []
    size = 0
    for result in results[position:]:
        size += len(result.text)
        if page and size > PAGE_BYTES:
            break
        page.append(result)
    return ResultPage(total, tuple(page), position + len(page))

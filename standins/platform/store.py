"""In-memory platform services with faults."""

import asyncio
from bisect import bisect_right, insort
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok, Result

from goldcreststair.clock import Clock
from goldcreststair.store.errors import (
    ObjectMissing,
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    RowConflict,
)
from goldcreststair.store.models import ListedVm, Row, RowWrite
from goldcreststair.store.protocols import Platform


@dataclass(slots=True)
class PlatformFaults:
    """Faults in force; tests change them at any time."""

    down: bool = False
    """Refuse every call; none takes effect."""
    slow_ms: int = 0
    """Delay before each call takes effect, ms."""
    lose_answers: int = 0
    """Number of next writes that take effect but whose answers are lost."""
    lose_answer_share: float = 0.0
    """Fraction of writes that take effect but whose answers are lost."""
    list_lag_ms: int = 0
    """Age of the list of VMs, ms."""


@dataclass(slots=True)
class PlatformCounts:
    """Counts of the calls that the platform served."""

    reads: int = 0
    writes: int = 0
    object_writes: int = 0
    object_reads: int = 0
    list_reads: int = 0


@dataclass(slots=True)
class FakePlatform:
    """All services of the platform; implements each of its protocols."""

    clock: Clock
    random: Random = field(default_factory=lambda: Random(1))
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    counts: PlatformCounts = field(default_factory=PlatformCounts)
    rows: dict[str, Row] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    weights: dict[str, int] = field(default_factory=dict)
    _keys: list[str] = field(default_factory=list)
    _vm_lists: list[tuple[int, tuple[ListedVm, ...]]] = field(default_factory=list)

    def as_platform(self) -> Platform:
        """Return this stand-in as the platform's protocols."""
        return Platform(self, self, self, self)

    def set_vms(self, vms: Sequence[ListedVm]) -> None:
        """Change the list of VMs; readers see it after `list_lag_ms`."""
        self._vm_lists.append((self.clock.now(), tuple(vms)))

    async def async_read(self, key: str) -> Result[Row | None, PlatformError]:
        """Return one row, or None if it does not exist."""
        rows = await self.async_read_many([key])
        return rows.map(lambda found: found[0])

    async def async_read_many(
        self, keys: Sequence[str]
    ) -> Result[tuple[Row | None, ...], PlatformError]:
        """Return rows in the order of `keys`."""
        refused = await self._async_begin_call()
        if refused is not None:
            return Err(refused)
        self.counts.reads += len(keys)
        return Ok(tuple(self.rows.get(key) for key in keys))

    async def async_scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Return up to `limit` rows by prefix after a key, in the order of their keys."""
        refused = await self._async_begin_call()
        if refused is not None:
            return Err(refused)
        self.counts.reads += 1
        first = bisect_right(self._keys, after) if after >= prefix else 0
        found = (key for key in self._keys[first:] if key.startswith(prefix) and key > after)
        return Ok(tuple(self.rows[key] for _, key in zip(range(limit), found, strict=False)))

    async def async_write(
        self, writes: Sequence[RowWrite]
    ) -> Result[tuple[int, ...], PlatformError | RowConflict]:
        """Apply all writes, or none if a row has another version."""
        refused = await self._async_begin_call()
        if refused is not None:
            return Err(refused)
        self.counts.writes += 1
        for write in writes:
            current = self.rows.get(write.key)
            if (current.version if current else 0) != write.expected_version:
                return Err(RowConflict("version conflict", current))
        versions = tuple(self._apply(write) for write in writes)
        if self._consume_lost_answer():
            return Err(PlatformOutcomeUnknown("answer lost"))
        return Ok(versions)

    async def async_put(self, name: str, content: bytes) -> Result[None, PlatformError]:
        """Store an object."""
        refused = await self._async_begin_call()
        if refused is not None:
            return Err(refused)
        self.counts.object_writes += 1
        self.objects[name] = content
        if self._consume_lost_answer():
            return Err(PlatformOutcomeUnknown("answer lost"))
        return Ok(None)

    async def async_get(self, name: str) -> Result[bytes, PlatformError | ObjectMissing]:
        """Return an object's content."""
        refused = await self._async_begin_call()
        if refused is not None:
            return Err(refused)
        self.counts.object_reads += 1
        if name not in self.objects:
            return Err(ObjectMissing(f"no object {name}"))
        return Ok(self.objects[name])

    async def async_delete(self, name: str) -> Result[None, PlatformError]:
        """Remove an object."""
        refused = await self._async_begin_call()
        if refused is not None:
            return Err(refused)
        self.counts.object_writes += 1
        self.objects.pop(name, None)
        return Ok(None)

    async def async_list(self) -> Result[tuple[ListedVm, ...], PlatformError]:
        """Return the list of VMs of `list_lag_ms` ago."""
        refused = await self._async_begin_call()
        if refused is not None:
            return Err(refused)
        self.counts.list_reads += 1
        horizon = self.clock.now() - self.faults.list_lag_ms
        known = [vms for at, vms in self._vm_lists if at <= horizon]
        return Ok(known[-1] if known else ())

    async def async_describe(self, model: str) -> Result[int, PlatformError | ObjectMissing]:
        """Return the size of a model's weights in bytes."""
        refused = await self._async_begin_call()
        if refused is not None:
            return Err(refused)
        if model not in self.weights:
            return Err(ObjectMissing(f"no weights of {model}"))
        return Ok(self.weights[model])

    async def _async_begin_call(self) -> PlatformError | None:
        if self.faults.slow_ms:
            await self.clock.async_sleep(self.faults.slow_ms)
        else:
            await asyncio.sleep(0)
        return PlatformUnavailable("platform down") if self.faults.down else None

    def _apply(self, write: RowWrite) -> int:
        if write.value is None:
            if self.rows.pop(write.key, None) is not None:
                self._keys.remove(write.key)
            return 0
        if write.key not in self.rows:
            insort(self._keys, write.key)
        version = write.expected_version + 1
        self.rows[write.key] = Row(write.key, version, write.value)
        return version

    def _consume_lost_answer(self) -> bool:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        return self.random.random() < self.faults.lose_answer_share

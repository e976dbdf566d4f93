"""Counts the crashes that each request was running at, over all daemons, in the store.

Load it answers: now and then one request crashes each upstream that runs it, and its caller sends it
again, at any VM. A crash costs all runs of an upstream; the request has to be known after a few, wherever
it comes back, while the innocent that ran beside it go on.
"""

import asyncio
import logging
from collections.abc import Iterable
from typing import Final

import orjson
from result import Err, Ok

from goldcreststair.clock import Millis
from goldcreststair.components.crash_marks.const import (
    BEGUN,
    BEGUN_CRASHES_TO_REFUSE,
    CRASHES_TO_REFUSE,
    GATHER_MS,
    MAX_MARKS,
    MAX_SHARED,
    REFUSED_MS,
    TABLE,
    TRIES,
)
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.core import ComponentKey
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.errors import PlatformError
from goldcreststair.store.rows import RowKey, RowRange, RowsConflict, StoredRow, Transaction
from goldcreststair.upstreams.runner import CONNECT_TIMEOUT_MS
from goldcreststair.wire.generated.gateway.ttypes import Beacon

_LOGGER = logging.getLogger(__name__)


class CrashTracker:
    """Finds crashes among lost runs, marks what ran there, and knows what to refuse."""

    def __init__(self, core: GatewayCore) -> None:
        """Know nothing."""
        self._core = core
        self._clock = core.clock
        self._links = core.get(FLEET_LINKS)
        self._links.add_beacon_contributor(self._contribute)
        self._links.subscribe_beacons(self._on_beacon, lambda _: None)
        self._lost: dict[str, dict[str, bool]] = {}
        """By upstream, the runs that were lost a moment ago: fingerprint, and whether it had begun."""
        self._refused: dict[str, Millis] = {}
        """Fingerprint to the time until which it is refused."""
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Do nothing; lost runs drive it."""

    async def async_close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request must not run."""
        until = self._refused.get(fingerprint)
        return until is not None and until > self._clock.now()

    def report_lost_run(self, entry: UpstreamEntry, fingerprint: str, *, begun: bool) -> None:
        """Note that a run's connection broke; `begun` says that the run had brought something."""
        if entry.name in self._lost:
            self._lost[entry.name][fingerprint] = begun
            return
        self._lost[entry.name] = {fingerprint: begun}
        task = asyncio.create_task(self._async_look(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_look(self, entry: UpstreamEntry) -> None:
        await self._clock.async_sleep(GATHER_MS)
        lost = self._lost.pop(entry.name)
        # A single connection breaks now and then; only an upstream that takes no new one has crashed.
        if await self._core.runner.pool.async_warm(entry.address, CONNECT_TIMEOUT_MS):
            return
        extra = {"upstream": entry.name, "runs": len(lost)}
        _LOGGER.warning("Upstream crashed with runs of this daemon", extra=extra)
        crash = f"{entry.name}:{entry.started_ms}"
        for begun in (False, True):
            names = sorted(name for name, had_begun in lost.items() if had_begun is begun)
            for part in _cut(names):
                await self._async_mark(part, crash + BEGUN if begun else crash)

    async def _async_mark(self, fingerprints: list[str], crash: str) -> None:
        """Add a crash to the rows of some fingerprints."""
        for _ in range(TRIES):
            first, last = fingerprints[0], fingerprints[-1]
            read = await self._core.adapter.store.async_read(
                RowRange(TABLE, first=first, end=last + "\0")
            )
            if isinstance(read, Err):
                _LOGGER.warning("Crash not marked: %s", read.err_value.message)
                return
            known = {row.key.key: row for row in read.ok_value.rows}
            marks = {name: _add_crash(known.get(name), crash) for name in fingerprints}
            written = await self._async_write(marks, known)
            if isinstance(written, Ok):
                self._refuse(name for name, found in marks.items() if is_poison(found))
                return
            if not isinstance(written.err_value, RowsConflict):
                _LOGGER.warning("Crash not marked: %s", written.err_value.message)
                return

    async def _async_write(
        self, marks: dict[str, list[str]], known: dict[str, StoredRow]
    ) -> Ok[object] | Err[PlatformError]:
        puts = tuple((RowKey(TABLE, "", n), orjson.dumps(found)) for n, found in marks.items())
        conditions = tuple(
            (RowKey(TABLE, "", n), known[n].version if n in known else 0) for n in marks
        )
        return await self._core.adapter.store.async_commit(Transaction(puts, (), conditions))

    def _refuse(self, fingerprints: Iterable[str]) -> None:
        until = Millis(self._clock.now() + REFUSED_MS)
        for fingerprint in fingerprints:
            if not self.is_refused(fingerprint):
                _LOGGER.warning("Request crashes upstreams", extra={"fingerprint": fingerprint})
                self._refused[fingerprint] = until
                self._links.schedule_beacon()

    def _contribute(self, beacon: Beacon) -> None:
        now = self._clock.now()
        self._refused = {name: until for name, until in self._refused.items() if until > now}
        beacon.refused = list(self._refused)[-MAX_SHARED:] or None

    def _on_beacon(self, _: str, beacon: Beacon) -> None:
        self._refuse(beacon.refused or ())


def is_poison(crashes: list[str]) -> bool:
    """Return whether a request that ran at these crashes is refused from now on.

    >>> is_poison(["a:1", "b:1"]), is_poison(["a:1", "b:1", "a:2"])
    (False, True)
    >>> is_poison(["a:1", "b:1", "a:2:begun"])
    False
    """
    at_begin = sum(not crash.endswith(BEGUN) for crash in crashes)
    return at_begin >= CRASHES_TO_REFUSE or len(crashes) >= BEGUN_CRASHES_TO_REFUSE


def _add_crash(row: StoredRow | None, crash: str) -> list[str]:
    crashes: list[str] = orjson.loads(row.value) if row is not None else []
    # One crash is met by the runs of several daemons, and by a request that was sent to two.
    return crashes if crash in crashes else [*crashes, crash]


def _cut(names: list[str]) -> list[list[str]]:
    return [names[at : at + MAX_MARKS] for at in range(0, len(names), MAX_MARKS)]


CRASH_TRACKER: Final = ComponentKey[CrashTracker]("crash_marks")

"""Counts, in the store, the crashes during which each request was running at any daemon.

Now and then a request crashes each upstream that runs it, and its caller sends it again, to any VM.
A crash ends all runs of an upstream, so the request has to be recognised after a few crashes,
whichever VM receives it, while other requests that ran there are still accepted.
"""

import asyncio
import logging
from collections.abc import Iterable
from typing import Final

import orjson
from result import Err, Ok

from goldcreststair.clock import Millis
from goldcreststair.components.crash_marks.const import (
    ALL_CRASHES_TO_REFUSE,
    BEGUN_SUFFIX,
    COLLECT_MS,
    CRASHES_TO_REFUSE,
    MAX_LOGGED_RUNS,
    MAX_REFUSED_IN_BEACON,
    MAX_ROWS,
    MAX_WRITE_ATTEMPTS,
    REFUSED_MS,
    TABLE,
)
from goldcreststair.components.crash_marks.models import LostRun
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.core import ComponentKey
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.errors import PlatformError
from goldcreststair.store.rows import RowKey, RowRange, RowsConflict, StoredRow, Transaction
from goldcreststair.upstreams.runner import CONNECT_TIMEOUT_MS
from goldcreststair.wire.generated.gateway.ttypes import Beacon

_LOGGER = logging.getLogger(__name__)


class CrashTracker:
    """Detects crashes from lost runs, records which requests ran, and decides what to refuse."""

    def __init__(self, core: GatewayCore) -> None:
        """Start without lost runs and refused requests."""
        self._core = core
        self._clock = core.clock
        self._links = core.get(FLEET_LINKS)
        self._links.add_beacon_contributor(self._contribute)
        self._links.subscribe_beacons(self._on_beacon, lambda _: None)
        self._lost: dict[str, list[LostRun]] = {}
        """By upstream, the runs that were just lost."""
        self._refused: dict[str, Millis] = {}
        """Until when each fingerprint is refused."""
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Do nothing; reports of lost runs drive this component."""

    async def async_close(self) -> None:
        """Cancel the running checks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request must not run."""
        until = self._refused.get(fingerprint)
        return until is not None and until > self._clock.now()

    def report_lost_run(self, entry: UpstreamEntry, run: LostRun) -> None:
        """Report that a run's connection broke."""
        if entry.name in self._lost:
            self._lost[entry.name].append(run)
            return
        self._lost[entry.name] = [run]
        task = asyncio.create_task(self._async_check_upstream(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_check_upstream(self, entry: UpstreamEntry) -> None:
        await self._clock.async_sleep(COLLECT_MS)
        lost = self._lost.pop(entry.name)
        # Single connections break now and then; an upstream has crashed only if it accepts no new
        # connection.
        if await self._core.runner.pool.async_warm(entry.address, CONNECT_TIMEOUT_MS):
            return
        self._core.get(PLACEMENT).controller.upstreams.mark_interrupted(entry.name)
        crash = f"{entry.name}:{entry.started_ms}"
        self._log_crash(entry, crash, lost)
        begun_by_name = {run.fingerprint: run.events > 0 for run in lost}
        for begun in (False, True):
            names = sorted(name for name, had_begun in begun_by_name.items() if had_begun is begun)
            for part in _split(names):
                await self._async_record_crash(part, crash + BEGUN_SUFFIX if begun else crash)

    def _log_crash(self, entry: UpstreamEntry, crash: str, lost: list[LostRun]) -> None:
        self._core.meters.count_upstream_crash()
        extra = {
            "upstream": entry.name,
            "crash": crash,
            "software": entry.software_version,
            "runs": len(lost),
            "lost": [
                {"request": run.request, "parts": run.prompt_parts, "events": run.events}
                for run in lost[:MAX_LOGGED_RUNS]
            ],
        }
        _LOGGER.warning("Upstream crashed while running requests of this daemon", extra=extra)

    async def _async_record_crash(self, fingerprints: list[str], crash: str) -> None:
        """Add a crash to the rows of some fingerprints."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            first, last = fingerprints[0], fingerprints[-1]
            read = await self._core.adapter.store.async_read(
                RowRange(TABLE, first=first, end=last + "\0")
            )
            if isinstance(read, Err):
                _LOGGER.warning("Crash not recorded: %s", read.err_value.message)
                return
            known = {row.key.key: row for row in read.ok_value.rows}
            marks = {name: _add_crash(known.get(name), crash) for name in fingerprints}
            written = await self._async_write_marks(marks, known)
            if isinstance(written, Ok):
                self._refuse(name for name, found in marks.items() if must_refuse(found))
                return
            if not isinstance(written.err_value, RowsConflict):
                _LOGGER.warning("Crash not recorded: %s", written.err_value.message)
                return

    async def _async_write_marks(
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
                _LOGGER.warning(
                    "Request quarantined after upstream crashes", extra={"fingerprint": fingerprint}
                )
                self._refused[fingerprint] = until
                self._links.schedule_beacon()

    def _contribute(self, beacon: Beacon) -> None:
        now = self._clock.now()
        self._refused = {name: until for name, until in self._refused.items() if until > now}
        beacon.refused = list(self._refused)[-MAX_REFUSED_IN_BEACON:] or None

    def _on_beacon(self, _: str, beacon: Beacon) -> None:
        self._refuse(beacon.refused or ())


def must_refuse(crashes: list[str]) -> bool:
    """Return whether a request that was running at these crashes is refused from now on.

    >>> must_refuse(["a:1", "b:1"]), must_refuse(["a:1", "b:1", "a:2"])
    (False, True)
    >>> must_refuse(["a:1", "b:1", "a:2:begun"])
    False
    """
    before_output = sum(not crash.endswith(BEGUN_SUFFIX) for crash in crashes)
    return before_output >= CRASHES_TO_REFUSE or len(crashes) >= ALL_CRASHES_TO_REFUSE


def _add_crash(row: StoredRow | None, crash: str) -> list[str]:
    crashes: list[str] = orjson.loads(row.value) if row is not None else []
    # Several daemons, or one request sent to two, may report the same crash.
    return crashes if crash in crashes else [*crashes, crash]


def _split(names: list[str]) -> list[list[str]]:
    return [names[at : at + MAX_ROWS] for at in range(0, len(names), MAX_ROWS)]


CRASH_TRACKER: Final = ComponentKey[CrashTracker]("crash_marks")

"""Identifies which of several concurrent requests crashes upstreams."""

import logging
from collections.abc import Callable
from typing import Final

from goldcreststair.components.membership.protocols import (
    SET_QUARANTINE,
    SHARED_SETS,
    SharedSets,
)
from goldcreststair.components.quarantine.const import (
    CRASHES_TO_QUARANTINE,
    QUARANTINE_LIFETIME_MS,
    SET_SUSPECTS,
    SUSPECT_LIFETIME_MS,
)
from goldcreststair.components.quarantine.parts import PartQuarantine
from goldcreststair.core import Core
from goldcreststair.journal import Subject

_LOGGER = logging.getLogger(__name__)

NOT_SUSPECT: Final = -1
"""Crash count of a request that is not a suspect."""


class LocalSets:
    """Fallback when no component offers `SHARED_SETS`; the quarantine then covers this VM only."""

    def __init__(self) -> None:
        """Create empty sets."""
        self._items: set[tuple[str, str]] = set()
        self._watchers: list[tuple[str, Callable[[str], None]]] = []

    def add(self, name: str, item: str, lifetime_ms: int = 0) -> None:
        """Add an item; `lifetime_ms` is ignored, items never expire."""
        if (name, item) in self._items:
            return
        self._items.add((name, item))
        for watched, on_added in tuple(self._watchers):
            if watched == name:
                on_added(item)

    def contains(self, name: str, item: str) -> bool:
        """Return whether the set holds the item."""
        return (name, item) in self._items

    def watch(self, name: str, on_added: Callable[[str], None]) -> None:
        """Register a callback for every new item."""
        self._watchers.append((name, on_added))


class QuarantineController:
    """Counts, for each suspect, the crashes in which it was the only suspect running."""

    def __init__(self, core: Core) -> None:
        """Use the fleet-wide shared sets if they are offered, else local ones."""
        self._journal = core.journal
        self._sets = _find_sets(core)
        self._running: dict[str, dict[str, str]] = {}
        self._attributed: set[tuple[str, str]] = set()
        self._cleared: set[str] = set()
        self.parts = PartQuarantine(core, self._sets)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must not run."""
        return self._sets.contains(SET_QUARANTINE, fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request must run apart from other suspects."""
        return fingerprint not in self._cleared and self._read_count(fingerprint) > NOT_SUSPECT

    def begin(self, upstream: str, request_id: str, fingerprint: str) -> None:
        """Record that a request started at an upstream."""
        self._running.setdefault(upstream, {})[request_id] = fingerprint

    def end(self, upstream: str, request_id: str, *, ok: bool) -> None:
        """Record that a run ended; `ok` clears a suspect that has no counted crash."""
        fingerprint = self._running.get(upstream, {}).pop(request_id, "")
        self._attributed.discard((upstream, request_id))
        if ok and self._read_count(fingerprint) == 0:
            self._cleared.add(fingerprint)

    def report_crash(self, upstream: str, request_id: str) -> None:
        """Record that a run's connection broke; call before its `end`."""
        running = self._running.get(upstream, {})
        if (upstream, request_id) in self._attributed or request_id not in running:
            return
        suspects = {fingerprint for fingerprint in running.values() if self.is_suspect(fingerprint)}
        if len(suspects) != 1:
            self._mark_all_suspect(upstream, running)
        elif running[request_id] in suspects:
            self._attributed |= {(upstream, other) for other in running}
            self._count_crash(running[request_id], upstream)
        else:
            self._mark_suspect(running[request_id])

    def _mark_all_suspect(self, upstream: str, running: dict[str, str]) -> None:
        # One crash breaks many connections. The first report makes all running requests suspects
        # and the later reports of the same crash are ignored; counting each of them would add a
        # crash to innocent requests for every other request that ran beside them.
        self._attributed |= {(upstream, request_id) for request_id in running}
        for fingerprint in set(running.values()):
            self._mark_suspect(fingerprint)
        _LOGGER.warning(
            "Upstream %s crashed with %d requests running; all of them are suspects",
            upstream,
            len(running),
        )

    def _mark_suspect(self, fingerprint: str) -> None:
        self._cleared.discard(fingerprint)
        self._publish_count(fingerprint, max(0, self._read_count(fingerprint)))

    def _count_crash(self, fingerprint: str, upstream: str) -> None:
        crashes = self._read_count(fingerprint) + 1
        self._publish_count(fingerprint, crashes)
        reason = f"crash {crashes} as the only suspect at {upstream}"
        self._journal.record(Subject.REQUEST, fingerprint, "suspect", reason, crashes=crashes)
        if crashes >= CRASHES_TO_QUARANTINE:
            _LOGGER.warning(
                "Request %s is quarantined after %d crashes as the only suspect",
                fingerprint,
                crashes,
            )
            self._sets.add(SET_QUARANTINE, fingerprint, QUARANTINE_LIFETIME_MS)

    def _publish_count(self, fingerprint: str, crashes: int) -> None:
        self._sets.add(SET_SUSPECTS, f"{fingerprint}:{crashes}", SUSPECT_LIFETIME_MS)

    def _read_count(self, fingerprint: str) -> int:
        for crashes in range(CRASHES_TO_QUARANTINE, NOT_SUSPECT, -1):
            if self._sets.contains(SET_SUSPECTS, f"{fingerprint}:{crashes}"):
                return crashes
        return NOT_SUSPECT


def _find_sets(core: Core) -> SharedSets | LocalSets:
    try:
        return core.get(SHARED_SETS)
    except KeyError:
        return LocalSets()

"""Finds the one request among many that crashes upstreams."""

import logging
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
from goldcreststair.core import Core
from goldcreststair.journal import Subject

_LOGGER = logging.getLogger(__name__)

NO_CRASH: Final = -1


class LocalSets:
    """Stands for the shared sets where none are offered: the quarantine holds on this VM only."""

    def __init__(self) -> None:
        """Start empty."""
        self._items: set[tuple[str, str]] = set()

    def add(self, name: str, item: str, lifetime_ms: int = 0) -> None:
        """Add an item."""
        self._items.add((name, item))

    def contains(self, name: str, item: str) -> bool:
        """Return whether the item is known."""
        return (name, item) in self._items


class QuarantineController:
    """Counts the crashes of each suspect while it ran apart from other suspects."""

    def __init__(self, core: Core) -> None:
        """Share suspicion with the fleet where shared sets are offered."""
        self._journal = core.journal
        self._sets = _find_sets(core)
        self._running: dict[str, dict[str, str]] = {}
        self._blamed: set[tuple[str, str]] = set()
        self._cleared: set[str] = set()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must not run."""
        return self._sets.contains(SET_QUARANTINE, fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request must run apart from other suspects."""
        return fingerprint not in self._cleared and self._count(fingerprint) > NO_CRASH

    def begin(self, upstream: str, request_id: str, fingerprint: str) -> None:
        """Note that a request runs at an upstream."""
        self._running.setdefault(upstream, {})[request_id] = fingerprint

    def end(self, upstream: str, request_id: str, *, ok: bool) -> None:
        """Note that a run ended; `ok` clears the request of suspicion."""
        fingerprint = self._running.get(upstream, {}).pop(request_id, "")
        self._blamed.discard((upstream, request_id))
        if ok and self._count(fingerprint) == 0:
            self._cleared.add(fingerprint)

    def report_crash(self, upstream: str, request_id: str) -> None:
        """Note that a run's connection broke; call before its `end`."""
        running = self._running.get(upstream, {})
        if (upstream, request_id) in self._blamed or request_id not in running:
            return
        suspects = {fingerprint for fingerprint in running.values() if self.is_suspect(fingerprint)}
        if len(suspects) != 1:
            self._suspect_all(upstream, running)
        elif running[request_id] in suspects:
            self._blamed |= {(upstream, other) for other in running}
            self._count_alone(running[request_id], upstream)
        else:
            self._suspect(running[request_id])

    def _suspect_all(self, upstream: str, running: dict[str, str]) -> None:
        # One crash breaks many connections: the first report blames all, the rest are the same
        # crash. Counted one by one, each innocent would gather a crash for every neighbour.
        self._blamed |= {(upstream, request_id) for request_id in running}
        for fingerprint in set(running.values()):
            self._suspect(fingerprint)
        _LOGGER.warning("Upstream %s broke with %d requests running", upstream, len(running))

    def _suspect(self, fingerprint: str) -> None:
        self._cleared.discard(fingerprint)
        self._share(fingerprint, max(0, self._count(fingerprint)))

    def _count_alone(self, fingerprint: str, upstream: str) -> None:
        crashes = self._count(fingerprint) + 1
        self._share(fingerprint, crashes)
        reason = f"crash {crashes} alone at {upstream}"
        self._journal.record(Subject.REQUEST, fingerprint, "suspect", reason, crashes=crashes)
        if crashes >= CRASHES_TO_QUARANTINE:
            _LOGGER.warning("Request %s is quarantined after %d crashes", fingerprint, crashes)
            self._sets.add(SET_QUARANTINE, fingerprint, QUARANTINE_LIFETIME_MS)

    def _share(self, fingerprint: str, crashes: int) -> None:
        self._sets.add(SET_SUSPECTS, f"{fingerprint}:{crashes}", SUSPECT_LIFETIME_MS)

    def _count(self, fingerprint: str) -> int:
        for crashes in range(CRASHES_TO_QUARANTINE, NO_CRASH, -1):
            if self._sets.contains(SET_SUSPECTS, f"{fingerprint}:{crashes}"):
                return crashes
        return NO_CRASH


def _find_sets(core: Core) -> SharedSets | LocalSets:
    try:
        return core.get(SHARED_SETS)
    except KeyError:
        return LocalSets()

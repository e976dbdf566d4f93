"""Exchanges crashes, cleared suspects and verdicts with the other daemons through beacons."""

import logging
from collections import OrderedDict
from collections.abc import Callable, Container, Iterable
from typing import Protocol

from result import Err

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.crash_marks.codec import (
    decode_cleared,
    decode_report,
    encode_cleared,
    encode_report,
    encode_verdict,
    iterate_verdicts,
    join_suspects,
    split_suspects,
)
from goldcreststair.components.crash_marks.const import (
    MAX_PROBES_IN_BEACON,
    MAX_REPORTS_IN_BEACON,
    MAX_VERDICTS_IN_BEACON,
    PROBES_VALID_MS,
    REPORT_MS,
    YOUNG_MS,
)
from goldcreststair.components.crash_marks.verdicts import Verdicts
from goldcreststair.helpers.crash_evidence import Cleared, CrashReport, Suspect, Suspects
from goldcreststair.wire.generated.gateway.ttypes import Beacon, ClearedSuspects

_LOGGER = logging.getLogger(__name__)


class CrashListener(Protocol):
    """Receives what other daemons report."""

    def on_report(self, report: CrashReport) -> None:
        """Handle another daemon's report of a crash."""

    def on_cleared(self, cleared: Cleared) -> None:
        """Handle suspects that another daemon clears of a crash, or whose verdicts it released."""

    def on_verdict(self, suspects: Suspects) -> None:
        """Handle a verdict of another daemon."""


class CrashGossip:
    """Fills and reads the beacon's fields about crashes."""

    def __init__(
        self,
        clock: Clock,
        verdicts: Verdicts,
        list_probing: Callable[[], Iterable[Suspect]],
        listener: CrashListener,
    ) -> None:
        """Start without reports; `list_probing` returns the suspects that run here."""
        self._clock = clock
        self._verdicts = verdicts
        self._list_probing = list_probing
        self._listener = listener
        self._reports: OrderedDict[bytes, tuple[CrashReport, Millis]] = OrderedDict()
        """This daemon's own reports, by crash, and when it was seen."""
        self._cleared: dict[bytes, dict[Suspect, Millis]] = {}
        """Cleared suspects to announce, by crash, and since when."""
        self._probing: dict[str, tuple[Suspects, Millis]] = {}
        """Suspects that run at other daemons, as they last reported, and when."""

    def announce_report(self, report: CrashReport) -> None:
        """Announce a crash that this daemon saw, or more runs that were lost in it."""
        since = Millis(self._clock.now() - report.age_ms)
        known, at = self._reports.pop(report.crash, (report, since))
        suspects = known.suspects | report.suspects
        begun = (known.begun | report.begun) - suspects
        merged = CrashReport(report.crash, report.software, suspects, begun)
        self._reports[report.crash] = merged, at
        while len(self._reports) > MAX_REPORTS_IN_BEACON:
            self._reports.popitem(last=False)

    def announce_cleared(self, cleared: Cleared) -> None:
        """Announce suspects that this daemon clears of a crash, or whose verdicts it released."""
        announced, now = self._cleared.setdefault(cleared.crash, {}), self._clock.now()
        announced.update(dict.fromkeys(cleared.suspects, now))

    def is_probed_elsewhere(self, suspects: Suspects) -> bool:
        """Return whether another daemon runs a request with one of these suspects."""
        horizon = self._clock.now() - PROBES_VALID_MS
        return any(at >= horizon and found & suspects for found, at in self._probing.values())

    def forget(self, session: str) -> None:
        """Forget what a daemon that is gone was running."""
        self._probing.pop(session, None)

    def contribute(self, beacon: Beacon) -> None:
        """Add the fields of this component to a beacon."""
        now = self._clock.now()
        for crash in [c for c, (_, at) in self._reports.items() if at < now - REPORT_MS]:
            del self._reports[crash]
        reports = [encode_report(report, now - at) for report, at in self._reports.values()]
        beacon.crashes = reports or None
        beacon.cleared = self._list_cleared(now) or None
        probing = frozenset(sorted(self._list_probing())[:MAX_PROBES_IN_BEACON])
        beacon.probing = join_suspects(probing) or None
        young = self._verdicts.list_young(YOUNG_MS)[-MAX_VERDICTS_IN_BEACON:]
        beacon.refused = [encode_verdict(each) for each in young] or None
        beacon.verdicts = self._verdicts.set_hash

    def apply(self, session: str, beacon: Beacon, own_running: Container[Suspect]) -> None:
        """Apply the fields of another daemon's beacon, or of a relay's digest.

        `own_running` holds the suspects that run at this daemon.
        """
        for raw in beacon.crashes or ():
            self._listener.on_report(decode_report(raw))
        for raw in beacon.cleared or ():
            self._listener.on_cleared(decode_cleared(raw))
        for verdict in iterate_verdicts(beacon.refused or ()):
            if isinstance(verdict, Err):
                _LOGGER.warning("Verdict of %s unreadable: %s", session, verdict.err_value.message)
            else:
                self._listener.on_verdict(verdict.ok_value)
        probing = split_suspects(beacon.probing) if beacon.probing else frozenset()
        # A digest lists what this daemon runs as well.
        probing = frozenset(each for each in probing if each not in own_running)
        if probing:
            self._probing[session] = probing, self._clock.now()
        else:
            self._probing.pop(session, None)

    def _list_cleared(self, now: Millis) -> list[ClearedSuspects]:
        listed: list[ClearedSuspects] = []
        for crash, announced in tuple(self._cleared.items()):
            for suspect in [s for s, at in announced.items() if at < now - REPORT_MS]:
                del announced[suspect]
            if announced:
                listed.append(encode_cleared(Cleared(crash, frozenset(announced))))
            else:
                del self._cleared[crash]
        return listed[-MAX_REPORTS_IN_BEACON:]

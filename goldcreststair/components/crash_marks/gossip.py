"""Exchanges crashes, answers and verdicts with the other daemons through beacons."""

import logging
from collections import OrderedDict
from collections.abc import Callable, Container, Iterable
from typing import Protocol

from result import Err

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.crash_marks.codec import (
    decode_answers,
    decode_report,
    encode_answers,
    encode_report,
    iterate_verdicts,
    join_suspects,
    split_suspects,
)
from goldcreststair.components.crash_marks.const import (
    MAX_ANSWERS_IN_BEACON,
    MAX_PROBES_IN_BEACON,
    MAX_REPORTS_IN_BEACON,
    MAX_VERDICTS_IN_BEACON,
    PROBES_VALID_MS,
    REPORT_MS,
    YOUNG_MS,
)
from goldcreststair.helpers.crash_evidence import (
    BEGIN,
    Answers,
    CrashReport,
    Suspect,
    Suspects,
    Written,
    make_answers,
)
from goldcreststair.helpers.crash_verdicts import Verdicts, encode_verdict
from goldcreststair.wire.generated.gateway.ttypes import AnsweredSuspects, Beacon

_LOGGER = logging.getLogger(__name__)


class CrashListener(Protocol):
    """Receives what other daemons report."""

    def on_report(self, report: CrashReport) -> None:
        """Handle another daemon's report of a crash."""

    def on_answers(self, answers: Answers) -> None:
        """Handle answers that another daemon relayed."""

    def on_released(self, suspects: Suspects) -> None:
        """Handle suspects whose verdicts another daemon released."""

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
        self._answered: dict[int, dict[Suspect, Written]] = {}
        """The answers that are announced, by software and suspect."""
        self._answers_until = Millis(0)
        self._released: dict[Suspect, Millis] = {}
        """Suspects whose verdicts were released, and until when that is announced."""
        self._probing: dict[str, tuple[Suspects, Millis]] = {}
        """Suspects that run at other daemons, as they last reported, and when."""

    def announce_report(self, report: CrashReport) -> None:
        """Announce a crash that this daemon saw, or more runs that were lost in it."""
        since = Millis(self._clock.now() - report.age_ms)
        known, at = self._reports.pop(report.crash, (report, since))
        extents = {
            each: known.extents.get(each, BEGIN).extend(report.extents.get(each, BEGIN))
            for each in known.begun | report.begun
        }
        late = {each for each, extent in extents.items() if extent.is_late}
        suspects = (known.suspects | report.suspects) - late
        begun = (known.begun | report.begun) - suspects
        others, elsewhere = known.others, {**report.elsewhere, **known.elsewhere}
        merged = CrashReport(
            report.crash,
            report.software,
            suspects,
            begun,
            others=others,
            elsewhere=elsewhere,
            extents={each: extents[each] for each in begun},
        )
        self._reports[report.crash] = merged, at
        while len(self._reports) > MAX_REPORTS_IN_BEACON:
            self._reports.popitem(last=False)

    def announce_answers(self, answers: Answers) -> None:
        """Announce that upstreams have answered suspects of several crashes."""
        now = self._clock.now()
        announced = self._answered.setdefault(answers.software, {})
        announced.update(answers.iterate(now))
        self._answers_until = Millis(now + REPORT_MS)

    def announce_released(self, suspects: Suspects) -> None:
        """Announce that this daemon released verdicts on suspects."""
        self._released.update(dict.fromkeys(suspects, Millis(self._clock.now() + REPORT_MS)))

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
        beacon.answered = self._list_answered(now) or None
        self._released = {each: until for each, until in self._released.items() if until > now}
        beacon.released = join_suspects(frozenset(self._released)) or None
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
        for raw in beacon.answered or ():
            self._listener.on_answers(decode_answers(raw))
        if beacon.released:
            self._listener.on_released(split_suspects(beacon.released))
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

    def _list_answered(self, now: Millis) -> list[AnsweredSuspects]:
        if now >= self._answers_until:
            self._answered.clear()
        listed: list[AnsweredSuspects] = []
        for software, announced in self._answered.items():
            newest = sorted(announced, key=lambda each: announced[each].at)[-MAX_ANSWERS_IN_BEACON:]
            answers = make_answers(software, {each: announced[each] for each in newest}, now)
            listed.append(encode_answers(answers))
        return listed

"""Finds what crashes upstreams, across all gateway daemons, and keeps requests that have it from them.

Now and then a part of a prompt, or a whole request, crashes each upstream that begins to write an answer on it.
Requests with such a part come to any VM, and no two are alike. All VMs report what they ran at a crash, and
which of it upstreams have answered; each VM decides from the reports of all.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final

from result import Err

from goldcreststair.clock import Millis
from goldcreststair.components.crash_marks.codec import decode_all, encode_all
from goldcreststair.components.crash_marks.const import (
    ASK_PAUSE_MS,
    ASK_TIMEOUT_MS,
    COLLECT_MS,
    CONTACT_MS,
    DIFFERENCE_MS,
    LOAD_TIMEOUT_MS,
    MAX_LOGGED_RUNS,
    RELAYED_SETTLE_MS,
    SETTLE_MS,
    TABLE,
    UPDATE_MS,
)
from goldcreststair.components.crash_marks.gossip import CrashGossip
from goldcreststair.components.crash_marks.guard import RequestGuard
from goldcreststair.components.crash_marks.models import LostRun, Turn
from goldcreststair.components.crash_marks.verdict_rows import VerdictRows
from goldcreststair.components.discovery.models import (
    LIVE_UPSTREAMS,
    LiveUpstreams,
    UpstreamEntry,
)
from goldcreststair.components.fleet.models import FLEET
from goldcreststair.components.fleet.peer_requests import PeerRequestKind
from goldcreststair.components.fleet.protocols import FLEET_LINKS, hash_name
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.core import ComponentKey
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.crash_evidence import (
    BEGIN,
    SUSPECT_BYTES,
    Answers,
    CrashEvidence,
    CrashReport,
    Extent,
    RequestSuspects,
    Suspect,
    Suspects,
    Written,
    make_answers,
)
from goldcreststair.helpers.crash_verdicts import (
    VerdictChange,
    Verdicts,
    decode_verdict,
    encode_verdict,
)
from goldcreststair.helpers.rendezvous import score
from goldcreststair.upstreams.runner import CONNECT_TIMEOUT_MS
from goldcreststair.wire.generated.gateway.ttypes import Beacon

_LOGGER = logging.getLogger(__name__)


class CrashTracker:
    """Detects crashes from lost runs, and decides what must not run any more."""

    def __init__(self, core: GatewayCore) -> None:
        """Start without crashes and verdicts."""
        self._core = core
        self._clock = core.clock
        self._links = core.get(FLEET_LINKS)
        self._evidence = CrashEvidence(core.clock, self._is_served)
        self._live = LiveUpstreams()
        self._served: frozenset[int] = frozenset()
        """Software versions of the upstreams in `_live` that may get work."""
        self._verdicts = Verdicts(core.clock, self._evidence)
        self._gossip = CrashGossip(core.clock, self._verdicts, self._list_probing, self)
        self._rows = VerdictRows(core, self._on_stored)
        self._guards: set[RequestGuard] = set()
        self._running: Counter[Suspect] = Counter()
        """Number of requests that run here, by suspect."""
        self._lost: dict[str, _LostRuns] = {}
        """By upstream, the runs that were just lost."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._differs_since: Millis | None = None
        self._asked_at: Millis | None = None
        self._updated_at = core.clock.now()
        self._links.add_beacon_contributor(self._contribute)
        self._links.subscribe_beacons(self._on_beacon, self._gossip.forget)
        self._links.register_request_handler(PeerRequestKind.CRASH_VERDICTS, self._async_on_ask)
        core.on_process_resumed.append(lambda _: self._rows.schedule_read())

    async def async_start(self) -> None:
        """Do nothing; requests, reports and beacons drive this component."""

    async def async_close(self) -> None:
        """Cancel the running checks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._rows.async_close()

    def open_guard(
        self, suspects: RequestSuspects, on_refused: Callable[[], None], *, can_wait: bool = False
    ) -> RequestGuard:
        """Return a guard for one request, as described there."""
        return RequestGuard(self._clock, self, suspects, on_refused, can_wait=can_wait)

    async def async_load(self, suspects: Suspects) -> None:
        """Wait for the stored verdicts, for a short time, if a request may need them."""
        if len(suspects) > 1 and not self._rows.is_loaded:
            await self._rows.async_wait(LOAD_TIMEOUT_MS)

    def is_loading(self, suspects: Suspects) -> bool:
        """Return whether a request that can wait should do so until the stored verdicts are read."""
        if len(suspects) <= 1 or self._rows.is_loaded or self._core.store_contact.is_unavailable():
            return False
        self._rows.schedule_read()
        return True

    def choose_turn(self, suspects: Suspects, *, can_wait: bool = False) -> Turn:
        """Return whether a request may run now."""
        if not self.is_refused(suspects):
            return Turn.BUSY if self._is_busy(suspects) else Turn.READY
        return Turn.TRIAL if self._may_try(suspects, can_wait=can_wait) else Turn.REFUSED

    def must_refuse(self, suspects: Suspects) -> bool:
        """Return whether an online request must not run, not even as a trial."""
        return self.is_refused(suspects) and not self._may_try(suspects, can_wait=False)

    def is_refused(self, suspects: Suspects) -> bool:
        """Return whether a verdict refuses a request."""
        return self._verdicts.find(suspects) is not None

    def _may_try(self, suspects: Suspects, *, can_wait: bool) -> bool:
        """Return whether a refused request may run as a trial, one at a time in the whole fleet."""
        verdicts = self._verdicts.find_all(suspects)
        if can_wait:
            is_due = self._verdicts.may_try_item(suspects)
        else:
            is_due = self._verdicts.may_try_online(suspects) and self._tries_online(verdicts)
        if not verdicts or not is_due:
            return False
        named = frozenset[Suspect]().union(*verdicts)
        lost = any(named & run.suspects.every for lost in self._lost.values() for run in lost.runs)
        runs_here = any(self._running[each] for each in named)
        return not (lost or runs_here or self._gossip.is_probed_elsewhere(named))

    def _tries_online(self, verdicts: list[Suspects]) -> bool:
        """Return whether this VM is the one that may run online trials of some verdicts."""
        sessions = self._core.blackboard.read(FLEET).vms
        return all(
            max(sessions, key=lambda session: score(session, TABLE, name), default="")
            == self._core.session_id
            for name in map(encode_verdict, verdicts)
        )

    def is_suspected(self, suspects: Suspects) -> bool:
        """Return whether several crashes have a suspect of this request in common."""
        return bool(self._verdicts.list_suspected(suspects))

    def _is_busy(self, suspects: Suspects) -> bool:
        """Return whether a request has to wait for another one with the same suspect."""
        if self._verdicts.is_empty:
            return False
        suspected = self._verdicts.list_suspected(suspects)
        # A run that was just lost may be one more crash.
        unconfirmed = self._list_unconfirmed(suspects)
        if self._verdicts.is_pending(suspects) or unconfirmed & suspected:
            return True
        suspected |= unconfirmed
        runs_here = any(self._running[each] for each in suspected)
        return runs_here or self._gossip.is_probed_elsewhere(suspected)

    def _list_unconfirmed(self, suspects: Suspects) -> Suspects:
        """Return those suspects of earlier crashes whose runs were just lost here."""
        known = (each for each in suspects if self._verdicts.count(each))
        lost = [run.suspects.every for lost in self._lost.values() for run in lost.runs]
        return frozenset(each for each in known if any(each in found for found in lost))

    def enter(self, guard: RequestGuard) -> None:
        """Record that a request is about to run."""
        self._guards.add(guard)
        self._running.update(guard.suspects)
        if self._list_probed(guard.suspects):
            self._links.schedule_beacon()

    def leave(self, guard: RequestGuard) -> None:
        """Record that a run of a request has ended."""
        self._guards.discard(guard)
        for suspect in guard.suspects:
            self._running[suspect] -= 1
            if not self._running[suspect]:
                del self._running[suspect]

    def begin_trial(self, suspects: Suspects) -> None:
        """Record that a refused request is about to run as a trial."""
        self._verdicts.begin_trial(suspects)

    def return_trial(self, suspects: Suspects) -> None:
        """Record that a trial has not run."""
        self._verdicts.return_trial(suspects)

    def report_answer(
        self, entry: UpstreamEntry, suspects: RequestSuspects, written: Written
    ) -> None:
        """Report an answer, which speaks for its suspects as far as it has got."""
        software, clears = _hash_software(entry), False
        is_refused = self.is_refused(suspects.every)
        for answered, reached in suspects.list_answered(written):
            clears |= self._evidence.record_answer(answered, software, reached)
            if is_refused:
                # VMs that took the verdict over know none of its crashes, which such an answer would clear.
                named = dict.fromkeys(self._verdicts.list_named(answered), reached)
                answers = make_answers(software, named, self._clock.now())
                self._gossip.announce_answers(answers)
                self._links.schedule_beacon()
        if is_refused or clears:
            self._announce_answers(suspects.every)
            self._update()

    def _announce_answers(self, suspects: Suspects) -> None:
        untold = self._evidence.list_untold(suspects)
        for answers in untold:
            self._gossip.announce_answers(answers)
        if untold:
            self._links.schedule_beacon()

    def _record_running(self, suspects: Suspects) -> None:
        """Record the answers that speak for some suspects and are still being written here."""
        for guard in self._guards:
            if guard.written is None or guard.upstream is None:
                continue
            if guard.suspects & suspects:
                software = _hash_software(guard.upstream)
                for answered, reached in guard.request.list_answered(guard.written):
                    self._evidence.record_answer(answered, software, reached)

    def report_lost_run(self, entry: UpstreamEntry, run: LostRun) -> None:
        """Report a run whose connection broke or that went silent."""
        if entry.name in self._lost:
            self._lost[entry.name].runs.append(run)
            return
        self._lost[entry.name] = _LostRuns([run], self._list_running_elsewhere(entry))
        task = asyncio.create_task(self._async_check_upstream(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _list_running_elsewhere(self, entry: UpstreamEntry) -> list[Suspects]:
        """Return what runs at each other upstream of a service that this VM uses."""
        running: dict[str, Suspects] = {}
        for guard in self._guards:
            upstream = guard.upstream
            if upstream is None or upstream.service != entry.service:
                continue
            if upstream.name != entry.name:
                running[upstream.name] = running.get(upstream.name, frozenset()) | guard.suspects
        return list(running.values())

    async def _async_check_upstream(self, entry: UpstreamEntry) -> None:
        await self._clock.async_sleep(COLLECT_MS)
        seen_at = self._clock.now()
        # Single connections break now and then; an upstream has crashed only if it accepts no new
        # connection.
        is_up = await self._core.runner.pool.async_warm(entry.address, CONNECT_TIMEOUT_MS)
        lost = self._lost.pop(entry.name)
        if is_up:
            return
        self._core.get(PLACEMENT).controller.upstreams.mark_interrupted(entry.name)
        if self._links.read_contact_age_ms() > CONTACT_MS:
            return
        self._log_crash(entry, lost.runs)
        age_ms = self._clock.now() - seen_at + COLLECT_MS
        software = _hash_software(entry)
        for run in lost.runs:
            written = Written(Millis(seen_at - COLLECT_MS), run.extent)
            for answered, reached in run.suspects.list_answered(written):
                self._evidence.record_answer(answered, software, reached)
        report = lost.make_report(_hash_crash(entry), software, age_ms)
        if not (report.suspects or report.begun):
            return
        self.on_report(report)
        self._gossip.announce_report(report)
        self._links.schedule_beacon()

    def _log_crash(self, entry: UpstreamEntry, lost: list[LostRun]) -> None:
        self._core.meters.count_upstream_crash()
        extra = {
            "upstream": entry.name,
            "crash": _hash_crash(entry).hex(),
            "software": entry.software_version,
            "runs": len(lost),
            "lost": [
                {
                    "request": run.request,
                    "parts": run.prompt_parts,
                    "events": run.extent.events,
                    "wrote_ms": run.extent.wrote_ms,
                }
                for run in lost[:MAX_LOGGED_RUNS]
            ],
        }
        _LOGGER.warning("Upstream crashed while running requests of this daemon", extra=extra)

    def on_report(self, report: CrashReport) -> None:
        """Handle a report of a crash."""
        if not self._evidence.record_crash(report):
            return
        if not self._rows.is_loaded:
            self._rows.schedule_read()
        self._record_running(report.suspects | report.begun)
        self._announce_answers(report.suspects | report.begun)
        self._apply(self._verdicts.record_crash(report))
        self._update()
        self._clock.call_later(self._read_settle_ms() + 1, self._update)

    def on_answers(self, answers: Answers) -> None:
        """Handle answers that another daemon relayed."""
        clears = self._evidence.record_shared(answers)
        if clears or self._verdicts.list_named(answers.ages_ms):
            self._update()

    def on_released(self, suspects: Suspects) -> None:
        """Handle suspects whose verdicts another daemon released."""
        self._apply(self._verdicts.release(suspects))

    def on_verdict(self, suspects: Suspects) -> None:
        """Handle a verdict of another daemon."""
        self._apply(self._verdicts.learn(suspects))

    def _on_stored(self, suspects: Suspects, left_ms: int) -> None:
        self._apply(self._verdicts.learn(suspects, left_ms))

    def _is_served(self, software: int) -> bool:
        """Return whether an upstream that may get work runs a software version."""
        live = self._core.blackboard.read(LIVE_UPSTREAMS)
        if live is not self._live:
            self._live = live
            entries = live.by_name.values()
            self._served = frozenset(_hash_software(e) for e in entries if not e.draining)
        return not self._served or software in self._served

    def _read_settle_ms(self) -> int:
        return SETTLE_MS if self._links.has_mesh() else RELAYED_SETTLE_MS

    def _update(self) -> None:
        self._updated_at = self._clock.now()
        change = self._verdicts.update(self._read_settle_ms())
        for released in change.released:
            self._gossip.announce_released(released)
            self._rows.schedule_delete(released)
        self._apply(change)

    def _apply(self, change: VerdictChange) -> None:
        for suspects in change.released:
            extra = {"verdict": encode_verdict(suspects)}
            _LOGGER.warning("Requests no longer refused for upstream crashes", extra=extra)
        for suspects in change.added:
            extra = {"verdict": encode_verdict(suspects)}
            _LOGGER.warning("Requests refused for upstream crashes", extra=extra)
            self._core.meters.count_crash_verdict()
            self._rows.schedule_write(suspects)
        if change.added or change.released:
            self._links.schedule_beacon()
        if change.added:
            for guard in tuple(self._guards):
                if guard.is_refused:
                    guard.on_refused()

    def _list_probing(self) -> Suspects:
        """Return the suspects of several crashes, or of a verdict, that run here now."""
        return self._list_probed(frozenset(self._running))

    def _list_probed(self, suspects: Suspects) -> Suspects:
        return self._verdicts.list_suspected(suspects) | self._verdicts.list_named(suspects)

    def _contribute(self, beacon: Beacon) -> None:
        if not self._verdicts.is_empty and self._clock.now() - self._updated_at > UPDATE_MS:
            self._update()
        self._gossip.contribute(beacon)

    def _on_beacon(self, session: str, beacon: Beacon) -> None:
        self._gossip.apply(session, beacon, self._running)
        self._check_difference(session, beacon.verdicts)

    def _check_difference(self, session: str, verdicts: int | None) -> None:
        """Ask a daemon for its verdicts if they differ from this one's for longer than beacons take."""
        if verdicts is None or verdicts == self._verdicts.set_hash:
            self._differs_since = None
            return
        now = self._clock.now()
        if self._differs_since is None:
            self._differs_since = now
        if now - self._differs_since < DIFFERENCE_MS:
            return
        if self._asked_at is not None and now - self._asked_at < ASK_PAUSE_MS:
            return
        self._asked_at = now
        task = asyncio.create_task(self._async_ask(session))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_ask(self, session: str) -> None:
        kind = PeerRequestKind.CRASH_VERDICTS
        reply = await self._links.async_request(session, kind, b"", ASK_TIMEOUT_MS)
        if isinstance(reply, Err):
            _LOGGER.info("Crash verdicts of %s not read: %s", session, reply.err_value.message)
            return
        listed = decode_all(reply.ok_value)
        if isinstance(listed, Err):
            _LOGGER.warning(
                "Crash verdicts of %s unreadable: %s", session, listed.err_value.message
            )
            return
        for text, left_ms in listed.ok_value.items():
            verdict = decode_verdict(text)
            if isinstance(verdict, Err):
                _LOGGER.warning("Verdict of %s unreadable: %s", session, verdict.err_value.message)
            elif left_ms > 0:
                self._apply(self._verdicts.learn(verdict.ok_value, left_ms))

    async def _async_on_ask(self, _: bytes) -> bytes:
        return encode_all(self._verdicts.list_all())


@dataclass(frozen=True, slots=True)
class _LostRuns:
    """Runs that were lost with one upstream."""

    runs: list[LostRun]
    elsewhere: list[Suspects]
    """What this VM ran at each other upstream of the service at that moment."""

    def make_report(self, crash: bytes, software: int, age_ms: int) -> CrashReport:
        """Return what may have caused the crash, at the place that the longest run with it had reached."""
        extents: dict[Suspect, Extent] = {}
        silent: set[Suspect] = set()
        for run in self.runs:
            blamed = run.suspects.list_blamed(run.extent)
            for suspect in blamed:
                extents[suspect] = extents.get(suspect, BEGIN).extend(run.extent)
            if not run.extent.events:
                silent |= blamed
        suspects = frozenset(each for each in silent if not extents[each].is_late)
        begun = frozenset(extents) - suspects
        counts = Counter(each for running in self.elsewhere for each in running & extents.keys())
        return CrashReport(
            crash,
            software,
            suspects,
            begun,
            age_ms,
            len(self.elsewhere),
            counts,
            {each: extents[each] for each in begun},
        )


def _hash_crash(entry: UpstreamEntry) -> bytes:
    """Return what identifies a crash, for all VMs: one upstream crashes once between two starts."""
    name = f"{entry.name}:{entry.started_ms}"
    return blake2b(name.encode(), digest_size=SUSPECT_BYTES).digest()


def _hash_software(entry: UpstreamEntry) -> int:
    return hash_name(f"{entry.service} {entry.software_version}")


CRASH_TRACKER: Final = ComponentKey[CrashTracker]("crash_marks")

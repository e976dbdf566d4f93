"""The verdicts in force at one VM; no I/O.

A verdict is derived from the crashes that are known here, or taken over from another VM or the store. It explains
its crashes before any new one does, and ends when answers clear its suspects or other verdicts explain all of them.
So that it can be refuted, single requests that it refuses may still run as trials, one at a time.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final
from zlib import crc32

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.errors import GoldcreststairError
from goldcreststair.helpers.crash_evidence import (
    SUSPECT_BYTES,
    CrashCount,
    CrashEvidence,
    CrashReport,
    Suspect,
    Suspects,
)

VERDICT_MS: Final = 24 * 3_600_000
"""A verdict ends after this time; for as long again, a single crash renews it."""
ITEM_TRIAL_PAUSES_MS: Final = (1_000, 2_000, 4_000, 4_000, 4_000, 8_000, 16_000, 30_000)
"""Pauses before the trials of batch items, by the number of trials that failed; the last one repeats."""
ONLINE_TRIALS_MS: Final = (10_000, 10 * 60_000)
"""Ages of a verdict from which one online request may run as a trial."""
FAILURE_MERGE_MS: Final = 500
"""Crashes within this time after a failed trial, as of requests that ran at the verdict, count as the same one."""
RELEASED_MS: Final = 10_000
"""How long a verdict that was released here is not taken over from other VMs."""
NEVER: Final = Millis(-1)
MAX_VERDICTS: Final = 512
SEPARATOR: Final = "+"


@dataclass(frozen=True, slots=True)
class VerdictError(GoldcreststairError):
    """A text that is no verdict."""


def encode_verdict(suspects: Suspects) -> str:
    """Return a verdict as text.

    >>> encode_verdict(frozenset((b"bbbbbbbb", b"aaaaaaaa")))
    '6161616161616161+6262626262626262'
    """
    return SEPARATOR.join(sorted(each.hex() for each in suspects))


def decode_verdict(text: str) -> Result[Suspects, VerdictError]:
    """Return a verdict from its text.

    >>> decode_verdict("6161616161616161").unwrap() == frozenset((b"aaaaaaaa",))
    True
    >>> decode_verdict("61+").is_err()
    True
    """
    try:
        suspects = frozenset(bytes.fromhex(each) for each in text.split(SEPARATOR))
    except ValueError as error:
        return Err(VerdictError(f"not a verdict: {error}"))
    if any(len(each) != SUSPECT_BYTES for each in suspects):
        return Err(VerdictError("not a verdict: a hash of another length"))
    return Ok(suspects)


@dataclass(slots=True)
class _Verdict:
    learned_at: Millis
    ends_at: Millis
    crashes: frozenset[bytes] = frozenset()
    """The crashes that it is derived from; empty if it was taken over."""
    failures: int = 0
    """Crashes under its suspects since then."""
    failed_at: Millis = NEVER
    """When the last of them was reported."""
    tried_at: Millis = NEVER
    """When a trial last began here; its crash may go unnoticed."""

    @property
    def item_trial_at(self) -> Millis:
        """When a batch item may run as a trial."""
        since = max(self.learned_at, self.failed_at, self.tried_at)
        pause = min(self.failures, len(ITEM_TRIAL_PAUSES_MS) - 1)
        return Millis(since + ITEM_TRIAL_PAUSES_MS[pause])

    def may_try_online(self, now: Millis) -> bool:
        """Return whether an online request may run as a trial: none has begun here, or failed, since one was due."""
        began_at = self.ends_at - VERDICT_MS
        due = [began_at + age_ms for age_ms in ONLINE_TRIALS_MS if began_at + age_ms <= now]
        return bool(due) and max(self.failed_at, self.tried_at) < due[-1]


@dataclass(slots=True)
class _Lapsed:
    """A verdict whose time is over; a single crash renews it until `until`."""

    since: Millis
    until: Millis


@dataclass(frozen=True, slots=True)
class VerdictChange:
    """Verdicts that came into force, and those that were released."""

    added: tuple[Suspects, ...] = ()
    released: tuple[Suspects, ...] = ()


class Verdicts:
    """Decides which requests are refused, and which are suspected, by their suspects."""

    def __init__(self, clock: Clock, evidence: CrashEvidence) -> None:
        """Start without verdicts."""
        self._clock = clock
        self._evidence = evidence
        self._verdicts: OrderedDict[Suspects, _Verdict] = OrderedDict()
        self._by_suspect: dict[Suspect, list[Suspects]] = {}
        self._lapsed: OrderedDict[Suspects, _Lapsed] = OrderedDict()
        self._released: OrderedDict[Suspects, Millis] = OrderedDict()
        """Until when a released verdict is not taken over again."""
        self._counts: dict[Suspect, CrashCount] = {}
        """Crashes without an explanation, by suspect."""
        self._pending: tuple[Suspects, ...] = ()
        """What becomes a verdict unless an answer speaks against it."""

    @property
    def set_hash(self) -> int | None:
        """Hash of all verdicts, equal for equal sets; None if there are none."""
        if not self._verdicts:
            return None
        return sum(crc32(b"".join(sorted(each))) for each in self._verdicts) % 2**31

    @property
    def has_suspected(self) -> bool:
        """Whether there may be suspects of which only one request may run at a time."""
        return bool(self._counts or self._lapsed)

    @property
    def is_empty(self) -> bool:
        """Whether there is neither a verdict nor a crash that counts."""
        return not (self._verdicts or self._lapsed) and self._evidence.is_empty

    def find(self, suspects: Suspects) -> Suspects | None:
        """Return the verdict that refuses a request, or None."""
        if not self._by_suspect:
            return None
        for suspect in suspects:
            for verdict in self._by_suspect.get(suspect, ()):
                if verdict <= suspects:
                    return verdict
        return None

    def find_all(self, suspects: Suspects) -> list[Suspects]:
        """Return all verdicts that refuse a request."""
        found = {each for suspect in suspects for each in self._by_suspect.get(suspect, ())}
        return [each for each in found if each <= suspects]

    def list_named(self, suspects: Iterable[Suspect]) -> Suspects:
        """Return those suspects that a verdict names."""
        return frozenset(each for each in suspects if each in self._by_suspect)

    def may_try_item(self, suspects: Suspects) -> bool:
        """Return whether a refused batch item may run as a trial now."""
        now = self._clock.now()
        return all(self._verdicts[each].item_trial_at <= now for each in self.find_all(suspects))

    def may_try_online(self, suspects: Suspects) -> bool:
        """Return whether a refused online request may run as a trial now."""
        now = self._clock.now()
        return all(self._verdicts[each].may_try_online(now) for each in self.find_all(suspects))

    def begin_trial(self, suspects: Suspects) -> None:
        """Record that a refused request begins to run as a trial here."""
        for each in self.find_all(suspects):
            self._verdicts[each].tried_at = self._clock.now()

    def return_trial(self, suspects: Suspects) -> None:
        """Record that a trial has not run, so that another one may begin."""
        for each in self.find_all(suspects):
            self._verdicts[each].tried_at = NEVER

    def is_pending(self, suspects: Suspects) -> bool:
        """Return whether a request would be refused if no answer spoke for it."""
        return any(each <= suspects for each in self._pending)

    def count(self, suspect: Suspect) -> int:
        """Return at how many crashes without an explanation a suspect was present."""
        found = self._counts.get(suspect)
        return 0 if found is None else found.total

    def list_suspected(self, suspects: Suspects) -> Suspects:
        """Return those suspects of a request of which only one request may run at a time."""
        if not self.has_suspected:
            return frozenset()
        counts = self._counts
        known = ((suspect, counts[suspect]) for suspect in suspects if suspect in counts)
        found = {suspect for suspect, count in known if count.is_suspicious}
        for lapsed in self._lapsed:
            if lapsed <= suspects:
                found |= lapsed
        return frozenset(found)

    def list_all(self) -> list[tuple[Suspects, int]]:
        """Return all verdicts, the oldest first, with the time that each has left, ms."""
        now = self._clock.now()
        return [(each, verdict.ends_at - now) for each, verdict in self._verdicts.items()]

    def list_young(self, within_ms: int) -> list[Suspects]:
        """Return the verdicts that came into force within this time, the newest last."""
        horizon = self._clock.now() - within_ms
        return [each for each, v in self._verdicts.items() if v.learned_at >= horizon]

    def learn(self, suspects: Suspects, left_ms: int = VERDICT_MS) -> VerdictChange:
        """Take over a verdict of another VM or of the store; without time left, as one that lapsed."""
        now = self._clock.now()
        if self._released.get(suspects, 0) > now:
            return VerdictChange()
        if left_ms <= 0:
            self._lapsed[suspects] = _Lapsed(now, Millis(now + VERDICT_MS + left_ms))
            return VerdictChange()
        return VerdictChange(added=self._add({suspects: frozenset()}, min(left_ms, VERDICT_MS)))

    def record_crash(self, report: CrashReport) -> VerdictChange:
        """Count a crash against the verdicts on what ran, and renew the lapsed ones that it confirms."""
        now = self._clock.now()
        for each in self.find_all(report.suspects | report.begun):
            verdict = self._verdicts[each]
            if now - max(verdict.learned_at, verdict.failed_at) >= FAILURE_MERGE_MS:
                verdict.failures += 1
                verdict.failed_at = now
        confirmed = {each: frozenset[bytes]() for each in self._lapsed if each <= report.suspects}
        for each in confirmed:
            del self._lapsed[each]
        return VerdictChange(added=self._add(confirmed, VERDICT_MS))

    def release(self, suspects: Suspects) -> VerdictChange:
        """Release the verdicts on single suspects of which another VM says that they do not hold."""
        gone = [each for each in self._list_single() if each <= suspects]
        return VerdictChange(released=self._drop(gone))

    def update(self, settle_ms: int) -> VerdictChange:
        """Derive new verdicts from the crashes known now, and release those that do not hold."""
        self._expire()
        evidence = self._evidence
        unsupported = [each for each in self._verdicts if self._is_refuted(each)]
        self._drop(unsupported)
        found = evidence.find_culprits(self._list_single(), settle_ms)
        added = self._add({each.suspects: each.crashes for each in found}, VERDICT_MS)
        covered = self._find_covered()
        self._drop(covered)
        self._counts, self._pending = {}, ()
        if not evidence.is_empty:
            standing = self._list_single()
            self._counts = evidence.count_crashes(standing)
            self._pending = tuple(each.suspects for each in evidence.find_culprits(standing))
        # One on several suspects is released by each VM itself, from the same answers.
        released = tuple(each for each in (*unsupported, *covered) if len(each) == 1)
        return VerdictChange(tuple(each for each in added if each not in covered), released)

    def _is_refuted(self, suspects: Suspects) -> bool:
        verdict, evidence = self._verdicts[suspects], self._evidence
        if evidence.knows_all(verdict.crashes):
            return not evidence.is_supported(suspects, verdict.crashes)
        return evidence.is_answered(suspects, verdict.learned_at)

    def _list_single(self) -> list[Suspects]:
        """Return the verdicts that explain crashes: one on several suspects leaves open which is the cause."""
        return [each for each in self._verdicts if len(each) == 1]

    def _find_covered(self) -> list[Suspects]:
        """Return verdicts all of whose crashes other verdicts explain."""
        single, covered = self._list_single(), list[Suspects]()
        for each in single:
            crashes = self._verdicts[each].crashes
            others = [other for other in single if other != each and other not in covered]
            if not others or not self._evidence.knows_all(crashes):
                continue
            if self._evidence.is_covered(crashes, others):
                covered.append(each)
        return covered

    def _add(
        self, verdicts: dict[Suspects, frozenset[bytes]], left_ms: int
    ) -> tuple[Suspects, ...]:
        now = self._clock.now()
        added: list[Suspects] = []
        for suspects, crashes in verdicts.items():
            known = self._verdicts.get(suspects)
            if known is not None:
                continue
            if not suspects or any(each < suspects for each in self._verdicts):
                continue
            # A verdict on fewer suspects refuses all that one on more of them does.
            wider = [each for each in self._verdicts if suspects < each]
            for each in wider:
                del self._verdicts[each]
            self._verdicts[suspects] = _Verdict(now, Millis(now + left_ms), crashes)
            added.append(suspects)
        while len(self._verdicts) > MAX_VERDICTS:
            self._verdicts.popitem(last=False)
        if added:
            self._index()
        return tuple(added)

    def _drop(self, verdicts: Iterable[Suspects]) -> tuple[Suspects, ...]:
        dropped = tuple(each for each in verdicts if self._verdicts.pop(each, None) is not None)
        until = Millis(self._clock.now() + RELEASED_MS)
        for each in dropped:
            self._released[each] = until
        while len(self._released) > MAX_VERDICTS:
            self._released.popitem(last=False)
        if dropped:
            self._index()
        return dropped

    def _expire(self) -> None:
        self._evidence.expire()
        now = self._clock.now()
        ended = [each for each, verdict in self._verdicts.items() if verdict.ends_at <= now]
        for each in ended:
            del self._verdicts[each]
            self._lapsed[each] = _Lapsed(now, Millis(now + VERDICT_MS))
        for each, lapsed in tuple(self._lapsed.items()):
            if lapsed.until <= now or self._evidence.is_answered(each, lapsed.since):
                del self._lapsed[each]
        while len(self._lapsed) > MAX_VERDICTS:
            self._lapsed.popitem(last=False)
        if ended:
            self._index()

    def _index(self) -> None:
        self._by_suspect = {}
        for verdict in self._verdicts:
            for suspect in verdict:
                self._by_suspect.setdefault(suspect, []).append(verdict)

"""Finds what crashes upstreams: parts of prompts, or whole requests; no I/O.

A part that crashes upstreams ends each one that writes an answer on it, at the begin of the answer or at some
place of it. Such a crash ends all other runs there as well, so single crashes say little: a part is to blame if
several crashes have it in common, which chance does not explain, and no answer that was written meanwhile. An
answer shows that a part is sound as far as it has got: one that is whole, however many crashes it was present at.
"""

import math
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b
from itertools import chain
from typing import Final

from goldcreststair.clock import Clock, Millis

Suspect = bytes
"""Hash of a part's name, or the fingerprint of a whole request."""
Suspects = frozenset[Suspect]

SUSPECT_BYTES: Final = 8
CRASHES_TO_REFUSE: Final = 3
"""A request that has what so many unexplained crashes have in common is refused, if its runs had not
returned anything, and few upstreams ran it at those moments."""
POINTS_TO_REFUSE: Final = 300
"""A suspect is to blame if its crashes weigh so much: three of `POINTS`, four of `LATE_POINTS`, or five of
`BEGUN_POINTS`."""
POINTS: Final = 100
"""Weight of a crash at which a rare suspect was present; less of one that more upstreams ran at that moment."""
BEGUN_POINTS: Final = 60
"""The same if all runs with the suspect had returned something: they may be present at crashes of others."""
LATE_POINTS: Final = 75
"""The same if one of them had gone on for longer than `SOUND_MS`: chance comes to other places of the answer."""
RARE_SHARE: Final = 0.1
"""Share of the upstreams up to which a suspect counts as rare: chance brings it to one crash of ten."""
CRASHES_TO_SUSPECT: Final = 2
ALL_CRASHES_TO_SUSPECT: Final = 3
LATE_TO_SUSPECT: Final = 2 * LATE_POINTS
"""Weight of late crashes from which requests with a suspect run one at a time, where few others run."""
SIMULTANEOUS_MS: Final = 25
"""Upstreams that end within this time ended for one reason, such as the loss of a rack: they count once."""
SOUND_MS: Final = 1_000
"""An answer that has gone on for so long after some place shows that its request does not crash upstreams there."""
FRESH_MS: Final = 1_000
"""An answer that was written this long before a crash still speaks for its parts, at the same software version."""
EVIDENCE_MS: Final = 10 * 60_000
"""How long a crash counts."""
MAX_CRASHES: Final = 256
MAX_SUSPECTS: Final = 64
"""Most suspects of one crash: eight runs of four parts each, seen by several VMs, take 40."""
MAX_ANSWERS: Final = 8_192
"""Most parts whose last answers are known; the least recently used ones are forgotten."""
MAX_SOFTWARE: Final = 4
"""Most software versions of which the last answers on a part are known."""
MAX_WRITTEN: Final = 4
"""Most answers of one software version on a part that are kept, none of which says all that another one does."""
MAX_PARTS: Final = 32
"""Most parts of one request that are looked at."""


@lru_cache(maxsize=4_096)
def hash_part(name: str) -> Suspect:
    """Return the suspect that stands for a part of a prompt.

    >>> hash_part("a") == hash_part("a") != hash_part("b"), len(hash_part("a"))
    (True, 8)
    """
    return blake2b(name.encode(), digest_size=SUSPECT_BYTES).digest()


def list_suspects(fingerprint: str, prompt_parts: Collection[str]) -> Suspects:
    """Return everything about a request that may crash upstreams.

    The last part belongs to the request alone, so that its fingerprint stands for it; an empty one is left
    out.
    """
    shared = hash_shared_parts(prompt_parts)
    return shared | {bytes.fromhex(fingerprint)} if fingerprint else shared


def hash_shared_parts(prompt_parts: Collection[str]) -> Suspects:
    """Return the suspects that stand for the parts of a prompt which other requests may share."""
    return frozenset(map(hash_part, list(prompt_parts)[:-1][:MAX_PARTS]))


@dataclass(frozen=True, slots=True)
class Extent:
    """How far the answer of one run has got."""

    wrote_ms: int = 0
    """Time from its first to its last event."""
    events: int = 0

    @property
    def is_late(self) -> bool:
        """Whether a crash here came later than at the begin of the answer."""
        return self.wrote_ms > SOUND_MS

    def covers(self, other: "Extent") -> bool:
        """Return whether this answer has got as far as another one."""
        return self.wrote_ms >= other.wrote_ms and self.events >= other.events

    def passes(self, crash: "Extent") -> bool:
        """Return whether an answer has gone on so far beyond a place that nothing there crashes upstreams.

        What does so may come at a time or at an event of the answer, and upstreams differ in their pace.
        """
        goes_on = self.wrote_ms > crash.wrote_ms + SOUND_MS
        return goes_on and self.events * PASSING_EVENTS[1] >= crash.events * PASSING_EVENTS[0]

    def extend(self, other: "Extent") -> "Extent":
        """Return how far the longer of two answers has got."""
        return Extent(max(self.wrote_ms, other.wrote_ms), max(self.events, other.events))

    def end(self) -> "Extent":
        """Return the extent of the rest of an answer, which ended here as a whole one does.

        It speaks for its begin, and for all places that it has passed.
        """
        return Extent(max(self.wrote_ms, SOUND_MS) + SOUND_MS + 1, WHOLE.events)


PASSING_EVENTS: Final = (5, 4)
"""Ratio of the events of an answer that has passed a place: the last events before a crash may be lost."""
BEGIN: Final = Extent()
WHOLE: Final = Extent(2**31 - 1, 2**31 - 1)
"""Extent of a whole answer."""
ENCODED_WHOLE: Final = -1
"""Stands for both numbers of that extent between daemons."""
PASSED_BY_WHOLE: Final = Extent(2**30, 2**30)
"""A place that only whole answers have passed."""


@dataclass(frozen=True, slots=True)
class Written:
    """An answer as it was when something of it was last written."""

    at: Millis
    extent: Extent = WHOLE

    def clears(self, since: Millis, crash: Extent) -> bool:
        """Return whether it speaks for a suspect of a crash; answers from `since` on do."""
        return self.at >= since and self.extent.passes(crash)


@dataclass(frozen=True, slots=True)
class RequestSuspects:
    """What about one request may crash upstreams."""

    every: Suspects
    late: Suspects = frozenset()
    """Those that may do so late in an answer: the request itself, as its parts do when an answer begins."""

    def list_blamed(self, extent: Extent) -> Suspects:
        """Return what may have caused a crash that ended an answer there."""
        return self.late if extent.is_late else self.every

    def list_answered(self, written: Written) -> tuple[tuple[Suspects, Written], ...]:
        """Return what an answer speaks for, and how far."""
        if not written.extent.is_late:
            return ()
        return (self.every - self.late, Written(written.at)), (self.late, written)


@dataclass(frozen=True, slots=True)
class CrashReport:
    """What one VM ran at an upstream when it crashed."""

    crash: bytes
    """Identifies the crash, for all VMs that saw it."""
    software: int
    """Hash of the upstream's service and software version."""
    suspects: Suspects
    """Suspects whose runs had not returned anything."""
    begun: Suspects = frozenset()
    """Suspects all of whose runs had returned something, or one of them for longer than `SOUND_MS`."""
    age_ms: int = 0
    others: int = 0
    """Number of other upstreams of the service that the VM used at that moment."""
    elsewhere: Mapping[Suspect, int] = field(default_factory=dict)
    """At how many of these it ran a suspect; those at none are left out."""
    extents: Mapping[Suspect, Extent] = field(default_factory=dict)
    """How far the longest run of a suspect in `begun` had got."""


@dataclass(frozen=True, slots=True)
class Answers:
    """Suspects on which answers of one software version were written, with the time since then, ms."""

    software: int
    ages_ms: Mapping[Suspect, int]
    extents: Mapping[Suspect, Extent] = field(default_factory=dict)
    """How far the answers have got that are not whole."""

    def iterate(self, now: Millis) -> Iterator[tuple[Suspect, Written]]:
        """Yield the suspects with their answers."""
        for suspect, age_ms in self.ages_ms.items():
            yield suspect, Written(Millis(now - age_ms), self.extents.get(suspect, WHOLE))


def make_answers(software: int, written: Mapping[Suspect, Written], now: Millis) -> Answers:
    """Return answers as they are announced."""
    ages_ms = {suspect: now - each.at for suspect, each in written.items()}
    extents = {s: each.extent for s, each in written.items() if each.extent != WHOLE}
    return Answers(software, ages_ms, extents)


@dataclass(slots=True)
class _AnswerLog:
    """The answers of one software version on a suspect that say most."""

    entries: tuple[Written, ...] = ()
    """In the order of their times; an earlier one has got further."""

    def add(self, written: Written) -> None:
        kept = [e for e in self.entries if e.at > written.at or not written.extent.covers(e.extent)]
        if not any(e.at >= written.at and e.extent.covers(written.extent) for e in kept):
            kept.append(written)
        self.entries = tuple(sorted(kept, key=lambda each: each.at)[-MAX_WRITTEN:])

    def clears(self, since: Millis, crash: Extent) -> bool:
        return any(each.clears(since, crash) for each in self.entries)


@dataclass(slots=True)
class _Crash:
    at: Millis
    known_at: Millis
    software: int
    suspects: set[Suspect] = field(default_factory=set)
    before_output: set[Suspect] = field(default_factory=set)
    """Those of which a run had not returned anything."""
    extents: dict[Suspect, Extent] = field(default_factory=dict)
    """How far the longest run of a suspect had got; those at the begin are left out."""
    others: int = 0
    elsewhere: Mapping[Suspect, int] = field(default_factory=dict)
    """As in the report of the VM that used most upstreams."""

    @property
    def cleared_since(self) -> Millis:
        """An answer that was written since this time clears its suspects."""
        return Millis(self.at - FRESH_MS)

    def find_extent(self, suspect: Suspect) -> Extent:
        """Return how far an answer must have passed to speak for a suspect."""
        return self.extents.get(suspect, BEGIN)

    def extend(self, extents: Mapping[Suspect, Extent]) -> bool:
        """Take over how far runs had got; returns whether any had got further than was known."""
        longer = {s: self.find_extent(s).extend(extent) for s, extent in extents.items()}
        changed = any(extent != self.find_extent(suspect) for suspect, extent in longer.items())
        self.extents.update(longer)
        return changed

    def is_before_output(self, suspect: Suspect) -> bool:
        """Return whether the crash may have come before a run with a suspect returned anything."""
        return suspect in self.before_output and not self.find_extent(suspect).is_late

    def weigh(self, suspect: Suspect) -> int:
        """Return how much this crash says against a suspect that was present."""
        share = self.elsewhere.get(suspect, 0) / self.others if self.others else 0.0
        points = POINTS if self.is_before_output(suspect) else BEGUN_POINTS
        if self.find_extent(suspect).is_late:
            points = LATE_POINTS
        return round(points * math.log(max(share, RARE_SHARE)) / math.log(RARE_SHARE))


@dataclass(slots=True)
class CrashCount:
    """Crashes at which a suspect was present; those of one moment count once."""

    crashes: int = 0
    """All crashes, of one moment or not."""
    total: int = 0
    early: int = 0
    """Crashes at the begin of its answers."""
    before_output: int = 0
    """Crashes at which a run with the suspect had not returned anything."""
    points: int = 0
    late_points: int = 0
    """Weight of the crashes that came later in its answers."""
    _total_at: Millis = Millis(-SIMULTANEOUS_MS - 1)
    _before_output_at: Millis = Millis(-SIMULTANEOUS_MS - 1)

    @property
    def is_enough(self) -> bool:
        """Whether requests with the suspect are refused."""
        return self.points >= POINTS_TO_REFUSE

    @property
    def is_suspicious(self) -> bool:
        """Whether only one request with the suspect may run at a time."""
        is_often = self.early >= ALL_CRASHES_TO_SUSPECT or self.late_points >= LATE_TO_SUSPECT
        return self.before_output >= CRASHES_TO_SUSPECT or is_often

    @property
    def rank(self) -> tuple[int, int, int]:
        """Order of suspects by how much speaks against them."""
        return self.points, self.total, self.crashes

    def add(self, at: Millis, points: int, *, before_output: bool, late: bool) -> None:
        """Add a crash that weighs `points`; crashes are added in the order of their times."""
        self.crashes += 1
        if at - self._total_at > SIMULTANEOUS_MS:
            self.total += 1
            self.early += not late
            self.points += points
            self.late_points += points * late
            self._total_at = at
        if before_output and at - self._before_output_at > SIMULTANEOUS_MS:
            self.before_output += 1
            self._before_output_at = at


_ONE_CRASH: Final = CrashCount(crashes=1, total=1, early=1, before_output=1, points=POINTS)


@dataclass(frozen=True, slots=True)
class Culprit:
    """What several crashes have in common; usually one suspect."""

    suspects: Suspects
    crashes: frozenset[bytes]


class CrashEvidence:
    """Crashes and answers as known to one VM."""

    def __init__(self, clock: Clock, is_served: Callable[[int], bool] = lambda _: True) -> None:
        """Start without crashes and answers; `is_served` tells whether an upstream runs a software version."""
        self._clock = clock
        self._is_served = is_served
        self._crashes: OrderedDict[bytes, _Crash] = OrderedDict()
        self._answers: OrderedDict[Suspect, dict[int, _AnswerLog]] = OrderedDict()
        """The last answers on a suspect, by software."""
        self._shared: dict[tuple[Suspect, int], _AnswerLog] = {}
        """The same of the answers that a VM has announced."""

    @property
    def is_empty(self) -> bool:
        """Whether no crash counts."""
        return not self._crashes

    def record_crash(self, report: CrashReport) -> bool:
        """Add one VM's report to a crash; returns whether it says anything new."""
        now = self._clock.now()
        known = self._crashes.get(report.crash)
        if known is None:
            at = Millis(now - report.age_ms)
            known = self._crashes[report.crash] = _Crash(at, now, report.software)
            while len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        if report.others > known.others:
            known.others, known.elsewhere = report.others, report.elsewhere
        reported = (*sorted(report.suspects), *sorted(report.begun))
        new = [each for each in reported if each not in known.suspects]
        added = new[: MAX_SUSPECTS - len(known.suspects)]
        known.suspects.update(added)
        before_output = (report.suspects & known.suspects) - known.before_output
        known.before_output |= before_output
        extents = {s: e for s, e in report.extents.items() if s in known.suspects}
        return known.extend(extents) or bool(added or before_output)

    def record_answer(self, suspects: Suspects, software: int, written: Written) -> bool:
        """Record an answer on these suspects; returns whether it clears one of a crash."""
        clears = False
        for suspect in suspects:
            answers = self._answers.pop(suspect, {})
            log = answers.pop(software, None) or _AnswerLog()
            clears = clears or any(
                written.clears(crash.cleared_since, crash.find_extent(suspect))
                and not log.clears(crash.cleared_since, crash.find_extent(suspect))
                for crash in self._crashes.values()
                if suspect in crash.suspects
            )
            log.add(written)
            answers[software] = log
            if len(answers) > MAX_SOFTWARE:
                del answers[next(iter(answers))]
            self._answers[suspect] = answers
        while len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)
        return clears

    def is_answered(self, suspects: Suspects, since: Millis) -> bool:
        """Return whether whole answers of any software version on all of these suspects were written since a time."""
        return all(self._is_cleared(suspect, None, since, PASSED_BY_WHOLE) for suspect in suspects)

    def record_shared(self, answers: Answers) -> bool:
        """Record answers that another VM has announced; returns whether any clears a suspect of a crash."""
        clears = False
        for suspect, written in answers.iterate(self._clock.now()):
            clears |= self.record_answer(frozenset((suspect,)), answers.software, written)
            self._shared.setdefault((suspect, answers.software), _AnswerLog()).add(written)
        return clears

    def list_untold(self, suspects: Suspects) -> list[Answers]:
        """Return the answers that clear those of `suspects` that were at several crashes.

        Answers that a VM has announced are left out; those returned count as announced from now on.
        """
        untold: defaultdict[int, dict[Suspect, Written]] = defaultdict(dict)
        present: Counter[Suspect] = Counter()
        for crash in self._crashes.values():
            present.update(crash.suspects & suspects)
        for crash in self._crashes.values():
            for suspect in crash.suspects & suspects:
                if present[suspect] == 1:
                    continue
                since, extent = crash.cleared_since, crash.find_extent(suspect)
                for software, log in self._answers.get(suspect, {}).items():
                    shared = self._shared.setdefault((suspect, software), _AnswerLog())
                    telling = [each for each in log.entries if each.clears(since, extent)]
                    if telling and not shared.clears(since, extent):
                        shared.add(telling[-1])
                        untold[software][suspect] = telling[-1]
        now = self._clock.now()
        return [make_answers(software, found, now) for software, found in untold.items()]

    def expire(self) -> None:
        """Forget crashes that are too old to count."""
        horizon = self._clock.now() - EVIDENCE_MS
        while self._crashes and next(iter(self._crashes.values())).at < horizon:
            self._crashes.popitem(last=False)
        self._shared = {
            key: log
            for key, log in self._shared.items()
            if log.entries and log.entries[-1].at >= horizon
        }

    def find_culprits(self, explained: Collection[Suspects], settle_ms: int = 0) -> list[Culprit]:
        """Return what explains the crashes, that of most of them first.

        Crashes that `explained` accounts for are left out. A crash counts `settle_ms` after it became known,
        when other VMs have had the time to report answers.
        """
        horizon = self._clock.now() - settle_ms
        left = {
            name: self._list_open(crash)
            for name, crash in self._crashes.items()
            if crash.known_at <= horizon and not any(each <= crash.suspects for each in explained)
        }
        found: list[Culprit] = []
        while (culprit := self._find_culprit(left)) is not None:
            found.append(culprit)
            for name in culprit.crashes:
                del left[name]
        return found

    def knows_all(self, crashes: Collection[bytes]) -> bool:
        """Return whether all of these crashes count here."""
        return bool(crashes) and all(crash in self._crashes for crash in crashes)

    def is_supported(self, suspects: Suspects, crashes: Collection[bytes]) -> bool:
        """Return whether no answer has cleared `suspects` of so many of these crashes that they stay to blame."""
        left = {
            name: suspects
            for name in crashes
            if name in self._crashes and suspects <= self._list_open(self._crashes[name])
        }
        counts = self._count(left, CRASHES_TO_REFUSE)
        return any(count.is_enough for count in counts.values())

    def is_covered(self, crashes: Collection[bytes], culprits: Collection[Suspects]) -> bool:
        """Return whether each of these crashes is explained by one of some culprits."""
        opened = [self._list_open(self._crashes[name]) for name in crashes]
        return all(any(each <= suspects for each in culprits) for suspects in opened)

    def count_crashes(self, explained: Collection[Suspects]) -> dict[Suspect, CrashCount]:
        """Return at how many crashes without an explanation each suspect was present.

        These only delay requests, so that an answer of any software version speaks for a suspect.
        """
        left = {
            name: self._list_open(crash, any_software=True)
            for name, crash in self._crashes.items()
            if not any(each <= crash.suspects for each in explained)
        }
        counts = self._count(left, CRASHES_TO_SUSPECT)
        for suspect in frozenset[Suspect]().union(*left.values()):
            if suspect not in counts:
                counts[suspect] = _ONE_CRASH
        return counts

    def _find_culprit(self, left: Mapping[bytes, Suspects]) -> Culprit | None:
        counts = self._count(left, CRASHES_TO_REFUSE)
        if not counts:
            return None
        enough = sorted(suspect for suspect, count in counts.items() if count.is_enough)
        if not enough:
            return None
        most = max(enough, key=lambda suspect: counts[suspect].rank)
        crashes = frozenset(name for name, suspects in left.items() if most in suspects)
        # Several suspects may have been present at the same crashes: any of them may be the cause.
        common = frozenset.intersection(*(left[name] for name in crashes))
        return Culprit(common, crashes)

    def _count(
        self, left: Mapping[bytes, Suspects], at_least: int
    ) -> defaultdict[Suspect, CrashCount]:
        """Count the crashes of the suspects that were at so many of them."""
        # Most suspects were at one crash only, and counting takes most of the time here.
        present = Counter(chain.from_iterable(left.values()))
        frequent = {suspect for suspect, times in present.items() if times >= at_least}
        counts: defaultdict[Suspect, CrashCount] = defaultdict(CrashCount)
        for name in sorted(left, key=lambda name: self._crashes[name].at):
            crash = self._crashes[name]
            for suspect in left[name] & frequent:
                before_output = crash.is_before_output(suspect)
                late = crash.find_extent(suspect).is_late
                points = crash.weigh(suspect)
                counts[suspect].add(crash.at, points, before_output=before_output, late=late)
        return counts

    def _list_open(self, crash: _Crash, *, any_software: bool = False) -> Suspects:
        """Return the suspects of a crash for which no answer speaks.

        Answers of another software version speak for them once no upstream runs the version that crashed.
        """
        since = crash.cleared_since
        software = None if any_software or not self._is_served(crash.software) else crash.software
        return frozenset(
            suspect
            for suspect in crash.suspects
            if not self._is_cleared(suspect, software, since, crash.find_extent(suspect))
        )

    def _is_cleared(
        self, suspect: Suspect, software: int | None, since: Millis, crash: Extent
    ) -> bool:
        """Return whether an answer since a time has passed a place; `software` is None for any version."""
        answers = self._answers.get(suspect)
        if not answers:
            return False
        if software is not None:
            log = answers.get(software)
            return log is not None and log.clears(since, crash)
        return any(log.clears(since, crash) for log in answers.values())

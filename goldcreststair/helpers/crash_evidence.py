"""Finds what crashes upstreams: parts of prompts, or whole requests; no I/O.

A part that crashes upstreams ends each one that begins to write an answer on it. Such a crash ends all other
runs there as well, so single crashes say little: a part is to blame if several crashes have it in common, which
chance does not explain, and no answer that was written meanwhile. One answer shows that a part is sound, however
many crashes it was present at.
"""

import math
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Collection, Mapping
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
"""A suspect is to blame if its crashes weigh so much: three of `POINTS`, or five of `BEGUN_POINTS`."""
POINTS: Final = 100
"""Weight of a crash at which a rare suspect was present; less of one that more upstreams ran at that moment."""
BEGUN_POINTS: Final = 60
"""The same if all runs with the suspect had returned something: they may be present at crashes of others."""
RARE_SHARE: Final = 0.1
"""Share of the upstreams up to which a suspect counts as rare: chance brings it to one crash of ten."""
CRASHES_TO_SUSPECT: Final = 2
ALL_CRASHES_TO_SUSPECT: Final = 3
SIMULTANEOUS_MS: Final = 25
"""Upstreams that end within this time ended for one reason, such as the loss of a rack: they count once."""
SOUND_MS: Final = 1_000
"""An answer that has gone on for this long shows that its request does not crash upstreams, as a whole one
does."""
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
"""Most software versions of which the last answer on a part is known."""
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
    shared = map(hash_part, list(prompt_parts)[:-1][:MAX_PARTS])
    return frozenset((bytes.fromhex(fingerprint), *shared) if fingerprint else shared)


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
    """Suspects all of whose runs had returned something."""
    age_ms: int = 0
    others: int = 0
    """Number of other upstreams of the service that the VM used at that moment."""
    elsewhere: Mapping[Suspect, int] = field(default_factory=dict)
    """At how many of these it ran a suspect; those at none are left out."""


@dataclass(frozen=True, slots=True)
class Answers:
    """Suspects on which answers of one software version were written, with the time since then, ms."""

    software: int
    ages_ms: Mapping[Suspect, int]


@dataclass(slots=True)
class _Crash:
    at: Millis
    known_at: Millis
    software: int
    suspects: set[Suspect] = field(default_factory=set)
    begun: set[Suspect] = field(default_factory=set)
    """Those suspects whose runs had all returned something."""
    others: int = 0
    elsewhere: Mapping[Suspect, int] = field(default_factory=dict)
    """As in the report of the VM that used most upstreams."""

    @property
    def cleared_since(self) -> Millis:
        """An answer that was written since this time clears its suspects."""
        return Millis(self.at - FRESH_MS)

    def weigh(self, suspect: Suspect) -> int:
        """Return how much this crash says against a suspect that was present."""
        share = self.elsewhere.get(suspect, 0) / self.others if self.others else 0.0
        points = BEGUN_POINTS if suspect in self.begun else POINTS
        return round(points * math.log(max(share, RARE_SHARE)) / math.log(RARE_SHARE))


@dataclass(slots=True)
class CrashCount:
    """Crashes at which a suspect was present; those of one moment count once."""

    crashes: int = 0
    """All crashes, of one moment or not."""
    total: int = 0
    before_output: int = 0
    """Crashes at which a run with the suspect had not returned anything."""
    points: int = 0
    _total_at: Millis = Millis(-SIMULTANEOUS_MS - 1)
    _before_output_at: Millis = Millis(-SIMULTANEOUS_MS - 1)

    @property
    def is_enough(self) -> bool:
        """Whether requests with the suspect are refused."""
        return self.points >= POINTS_TO_REFUSE

    @property
    def is_suspicious(self) -> bool:
        """Whether only one request with the suspect may run at a time."""
        return self.before_output >= CRASHES_TO_SUSPECT or self.total >= ALL_CRASHES_TO_SUSPECT

    @property
    def rank(self) -> tuple[int, int, int]:
        """Order of suspects by how much speaks against them."""
        return self.points, self.total, self.crashes

    def add(self, at: Millis, points: int, *, begun: bool) -> None:
        """Add a crash that weighs `points`; crashes are added in the order of their times."""
        self.crashes += 1
        if at - self._total_at > SIMULTANEOUS_MS:
            self.total += 1
            self.points += points
            self._total_at = at
        if not begun and at - self._before_output_at > SIMULTANEOUS_MS:
            self.before_output += 1
            self._before_output_at = at


_ONE_CRASH: Final = CrashCount(crashes=1, total=1, before_output=1, points=POINTS)


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
        self._answers: OrderedDict[Suspect, dict[int, Millis]] = OrderedDict()
        """When an answer on a suspect was last written, by software."""
        self._shared: dict[tuple[Suspect, int], Millis] = {}
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
        known.begun.update(each for each in added if each in report.begun)
        before_output = known.begun & report.suspects
        known.begun -= before_output
        return bool(added or before_output)

    def record_answer(self, suspects: Suspects, software: int, wrote_at: Millis) -> bool:
        """Record that an answer on these suspects was written; returns whether it clears one of a crash."""
        clears = False
        for suspect in suspects:
            answers = self._answers.pop(suspect, {})
            before = answers.pop(software, Millis(-1))
            answers[software] = max(wrote_at, before)
            if len(answers) > MAX_SOFTWARE:
                del answers[next(iter(answers))]
            self._answers[suspect] = answers
            clears = clears or any(
                before < crash.cleared_since <= wrote_at
                for crash in self._crashes.values()
                if suspect in crash.suspects
            )
        while len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)
        return clears

    def is_answered(self, suspects: Suspects, since: Millis) -> bool:
        """Return whether answers of any software version on all of these suspects were written since a time."""
        return all(self._find_answer(suspect, None) >= since for suspect in suspects)

    def record_shared(self, answers: Answers) -> bool:
        """Record answers that another VM has announced; returns whether any clears a suspect of a crash."""
        clears, now = False, self._clock.now()
        for suspect, age_ms in answers.ages_ms.items():
            key, wrote_at = (suspect, answers.software), Millis(now - age_ms)
            clears |= self.record_answer(frozenset((suspect,)), answers.software, wrote_at)
            self._shared[key] = max(wrote_at, self._shared.get(key, wrote_at))
        return clears

    def list_untold(self, suspects: Suspects) -> list[Answers]:
        """Return the answers that clear those of `suspects` that were at several crashes.

        Answers that a VM has announced are left out; those returned count as announced from now on.
        """
        untold: defaultdict[int, dict[Suspect, int]] = defaultdict(dict)
        present: Counter[Suspect] = Counter()
        for crash in self._crashes.values():
            present.update(crash.suspects & suspects)
        now = self._clock.now()
        for crash in self._crashes.values():
            for suspect in crash.suspects & suspects:
                if present[suspect] == 1:
                    continue
                for software, wrote_at in self._answers.get(suspect, {}).items():
                    shared_at = self._shared.get((suspect, software), Millis(-1))
                    if shared_at < crash.cleared_since <= wrote_at:
                        untold[software][suspect] = now - wrote_at
        for software, ages in untold.items():
            self._shared.update({(each, software): self._answers[each][software] for each in ages})
        return [Answers(software, ages) for software, ages in untold.items()]

    def expire(self) -> None:
        """Forget crashes that are too old to count."""
        horizon = self._clock.now() - EVIDENCE_MS
        while self._crashes and next(iter(self._crashes.values())).at < horizon:
            self._crashes.popitem(last=False)
        self._shared = {key: at for key, at in self._shared.items() if at >= horizon}

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
                begun = suspect in crash.begun
                counts[suspect].add(crash.at, crash.weigh(suspect), begun=begun)
        return counts

    def _list_open(self, crash: _Crash, *, any_software: bool = False) -> Suspects:
        """Return the suspects of a crash for which no answer speaks.

        Answers of another software version speak for them once no upstream runs the version that crashed.
        """
        since = crash.cleared_since
        software = None if any_software or not self._is_served(crash.software) else crash.software
        return frozenset(s for s in crash.suspects if self._find_answer(s, software) < since)

    def _find_answer(self, suspect: Suspect, software: int | None) -> int:
        """Return when an answer on a suspect was last written, of any software version if that is None."""
        answers = self._answers.get(suspect)
        if not answers:
            return -1
        return max(answers.values()) if software is None else answers.get(software, -1)

"""The verdicts in force at one VM; no I/O.

A verdict is derived from the crashes that are known here, or taken over from another VM or the store. It explains
its crashes before any new one does, and ends when answers clear its suspects or other verdicts explain all of them.
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
RELEASED_MS: Final = 10_000
"""How long a verdict that was released here is not taken over from other VMs."""
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
        self._lapsed: OrderedDict[Suspects, Millis] = OrderedDict()
        """Verdicts whose time is over, and until when a single crash renews them."""
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

    def is_pending(self, suspects: Suspects) -> bool:
        """Return whether a request would be refused if no answer spoke for it."""
        return any(each <= suspects for each in self._pending)

    def count(self, suspect: Suspect) -> int:
        """Return at how many crashes without an explanation a suspect was present."""
        found = self._counts.get(suspect)
        return 0 if found is None else found.total

    def list_suspected(self, suspects: Suspects, *, can_wait: bool = False) -> Suspects:
        """Return those suspects of a request of which only one request may run at a time.

        For a request that can wait, a single crash is enough.
        """
        if not self.has_suspected:
            return frozenset()
        counts = self._counts
        known = ((suspect, counts[suspect]) for suspect in suspects if suspect in counts)
        found = {suspect for suspect, count in known if can_wait or count.is_suspicious}
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
            self._lapsed[suspects] = Millis(now + VERDICT_MS + left_ms)
            return VerdictChange()
        return VerdictChange(added=self._add({suspects: frozenset()}, min(left_ms, VERDICT_MS)))

    def renew(self, report: CrashReport) -> VerdictChange:
        """Renew the lapsed verdicts that a crash confirms."""
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
        unsupported = [
            each
            for each, verdict in self._verdicts.items()
            if evidence.knows_all(verdict.crashes)
            and not evidence.is_supported(each, verdict.crashes)
        ]
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
            self._lapsed[each] = Millis(now + VERDICT_MS)
        for each in [each for each, until in self._lapsed.items() if until <= now]:
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

"""Finds parts of prompts that crash upstreams, and blocks requests with them on the whole fleet.

Requests with such a part differ in everything else, so that no fingerprint recognises them. Every VM reports
which prompts it lost with an upstream, and which parts upstreams have answered since.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final

import orjson
from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.membership.protocols import SET_QUARANTINE, SharedSets
from goldcreststair.components.quarantine.const import (
    CRASH_MERGE_MS,
    PART_CHARACTERS,
    QUARANTINE_LIFETIME_MS,
    REPORT_LIFETIME_MS,
    SET_ANSWERED_PARTS,
    SET_LOST_PARTS,
    SET_RELEASED_PARTS,
    SETTLE_MS,
    VERDICT_PREFIX,
)
from goldcreststair.core import Core
from goldcreststair.helpers.crash_evidence import (
    Answers,
    CrashEvidence,
    CrashReport,
    Extent,
    Suspects,
    Written,
    list_suspects,
)
from goldcreststair.helpers.crash_verdicts import (
    VerdictChange,
    Verdicts,
    decode_verdict,
    encode_verdict,
)

_LOGGER = logging.getLogger(__name__)

ANY_SOFTWARE: Final = 0
"""Upstreams name their software version only with the first token, so crashes before it have none."""


@dataclass(frozen=True, slots=True)
class _LostParts:
    """What one VM lost with an upstream."""

    upstream: str
    suspects: Suspects
    begun: bool


def find_suspects(fingerprint: str, body: bytes) -> Suspects:
    """Return what about a request may crash upstreams: itself, and the parts that others may share.

    These are all messages of a chat but the last, or the beginning of a long prompt.

    >>> one = find_suspects("0" * 32, b'{"prompt": "x"}')
    >>> chat = b'{"messages": [{"role": "system", "content": "s"}, {"role": "user", "content": "u"}]}'
    >>> len(one), len(find_suspects("0" * 32, chat))
    (1, 2)
    """
    return list_suspects(fingerprint[:16], _list_parts(body))


def _list_parts(body: bytes) -> list[str]:
    """Return the names of the parts of a prompt; the last one is the request's own."""
    try:
        request = orjson.loads(body)
    except ValueError:
        return []
    if not isinstance(request, dict):
        return []
    if isinstance(messages := request.get("messages"), list):
        return [orjson.dumps(message, option=orjson.OPT_SORT_KEYS).decode() for message in messages]
    prompt = request.get("prompt")
    if isinstance(prompt, str) and len(prompt) > PART_CHARACTERS:
        return [prompt[:PART_CHARACTERS], prompt]
    return []


class PartQuarantine:
    """The crashes, answers and verdicts of all VMs, as known to this one."""

    def __init__(self, core: Core, sets: SharedSets) -> None:
        """Exchange reports through `sets`."""
        self._core = core
        self._clock = core.clock
        self._sets = sets
        self._evidence = CrashEvidence(core.clock)
        self._verdicts = Verdicts(core.clock, self._evidence)
        self._crashes: dict[str, tuple[bytes, Millis]] = {}
        """By upstream, its last crash and when that was."""
        self._number = 0
        self._handlers: list[Callable[[], None]] = []
        sets.watch(SET_LOST_PARTS, self._on_lost)
        sets.watch(SET_ANSWERED_PARTS, self._on_answered)
        sets.watch(SET_RELEASED_PARTS, self._on_released)
        sets.watch(SET_QUARANTINE, self._on_quarantined)

    def on_verdict(self, handler: Callable[[], None]) -> None:
        """Add a handler that is called when more requests are refused."""
        self._handlers.append(handler)

    def is_refused(self, suspects: Suspects) -> bool:
        """Return whether a request must not run."""
        return self._verdicts.find(suspects) is not None

    def is_suspect(self, suspects: Suspects) -> bool:
        """Return whether a request must run apart from others."""
        return bool(self._verdicts.list_suspected(suspects))

    def is_pending(self, suspects: Suspects) -> bool:
        """Return whether a request is about to be refused, unless another VM reports an answer."""
        return self._verdicts.is_pending(suspects)

    def report_lost(self, upstream: str, suspects: Suspects, *, wrote_ms: int | None) -> None:
        """Report a run that was lost with its upstream, and how long it had returned tokens; None if not at all."""
        if not suspects:
            return
        # Which of the other upstreams ran a part at that moment is not known here, so that a late crash
        # would count against the parts that all long answers hold.
        if wrote_ms is not None and Extent(wrote_ms).is_late:
            self.report_answer(suspects)
            return
        runs = "new" if wrote_ms is None else "begun"
        text = f"{upstream} {runs} {encode_verdict(suspects)} {self._make_nonce()}"
        self._sets.add(SET_LOST_PARTS, text, REPORT_LIFETIME_MS)

    def report_answer(self, suspects: Suspects) -> None:
        """Report an answer that is whole or has gone on: nothing about its request crashes upstreams."""
        written = Written(self._clock.now())
        clears = self._evidence.record_answer(suspects, ANY_SOFTWARE, written)
        named = self._verdicts.list_named(suspects)
        if not clears and not named:
            return
        untold = [frozenset(answers.ages_ms) for answers in self._evidence.list_untold(suspects)]
        for answered in (*untold, named):
            if answered:
                text = f"{encode_verdict(answered)} {self._make_nonce()}"
                self._sets.add(SET_ANSWERED_PARTS, text, REPORT_LIFETIME_MS)
        self._update()

    def _make_nonce(self) -> str:
        self._number += 1
        return f"{self._core.session_id}.{self._number}"

    def _on_lost(self, text: str) -> None:
        decoded = _decode_lost(text)
        if isinstance(decoded, Err):
            _LOGGER.warning("Report of lost requests unreadable: %s", decoded.err_value)
            return
        lost, now = decoded.ok_value, self._clock.now()
        crash, at = self._crashes.get(lost.upstream, (b"", Millis(0)))
        if not crash or now - at > CRASH_MERGE_MS:
            name = f"{lost.upstream} {now}".encode()
            crash, at = blake2b(name, digest_size=8).digest(), now
            self._crashes[lost.upstream] = crash, at
        nothing: Suspects = frozenset()
        suspects, begun = (nothing, lost.suspects) if lost.begun else (lost.suspects, nothing)
        report = CrashReport(crash, ANY_SOFTWARE, suspects, begun, now - at)
        self._evidence.record_crash(report)
        self._apply(self._verdicts.record_crash(report))
        self._update()
        self._clock.call_later(SETTLE_MS + 1, self._update)

    def _on_answered(self, text: str) -> None:
        decoded = decode_verdict(text.partition(" ")[0])
        if isinstance(decoded, Err):
            _LOGGER.warning("Report of an answer unreadable: %s", decoded.err_value.message)
            return
        answers = Answers(ANY_SOFTWARE, dict.fromkeys(decoded.ok_value, 0))
        clears = self._evidence.record_shared(answers)
        if clears or self._verdicts.list_named(answers.ages_ms):
            self._update()

    def _on_released(self, text: str) -> None:
        decoded = decode_verdict(text.partition(" ")[0])
        if isinstance(decoded, Ok):
            self._apply(self._verdicts.release(decoded.ok_value))

    def _on_quarantined(self, text: str) -> None:
        if not text.startswith(VERDICT_PREFIX):
            return
        decoded = decode_verdict(text.removeprefix(VERDICT_PREFIX))
        if isinstance(decoded, Err):
            _LOGGER.warning("Verdict unreadable: %s", decoded.err_value.message)
            return
        self._apply(self._verdicts.learn(decoded.ok_value))

    def _update(self) -> None:
        change = self._verdicts.update(SETTLE_MS)
        for released in change.released:
            text = f"{encode_verdict(released)} {self._make_nonce()}"
            self._sets.add(SET_RELEASED_PARTS, text, REPORT_LIFETIME_MS)
        self._apply(change)
        for suspects in change.added:
            text = VERDICT_PREFIX + encode_verdict(suspects)
            self._sets.add(SET_QUARANTINE, text, QUARANTINE_LIFETIME_MS)

    def _apply(self, change: VerdictChange) -> None:
        for suspects in change.added:
            extra = {"verdict": encode_verdict(suspects)}
            _LOGGER.warning("Requests quarantined for upstream crashes", extra=extra)
        if change.added:
            for handler in tuple(self._handlers):
                handler()


def _decode_lost(text: str) -> Result[_LostParts, str]:
    upstream, _, rest = text.partition(" ")
    runs, _, rest = rest.partition(" ")
    suspects = decode_verdict(rest.partition(" ")[0])
    if isinstance(suspects, Err):
        return Err(suspects.err_value.message)
    if runs not in ("begun", "new"):
        return Err(f"unknown kind of runs {runs!r}")
    return Ok(_LostParts(upstream, suspects.ok_value, runs == "begun"))

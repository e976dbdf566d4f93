"""Encodes and decodes crashes, answers and verdicts in beacons, requests between daemons and rows."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

from result import Result

from goldcreststair.helpers.crash_evidence import (
    BEGIN,
    ENCODED_WHOLE,
    SUSPECT_BYTES,
    WHOLE,
    Answers,
    CrashReport,
    Extent,
    Suspect,
    Suspects,
)
from goldcreststair.helpers.crash_verdicts import VerdictError, decode_verdict, encode_verdict
from goldcreststair.wire.codec import FrameError, decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import (
    AnsweredSuspects,
    CrashVerdicts,
    LostRuns,
)


def join_suspects(suspects: Suspects) -> bytes:
    """Return suspects as bytes."""
    return b"".join(sorted(suspects))


def split_suspects(joined: bytes) -> Suspects:
    """Return suspects from bytes; an incomplete one at the end is left out.

    >>> sorted(split_suspects(b"abcdefgh12345678xy"))
    [b'12345678', b'abcdefgh']
    """
    return frozenset(iterate_suspects(joined))


def iterate_suspects(joined: bytes) -> Iterator[Suspect]:
    """Yield suspects from bytes, in their order."""
    for end in range(SUSPECT_BYTES, len(joined) + 1, SUSPECT_BYTES):
        yield joined[end - SUSPECT_BYTES : end]


def encode_report(report: CrashReport, age_ms: int) -> LostRuns:
    """Encode a report of a crash that was seen `age_ms` ago."""
    suspects, begun = join_suspects(report.suspects), join_suspects(report.begun)
    elsewhere = report.elsewhere
    return LostRuns(
        report.crash,
        report.software,
        suspects,
        age_ms,
        begun or None,
        report.others or None,
        b"".join(elsewhere) or None,
        list(elsewhere.values()) or None,
        *_encode_extents([report.extents.get(each, BEGIN) for each in sorted(report.begun)]),
    )


def decode_report(raw: LostRuns) -> CrashReport:
    """Decode a report of a crash."""
    suspects, begun = split_suspects(raw.suspects), split_suspects(raw.begun or b"")
    pairs = zip(iterate_suspects(raw.elsewhere or b""), raw.elsewhere_counts or (), strict=False)
    age_ms, others = max(0, raw.age_ms), max(0, raw.others or 0)
    extents = zip(
        iterate_suspects(raw.begun or b""),
        _decode_extents(raw.begun_ms, raw.begun_events),
        strict=False,
    )
    return CrashReport(
        raw.crash, raw.software, suspects, begun, age_ms, others, dict(pairs), dict(extents)
    )


def encode_answers(answers: Answers) -> AnsweredSuspects:
    """Encode the suspects that upstreams of one software version have answered."""
    ages_ms, extents = answers.ages_ms, [answers.extents.get(s, WHOLE) for s in answers.ages_ms]
    encoded = _encode_extents(extents) if answers.extents else (None, None)
    return AnsweredSuspects(answers.software, b"".join(ages_ms), list(ages_ms.values()), *encoded)


def decode_answers(raw: AnsweredSuspects) -> Answers:
    """Decode answered suspects; one without an age is left out."""
    suspects = tuple(iterate_suspects(raw.suspects))
    pairs = zip(suspects, raw.ages_ms, strict=False)
    extents = zip(suspects, _decode_extents(raw.wrote_ms, raw.events), strict=False)
    ages_ms = {suspect: max(0, age_ms) for suspect, age_ms in pairs}
    return Answers(raw.software, ages_ms, {s: each for s, each in extents if each != WHOLE})


def _encode_extents(extents: Sequence[Extent]) -> tuple[list[int] | None, list[int] | None]:
    wrote_ms = [ENCODED_WHOLE if each == WHOLE else each.wrote_ms for each in extents]
    events = [ENCODED_WHOLE if each == WHOLE else each.events for each in extents]
    return wrote_ms or None, events or None


def _decode_extents(
    wrote_ms: Iterable[int] | None, events: Iterable[int] | None
) -> Iterator[Extent]:
    for ms, count in zip(wrote_ms or (), events or (), strict=False):
        yield WHOLE if ms == ENCODED_WHOLE else Extent(max(0, ms), max(0, count))


def encode_all(verdicts: Iterable[tuple[Suspects, int]]) -> bytes:
    """Encode all verdicts with the time that each has left, ms."""
    return encode_struct(CrashVerdicts({encode_verdict(each): ms for each, ms in verdicts}))


def decode_all(encoded: bytes) -> Result[Mapping[str, int], FrameError]:
    """Decode all verdicts of another VM, as texts with the time that each has left, ms."""
    return decode_struct(CrashVerdicts, encoded).map(lambda listed: dict(listed.left_ms))


def iterate_verdicts(texts: Iterable[str]) -> Iterator[Result[Suspects, VerdictError]]:
    """Yield the verdicts of a beacon."""
    return (decode_verdict(text) for text in texts)

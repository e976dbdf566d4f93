"""Encodes and decodes crashes, answers and verdicts in beacons, requests between daemons and rows."""

from collections.abc import Iterable, Iterator, Mapping

from result import Result

from goldcreststair.helpers.crash_evidence import (
    SUSPECT_BYTES,
    Answers,
    CrashReport,
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
    )


def decode_report(raw: LostRuns) -> CrashReport:
    """Decode a report of a crash."""
    suspects, begun = split_suspects(raw.suspects), split_suspects(raw.begun or b"")
    pairs = zip(iterate_suspects(raw.elsewhere or b""), raw.elsewhere_counts or (), strict=False)
    age_ms, others = max(0, raw.age_ms), max(0, raw.others or 0)
    return CrashReport(raw.crash, raw.software, suspects, begun, age_ms, others, dict(pairs))


def encode_answers(software: int, ages_ms: Mapping[Suspect, int]) -> AnsweredSuspects:
    """Encode the suspects that upstreams of one software version have answered."""
    return AnsweredSuspects(software, b"".join(ages_ms), list(ages_ms.values()))


def decode_answers(raw: AnsweredSuspects) -> Answers:
    """Decode answered suspects; one without an age is left out."""
    suspects = iterate_suspects(raw.suspects)
    pairs = zip(suspects, raw.ages_ms, strict=False)
    return Answers(raw.software, {suspect: max(0, age_ms) for suspect, age_ms in pairs})


def encode_all(verdicts: Iterable[tuple[Suspects, int]]) -> bytes:
    """Encode all verdicts with the time that each has left, ms."""
    return encode_struct(CrashVerdicts({encode_verdict(each): ms for each, ms in verdicts}))


def decode_all(encoded: bytes) -> Result[Mapping[str, int], FrameError]:
    """Decode all verdicts of another VM, as texts with the time that each has left, ms."""
    return decode_struct(CrashVerdicts, encoded).map(lambda listed: dict(listed.left_ms))


def iterate_verdicts(texts: Iterable[str]) -> Iterator[Result[Suspects, VerdictError]]:
    """Yield the verdicts of a beacon."""
    return (decode_verdict(text) for text in texts)

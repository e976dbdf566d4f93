"""Encodes and decodes crashes, cleared suspects and verdicts in beacons, requests between daemons and rows."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Final

from result import Err, Ok, Result

from goldcreststair.helpers.crash_evidence import SUSPECT_BYTES, Cleared, CrashReport, Suspects
from goldcreststair.wire.codec import FrameError, decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import (
    ClearedSuspects,
    CrashVerdicts,
    LostRuns,
)

SEPARATOR: Final = "+"


def join_suspects(suspects: Suspects) -> bytes:
    """Return suspects as bytes."""
    return b"".join(sorted(suspects))


def split_suspects(joined: bytes) -> Suspects:
    """Return suspects from bytes; an incomplete one at the end is left out.

    >>> sorted(split_suspects(b"abcdefgh12345678xy"))
    [b'12345678', b'abcdefgh']
    """
    ends = range(SUSPECT_BYTES, len(joined) + 1, SUSPECT_BYTES)
    return frozenset(joined[end - SUSPECT_BYTES : end] for end in ends)


def encode_report(report: CrashReport, age_ms: int) -> LostRuns:
    """Encode a report of a crash that was seen `age_ms` ago."""
    suspects, begun = join_suspects(report.suspects), join_suspects(report.begun)
    return LostRuns(report.crash, report.software, suspects, age_ms, begun or None)


def decode_report(raw: LostRuns) -> CrashReport:
    """Decode a report of a crash."""
    suspects, begun = split_suspects(raw.suspects), split_suspects(raw.begun or b"")
    return CrashReport(raw.crash, raw.software, suspects, begun, max(0, raw.age_ms))


def encode_cleared(cleared: Cleared) -> ClearedSuspects:
    """Encode suspects that are cleared of a crash."""
    return ClearedSuspects(cleared.crash, join_suspects(cleared.suspects))


def decode_cleared(raw: ClearedSuspects) -> Cleared:
    """Decode suspects that are cleared of a crash."""
    return Cleared(raw.crash, split_suspects(raw.suspects))


def encode_verdict(suspects: Suspects) -> str:
    """Return a verdict as text.

    >>> encode_verdict(frozenset((b"bbbbbbbb", b"aaaaaaaa")))
    '6161616161616161+6262626262626262'
    """
    return SEPARATOR.join(sorted(each.hex() for each in suspects))


def decode_verdict(text: str) -> Result[Suspects, FrameError]:
    """Return a verdict from its text.

    >>> decode_verdict("6161616161616161").unwrap() == frozenset((b"aaaaaaaa",))
    True
    >>> decode_verdict("61+").is_err()
    True
    """
    try:
        suspects = frozenset(bytes.fromhex(each) for each in text.split(SEPARATOR))
    except ValueError as error:
        return Err(FrameError(f"not a verdict: {error}"))
    if any(len(each) != SUSPECT_BYTES for each in suspects):
        return Err(FrameError("not a verdict: a hash of another length"))
    return Ok(suspects)


def encode_all(verdicts: Iterable[tuple[Suspects, int]]) -> bytes:
    """Encode all verdicts with the time that each has left, ms."""
    return encode_struct(CrashVerdicts({encode_verdict(each): ms for each, ms in verdicts}))


def decode_all(encoded: bytes) -> Result[Mapping[str, int], FrameError]:
    """Decode all verdicts of another VM, as texts with the time that each has left, ms."""
    return decode_struct(CrashVerdicts, encoded).map(lambda listed: dict(listed.left_ms))


def iterate_verdicts(texts: Iterable[str]) -> Iterator[Result[Suspects, FrameError]]:
    """Yield the verdicts of a beacon."""
    return (decode_verdict(text) for text in texts)

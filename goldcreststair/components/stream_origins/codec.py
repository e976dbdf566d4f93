"""Encodes and decodes origins of streams in beacons, requests between daemons and rows."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

from result import Result

from goldcreststair.components.stream_origins.const import STREAM_HASH_BYTES
from goldcreststair.components.stream_origins.models import StreamKey, VersionRecord
from goldcreststair.wire.codec import FrameError, decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import (
    OriginatedStreams,
    OriginReply,
    SoftwareRow,
    SoftwareVersion,
)


def encode_announced(announced: Mapping[int, Sequence[StreamKey]]) -> list[OriginatedStreams]:
    """Return the field of a beacon that lists streams by the keys of their origins."""
    return [OriginatedStreams(origin, b"".join(streams)) for origin, streams in announced.items()]


def split_streams(streams: bytes) -> Iterator[StreamKey]:
    """Yield the streams of one origin; an incomplete one at the end is left out.

    >>> list(split_streams(b"abcdefgh12345678xy"))
    [b'abcdefgh', b'12345678']
    """
    for at in range(0, len(streams) - STREAM_HASH_BYTES + 1, STREAM_HASH_BYTES):
        yield streams[at : at + STREAM_HASH_BYTES]


def encode_reply(origin: int | None) -> bytes:
    """Encode the key of a stream's origin, or that it is not known."""
    return encode_struct(OriginReply(origin))


def decode_reply(encoded: bytes) -> Result[int | None, FrameError]:
    """Decode the key of a stream's origin; None if the other daemon does not know it."""
    return decode_struct(OriginReply, encoded).map(lambda reply: reply.origin)


def encode_history(records: Iterable[VersionRecord]) -> bytes:
    """Encode the versions of one service."""
    versions = [SoftwareVersion(r.version, r.listed, r.last_listed_at) for r in records]
    return encode_struct(SoftwareRow(versions))


def decode_history(encoded: bytes) -> Result[list[VersionRecord], FrameError]:
    """Decode the versions of one service."""
    return decode_struct(SoftwareRow, encoded).map(
        lambda row: [VersionRecord(v.version, v.listed, v.last_listed_at) for v in row.versions]
    )

"""Thrift structs to bytes and back, with the accelerated compact protocol."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class FrameError(GoldcreststairError):
    """Bytes that are not the expected struct."""


def encode_struct(struct: Any) -> bytes:
    """Return a struct's bytes."""
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(buffer))
    encoded: bytes = buffer.getvalue()
    return encoded


def decode_struct(struct: type[Any], encoded: bytes) -> Result[Any, FrameError]:
    """Return a struct of another daemon whose required fields are all there."""
    try:
        message = read_struct(struct, encoded)
        message.validate()
    # The accelerated decoder raises many kinds; any of them means a frame that is not ours.
    except Exception as error:
        return Err(FrameError(f"not a {struct.__name__}: {error!r}"))
    return Ok(message)


def split_struct(struct: type[Any], encoded: bytes) -> Result[tuple[Any, bytes], FrameError]:
    """Return a struct and the bytes after it, which earlier versions ignore."""
    buffer = TMemoryBuffer(encoded)
    message = struct()
    try:
        message.read(TCompactProtocolAccelerated(buffer))
        message.validate()
    except Exception as error:
        return Err(FrameError(f"not a {struct.__name__}: {error!r}"))
    return Ok((message, encoded[buffer.cstringio_buf.tell() :]))


def read_struct(struct: type[Any], encoded: bytes) -> Any:
    """Return a struct of the platform's store, which this system wrote; raises if it did not."""
    message = struct()
    message.read(TCompactProtocolAccelerated(TMemoryBuffer(encoded)))
    return message


def read_structs(struct: type[Any], encoded: bytes) -> Iterator[Any]:
    """Yield the structs that stand one after another; raises at one that is broken."""
    buffer = TMemoryBuffer(encoded)
    protocol = TCompactProtocolAccelerated(buffer)
    while buffer.cstringio_buf.tell() < len(encoded):
        message = struct()
        message.read(protocol)
        yield message

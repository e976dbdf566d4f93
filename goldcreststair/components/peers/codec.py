"""Structs to bytes and back, with the accelerated compact protocol."""

from typing import Any

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from goldcreststair.components.peers.errors import FrameError


def encode_struct(message: Any) -> bytes:
    """Return a struct's bytes."""
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    encoded: bytes = buffer.getvalue()
    return encoded


def decode_struct(struct: type[Any], encoded: bytes) -> Result[Any, FrameError]:
    """Return a struct whose required fields are all there."""
    message = struct()
    try:
        message.read(TCompactProtocolAccelerated(TMemoryBuffer(encoded)))
        message.validate()
    # The accelerated decoder raises many kinds; any of them means a frame that is not ours.
    except Exception as error:
        return Err(FrameError(f"not a {struct.__name__}: {error!r}"))
    return Ok(message)

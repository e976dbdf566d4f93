"""Serialisation of batch messages."""

from typing import Any

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from goldcreststair.wire.generated.batch.ttypes import (
    ItemResult,
    Lot,
    LotItem,
    LotResult,
    RecordPut,
    Reply,
    ReplyStatus,
    Verdict,
)

ITEM = LotItem(
    "chunk/j/f/00000", 3, "batch-s-1-3", "/v1/completions", b'{"prompt":"\xc4\x8d"}', True
)


@pytest.mark.parametrize(
    "message",
    [
        RecordPut("p", "chunk/j/f/00000", b"\x00\xff"),
        Reply(status=ReplyStatus.NOT_OWNER, owner="s2"),
        Reply(status=ReplyStatus.OK, value=b"\xff"),
        Lot([ITEM], 10_000),
        LotResult("chunk/j/f/00000", [ItemResult(3, Verdict.DONE, 200, b"\xff{}")]),
    ],
)
def test_message_is_unchanged_by_serialisation(message: Any) -> None:
    factory = TCompactProtocolAcceleratedFactory()
    assert deserialize(type(message)(), serialize(message, factory), factory) == message

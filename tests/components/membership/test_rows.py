"""Encoding of session rows: the stored names must not change with the code."""

import orjson

from goldcreststair.components.membership.models import Member, MemberState
from goldcreststair.components.membership.rows import SessionRow, decode_row, encode_row

MEMBER = Member("s1", "10.0.0.1", 80, 81, "dc1", "r", MemberState.SERVING, 3)


def test_session_row_keeps_its_stored_names() -> None:
    """Guards against a renamed field that VMs of another version cannot read."""
    row = SessionRow(MEMBER, heartbeat=5, version=2)
    assert orjson.loads(encode_row(row)) == {
        "beat": 5,
        "version": 2,
        "member": {
            "session_id": "s1",
            "address": "10.0.0.1",
            "http_port": 80,
            "peer_port": 81,
            "data_centre": "dc1",
            "region": "r",
            "state": "serving",
            "slot": 3,
        },
    }
    assert decode_row(encode_row(row)) == row

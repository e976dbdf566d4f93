"""Encoding of session rows in the table service."""

import dataclasses
from dataclasses import dataclass

import orjson

from goldcreststair.components.membership.const import ROW_SESSION
from goldcreststair.components.membership.models import Member, MemberState


@dataclass(frozen=True, slots=True)
class SessionRow:
    """The row that a VM writes about its own session."""

    member: Member
    heartbeat: int
    """Counter that grows with every write; stored as `beat`."""
    version: int
    """Counter that grows when `member` changes."""


def name_row(session_id: str) -> str:
    """Return the key of a session's row."""
    return ROW_SESSION + session_id


def encode_row(row: SessionRow) -> bytes:
    """Return the value of a row."""
    return orjson.dumps(
        {"beat": row.heartbeat, "version": row.version, "member": dataclasses.asdict(row.member)}
    )


def decode_row(value: bytes) -> SessionRow:
    """Return the row from a value that `encode_row` returned."""
    raw = orjson.loads(value)
    member = raw["member"]
    member["state"] = MemberState(member["state"])
    return SessionRow(Member(**member), raw["beat"], raw["version"])

"""A session's row in the table."""

import dataclasses
from dataclasses import dataclass

import orjson

from goldcreststair.components.membership.const import ROW_SESSION
from goldcreststair.components.membership.models import Member, MemberState


@dataclass(frozen=True, slots=True)
class SessionRow:
    """What a VM writes of itself."""

    member: Member
    beat: int
    """Grows with every write."""
    version: int
    """Grows when the member's own facts change."""


def name_row(session_id: str) -> str:
    """Return the row's key."""
    return ROW_SESSION + session_id


def encode_row(row: SessionRow) -> bytes:
    """Return the row's value."""
    return orjson.dumps(
        {"beat": row.beat, "version": row.version, "member": dataclasses.asdict(row.member)}
    )


def decode_row(value: bytes) -> SessionRow:
    """Return the row of a value that `encode_row` made."""
    raw = orjson.loads(value)
    member = raw["member"]
    member["state"] = MemberState(member["state"])
    return SessionRow(Member(**member), raw["beat"], raw["version"])

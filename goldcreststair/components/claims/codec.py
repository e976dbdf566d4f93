"""Encodes claims and outcomes as thrift structs."""

from typing import Any

from goldcreststair.components.claims.const import RECORD_PREFIX
from goldcreststair.components.claims.models import ClaimRecord, ClaimState, StoredOutcome
from goldcreststair.wire.codec import encode_struct, read_struct
from goldcreststair.wire.generated.ledger import ttypes


def make_record_key(customer: str, key: str) -> str:
    """Return the key of a claim's record in the ledger."""
    return f"{RECORD_PREFIX}{customer}/{key}"


def encode_record(record: ClaimRecord) -> bytes:
    """Return a claim's record in its stored form."""
    return encode_struct(
        ttypes.ClaimRecord(
            record.fingerprint,
            record.request_id,
            record.repeatable,
            record.runner,
            record.claim_id,
            int(record.state),
            record.tick,
            to_wire(record.outcome),
        )
    )


def decode_record(content: bytes) -> ClaimRecord:
    """Return the claim's record from its stored form."""
    raw = read_struct(ttypes.ClaimRecord, content)
    return ClaimRecord(
        raw.fingerprint,
        raw.request_id,
        raw.repeatable,
        raw.runner,
        raw.claim_id,
        ClaimState(raw.state),
        raw.tick,
        from_wire(raw.outcome),
    )


def to_wire(outcome: StoredOutcome | None) -> Any:
    """Return an outcome as a thrift struct; None for None."""
    if outcome is None:
        return None
    return ttypes.OutcomeData(
        outcome.status, outcome.content_type, outcome.body, outcome.body_object
    )


def from_wire(raw: Any) -> StoredOutcome | None:
    """Return the outcome in a thrift struct; None for None."""
    if raw is None:
        return None
    return StoredOutcome(raw.status, raw.content_type, raw.body or b"", raw.body_object or "")

"""Converts the messages of limits to models and back."""

from goldcreststair.components.limits.models import (
    BucketSnapshot,
    GrantReport,
    GrantSnapshot,
    Handover,
)
from goldcreststair.wire.generated.limits import ttypes

NUMBER_TOKEN_ASK = 20
NUMBER_TOKEN_GRANT = 21
NUMBER_RENOUNCE = 22
NUMBER_RENOUNCED = 23
NUMBER_SUPPORT_ASK = 24
NUMBER_SUPPORTED = 25


def encode_reports(reports: tuple[GrantReport, ...]) -> list[ttypes.LotReport]:
    """Return reports as structs."""
    return [ttypes.LotReport(r.number, r.spent, r.finished) for r in reports]


def decode_reports(message: ttypes.TokenAsk) -> tuple[GrantReport, ...]:
    """Return the reports in a token request."""
    return tuple(GrantReport(r.number, r.spent, r.finished) for r in message.reports)


def encode_handover(handover: Handover) -> ttypes.Renounced:
    """Return the buckets that an old coordinator hands over, as a message."""
    buckets = []
    for customer, bucket in handover.snapshots.items():
        lots = [
            ttypes.HeldLot(g.session_id, g.number, g.amount, g.spent, g.remaining_ms)
            for g in bucket.grants
        ]
        buckets.append(ttypes.HeldBucket(customer, bucket.level, lots))
    return ttypes.Renounced(handover.epoch, buckets, handover.starts_full)


def decode_handover(message: ttypes.Renounced) -> Handover:
    """Return what an old coordinator hands over in a message."""
    snapshots = {bucket.customer: _decode_bucket(bucket) for bucket in message.buckets}
    return Handover(message.held_epoch, snapshots, bool(message.starts_full))


def _decode_bucket(bucket: ttypes.HeldBucket) -> BucketSnapshot:
    grants = tuple(
        GrantSnapshot(lot.session_id, lot.number, lot.amount, lot.spent, lot.remaining_ms)
        for lot in bucket.lots
    )
    return BucketSnapshot(bucket.level, grants)

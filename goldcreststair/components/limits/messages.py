"""Turns the limits' messages into models and back."""

from goldcreststair.components.limits.models import HeldBucket, HeldLot, LotReport
from goldcreststair.wire.generated.limits import ttypes

NUMBER_TOKEN_ASK = 20
NUMBER_TOKEN_GRANT = 21
NUMBER_RENOUNCE = 22
NUMBER_RENOUNCED = 23
NUMBER_SUPPORT_ASK = 24
NUMBER_SUPPORTED = 25


def encode_reports(reports: tuple[LotReport, ...]) -> list[ttypes.LotReport]:
    """Return reports as structs."""
    return [ttypes.LotReport(r.number, r.spent, r.finished) for r in reports]


def decode_reports(message: ttypes.TokenAsk) -> tuple[LotReport, ...]:
    """Return the reports of an ask."""
    return tuple(LotReport(r.number, r.spent, r.finished) for r in message.reports)


def encode_held(epoch: int, held: dict[str, HeldBucket]) -> ttypes.Renounced:
    """Return what an old home held as a message."""
    buckets = []
    for customer, bucket in held.items():
        lots = [
            ttypes.HeldLot(lot.session_id, lot.number, lot.amount, lot.spent, lot.remaining_ms)
            for lot in bucket.lots
        ]
        buckets.append(ttypes.HeldBucket(customer, bucket.level, lots))
    return ttypes.Renounced(epoch, buckets)


def decode_held(message: ttypes.Renounced) -> dict[str, HeldBucket]:
    """Return the buckets of an answer, by customer."""
    return {bucket.customer: _decode_bucket(bucket) for bucket in message.buckets}


def _decode_bucket(bucket: ttypes.HeldBucket) -> HeldBucket:
    lots = tuple(
        HeldLot(lot.session_id, lot.number, lot.amount, lot.spent, lot.remaining_ms)
        for lot in bucket.lots
    )
    return HeldBucket(bucket.level, lots)

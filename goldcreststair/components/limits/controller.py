"""Limits of this VM alone, with one token bucket per customer."""

from dataclasses import dataclass

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.limits.protocols import LimitExceeded
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import Core


@dataclass(slots=True)
class _Bucket:
    level: float
    refilled_at: Millis


class LocalLimits:
    """Admits requests by token buckets that count this VM only."""

    def __init__(self, core: Core) -> None:
        """Create limits in which every customer's bucket is full at first."""
        self._clock = core.clock
        self._buckets: dict[str, _Bucket] = {}

    async def async_start(self) -> None:
        """Do nothing: no task is needed."""

    async def async_close(self) -> None:
        """Do nothing: there is nothing to stop."""

    async def async_admit(
        self, customer: Customer, deadline_at: Millis | None = None
    ) -> Result[None, LimitExceeded]:
        """Spend one token; the bucket decides at once, so that the deadline is not needed."""
        now = self._clock.now()
        bucket = self._buckets.setdefault(customer.name, _Bucket(customer.burst, now))
        refill = (now - bucket.refilled_at) * customer.rate_per_s / MS_PER_SECOND
        bucket.level = min(customer.burst, bucket.level + refill)
        bucket.refilled_at = now
        if bucket.level < 1:
            wait_ms = int((1 - bucket.level) / customer.rate_per_s * MS_PER_SECOND) + 1
            return Err(LimitExceeded("rate and burst are spent", wait_ms))
        bucket.level -= 1
        return Ok(None)

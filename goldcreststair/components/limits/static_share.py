"""Static share of a limit that each VM has by its slot, for when no coordinator is reachable."""

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.limits.const import (
    FIRST_SLOTS,
    FIRST_SLOTS_FRACTION,
    STATIC_FRACTION,
)
from goldcreststair.components.limits.coordinator_bucket import CoordinatorBucket
from goldcreststair.components.limits.models import Allowance


def find_slot_fraction(slot: int) -> float:
    """Return a slot's fraction of the static share; the sum over all slots is at most 1.

    It depends on the slot alone, so that a change of the number of VMs needs no agreement.

    >>> sum(find_slot_fraction(slot) for slot in range(4096)) <= 1
    True
    """
    if slot < FIRST_SLOTS:
        return FIRST_SLOTS_FRACTION / FIRST_SLOTS if slot >= 0 else 0.0
    doubling = (slot // FIRST_SLOTS).bit_length()
    slots = FIRST_SLOTS << (doubling - 1)
    return (1 - FIRST_SLOTS_FRACTION) / (slots << doubling)


def has_static_share(customer: Customer) -> bool:
    """Return whether the burst is large enough to give the first slots a whole token."""
    return customer.burst * STATIC_FRACTION * find_slot_fraction(0) >= 1


def find_coordinator_allowance(customer: Customer) -> Allowance:
    """Return the allowance that the coordinator distributes."""
    fraction = 1 - STATIC_FRACTION if has_static_share(customer) else 1.0
    return Allowance(customer.rate_per_s * fraction, customer.burst * fraction)


class StaticShare:
    """Bucket of one customer's static share on this VM."""

    def __init__(self) -> None:
        """Create a share without a slot."""
        self._slot = -1
        self._bucket: CoordinatorBucket | None = None

    def spend(self, customer: Customer, slot: int, now: Millis) -> bool:
        """Spend one token of this VM's slot; returns whether there was one."""
        fraction = find_slot_fraction(slot) * STATIC_FRACTION
        if not has_static_share(customer) or customer.burst * fraction < 1:
            self._bucket = None
            return False
        allowance = Allowance(customer.rate_per_s * fraction, customer.burst * fraction)
        if self._bucket is None or slot != self._slot:
            # Starts empty, as the slot's previous VM may have spent its whole share just now.
            self._bucket, self._slot = CoordinatorBucket(allowance, now), slot
        self._bucket.change(allowance, now)
        return self._bucket.spend(now)

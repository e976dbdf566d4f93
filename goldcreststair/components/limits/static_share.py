"""The small part of a limit that each VM has by its slot, for when no home can be reached."""

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.limits.const import FIRST_SLOTS, FIRST_SLOTS_PART, STATIC_FRACTION
from goldcreststair.components.limits.coordinator_bucket import CoordinatorBucket
from goldcreststair.components.limits.models import Allowance


def find_slot_part(slot: int) -> float:
    """Return a slot's part of the static share; over all slots there are, the sum is at most 1.

    It depends on the slot alone, so a changed number of VMs changes nothing and needs no agreement.

    >>> sum(find_slot_part(slot) for slot in range(4096)) <= 1
    True
    """
    if slot < FIRST_SLOTS:
        return FIRST_SLOTS_PART / FIRST_SLOTS if slot >= 0 else 0.0
    doubling = (slot // FIRST_SLOTS).bit_length()
    slots = FIRST_SLOTS << (doubling - 1)
    return (1 - FIRST_SLOTS_PART) / (slots << doubling)


def has_static_share(customer: Customer) -> bool:
    """Return whether the burst gives the first slots a whole token."""
    return customer.burst * STATIC_FRACTION * find_slot_part(0) >= 1


def find_home_allowance(customer: Customer) -> Allowance:
    """Return what the home has."""
    part = 1 - STATIC_FRACTION if has_static_share(customer) else 1.0
    return Allowance(customer.rate_per_s * part, customer.burst * part)


class StaticShare:
    """One customer's static bucket on this VM."""

    def __init__(self) -> None:
        """Start with no slot."""
        self._slot = -1
        self._bucket: CoordinatorBucket | None = None

    def spend(self, customer: Customer, slot: int, now: Millis) -> bool:
        """Take one token if this VM's slot has any."""
        part = find_slot_part(slot) * STATIC_FRACTION
        if not has_static_share(customer) or customer.burst * part < 1:
            self._bucket = None
            return False
        allowance = Allowance(customer.rate_per_s * part, customer.burst * part)
        if self._bucket is None or slot != self._slot:
            # The slot's last holder may have spent its whole share just now: start empty.
            self._bucket, self._slot = CoordinatorBucket(allowance, now), slot
        self._bucket.change(allowance, now)
        return self._bucket.spend(now)

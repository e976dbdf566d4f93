"""Chooses the addresses that a caller gets; no I/O.

Callers cache a lookup for seconds and pick one of its addresses at random. An address of a VM that is
down costs a caller its first attempt and a full second.
"""

import random
from collections.abc import Sequence
from typing import Final

from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.fleet.models import FleetVm

MAX_ADDRESSES: Final = 64
"""Callers ignore further addresses."""
MIN_NEARBY: Final = 2
"""With at least this many VMs in its own data centre (or region) a caller gets only those: latency is
lower, and traffic between data centres is charged. A single VM would leave no alternative to retry."""


def choose_addresses(
    ready: Sequence[FleetVm],
    data_centre: str,
    region: str,
    rng: random.Random,
    allowed: Regions = None,
) -> list[str]:
    """Return the nearest addresses for a caller in a data centre and region that leave an alternative.

    Only VMs of the caller's own region and of the `allowed` regions are returned.
    """
    if allowed is not None:
        ready = [vm for vm in ready if vm.region == region or vm.region in allowed]
    near = [vm for vm in ready if vm.data_centre == data_centre]
    if len(near) >= MIN_NEARBY:
        return _sample(near, rng)
    same_region = [vm for vm in ready if vm.region == region]
    if len(same_region) >= MIN_NEARBY:
        return _sample(same_region, rng)
    return _sample(ready, rng)


def _sample(vms: Sequence[FleetVm], rng: random.Random) -> list[str]:
    if len(vms) > MAX_ADDRESSES:
        vms = rng.sample(list(vms), MAX_ADDRESSES)
    return sorted(vm.front_address for vm in vms)

"""Which addresses a caller gets; no I/O.

Load it answers: callers keep an answer for seconds and choose among its addresses at random. A dead
address costs a caller its first attempt, and a full second of it.
"""

import random
from collections.abc import Sequence
from typing import Final

from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.fleet.models import FleetVm

MAX_ADDRESSES: Final = 64
"""More are not read by callers."""
MIN_NEAR: Final = 2
"""With so many VMs in its own data centre a caller gets only those: the way is shorter, and bytes
between data centres are paid for. A single one would have no other to turn to."""


def choose_addresses(
    ready: Sequence[FleetVm],
    data_centre: str,
    region: str,
    chance: random.Random,
    allowed: Regions = None,
) -> list[str]:
    """Return the addresses for a caller in a data centre and region, the nearest that leave a choice.

    Only VMs of the caller's own region and of those `allowed` may be named.
    """
    if allowed is not None:
        ready = [vm for vm in ready if vm.region == region or vm.region in allowed]
    near = [vm for vm in ready if vm.data_centre == data_centre]
    if len(near) >= MIN_NEAR:
        return _take(near, chance)
    same_region = [vm for vm in ready if vm.region == region]
    if len(same_region) >= MIN_NEAR:
        return _take(same_region, chance)
    return _take(ready, chance)


def _take(vms: Sequence[FleetVm], chance: random.Random) -> list[str]:
    if len(vms) > MAX_ADDRESSES:
        vms = chance.sample(list(vms), MAX_ADDRESSES)
    return sorted(vm.front_address for vm in vms)

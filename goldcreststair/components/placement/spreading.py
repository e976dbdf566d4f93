"""Random choice of upstreams based on load data that is older than the load changes; no I/O.

Designed for hundreds of daemons that each place one or two requests per second based on the same
digest, which is about 200 ms old. If each chose the best upstream, all would choose the same one
until the next digest, and its queue would build up while other upstreams have free slots. A random
choice weighted by free slots fills all upstreams evenly.
"""

import math
import random
from collections.abc import Sequence
from typing import Final, NamedTuple, TypeVar

T = TypeVar("T")

SAME_DATA_CENTRE_WEIGHT: Final = 2.0
"""Factor for an upstream in this daemon's data centre: the round trip is shorter, and traffic
between data centres is charged."""
AFFINITY_WEIGHT: Final = 1.5
"""Factor for the upstream that probably has the prompt prefix cached, which saves about 3 ms of
prefill."""
QUEUE_EXPONENT: Final = 2
"""How steeply the weight of a full upstream falls with the length of its queue."""
PACE_EXPONENT: Final = 0.5
"""How steeply the weight of an upstream falls with its factor. With 1, the requests of a burst crowd
at the other upstreams, as reported paces are up to 300 ms old when daemons act on them."""


class SlotUsage(NamedTuple):
    """Slots and runs of one upstream; a tuple, as one is made for each upstream in each decision."""

    slots: int
    online: int
    """Online runs, waiting ones included."""
    batch: int
    """Batch runs; they can be preempted."""
    same_data_centre: bool = False
    preferred: bool = False
    """Whether it probably has the prompt prefix cached."""
    factor: float = 1.0
    """How much longer than usual work takes there."""


def compute_weights(usages: Sequence[SlotUsage]) -> list[float]:
    """Return the weight of each upstream in the choice for an online request.

    Upstreams with free slots come first, then those with batch runs to preempt, then the shortest
    queues.

    >>> compute_weights([SlotUsage(8, 2, 0), SlotUsage(8, 5, 2), SlotUsage(8, 8, 0)])
    [6.0, 1.0, 0.0]
    >>> compute_weights([SlotUsage(8, 6, 2), SlotUsage(8, 8, 0)])
    [2.0, 0.0]
    >>> compute_weights([SlotUsage(8, 8, 0), SlotUsage(8, 9, 0)])
    [1.0, 0.25]
    >>> compute_weights([SlotUsage(8, 7, 0), SlotUsage(8, 8, 0)])
    [1.0, 0.0]
    >>> compute_weights([SlotUsage(8, 2, 0), SlotUsage(8, 2, 0, factor=4.0)])
    [6.0, 3.0]
    """
    weights = [max(0.0, usage.slots - usage.online - usage.batch) for usage in usages]
    if not any(weights):
        weights = [max(0.0, usage.slots - usage.online) for usage in usages]
    if not any(weights):
        weights = [
            1.0 / (1 + max(0, usage.online - usage.slots)) ** QUEUE_EXPONENT for usage in usages
        ]
    return [
        weight * _weigh_preference(usage) if weight else 0.0
        for weight, usage in zip(weights, usages, strict=True)
    ]


def _weigh_preference(usage: SlotUsage) -> float:
    weight = (SAME_DATA_CENTRE_WEIGHT if usage.same_data_centre else 1.0) * (
        AFFINITY_WEIGHT if usage.preferred else 1.0
    )
    return weight if usage.factor == 1.0 else weight / compute_pace_divisor(usage.factor)


def compute_pace_divisor(factor: float) -> float:
    """Return what the weight of an upstream is divided by where work takes `factor` times as long.

    >>> compute_pace_divisor(4.0)
    2.0
    """
    return math.pow(factor, PACE_EXPONENT)


def choose_weighted(options: Sequence[tuple[T, float]], rng: random.Random) -> T:
    """Return one of the options, chosen at random by their weights."""
    (chosen,) = rng.choices([option for option, _ in options], [weight for _, weight in options])
    return chosen


def allot_starts(free: int, own_waiting: int, others_waiting: int, rng: random.Random) -> int:
    """Return how many batch items a daemon may start before the next digest.

    The free slots are divided among the daemons in proportion to their waiting items. If each
    daemon used all free slots, most of the runs would be preempted at once. A fraction of a slot is
    rounded up at random.

    >>> allot_starts(10, 4, 4, random.Random(1)), allot_starts(10, 4, 0, random.Random(1))
    (5, 10)
    """
    if own_waiting <= 0:
        return free
    share = free * own_waiting / (own_waiting + max(0, others_waiting))
    return int(share) + (rng.random() < share % 1)

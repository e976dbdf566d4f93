"""Order, bounds and feasibility of waiting requests."""

from itertools import count

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.placement.models import PlacementQuery
from goldcreststair.components.waiting.const import MAX_WAITING, MAX_WAITING_BYTES
from goldcreststair.components.waiting.controller import WaitingQueue
from goldcreststair.components.waiting.models import (
    Capacity,
    Evicted,
    RefusalReason,
    WaitingRequest,
)
from standins.virtual_time import ManualClock

CAPACITY = Capacity(slots=32, run_ms=800, first_ms=60, queued_ms=100)
"""A slot becomes free every 25 ms."""
NUMBERS = count(1)


def make_request(
    queue: WaitingQueue,
    customer: str,
    rank: int = 1,
    *,
    due_ms: int = 300,
    size: int = 0,
    weight: float = 1.0,
) -> WaitingRequest:
    """Return a request that arrives now."""
    queue.shares.note_contention()
    start = queue.shares.record_arrival(customer, weight)
    due_at = Millis(queue._clock.now() + due_ms)
    query = PlacementQuery("engine")
    return WaitingRequest(next(NUMBERS), query, rank, customer, weight, start, due_at, size)


def add(queue: WaitingQueue, customer: str, rank: int = 1, *, due_ms: int = 300) -> WaitingRequest:
    """Add a request that arrives now."""
    request = make_request(queue, customer, rank, due_ms=due_ms)
    assert not queue.add(request)
    return request


@pytest.fixture
def queue() -> WaitingQueue:
    """Return an empty queue."""
    return WaitingQueue(ManualClock())


def test_order_is_by_rank_then_share_then_deadline(queue: WaitingQueue) -> None:
    """Guards against a customer's many requests that delay one of a customer below its share."""
    greedy = [add(queue, "greedy") for _ in range(3)]
    later, sooner = add(queue, "a", due_ms=300), add(queue, "b", due_ms=200)
    urgent = add(queue, "c", 0)
    assert queue.list_order() == [urgent, sooner, greedy[0], later, greedy[1], greedy[2]]


def test_weight_gives_a_larger_share(queue: WaitingQueue) -> None:
    """A customer with twice the rate has two requests served for each one of the others."""
    heavy = [make_request(queue, "heavy", weight=2.0) for _ in range(4)]
    light = [make_request(queue, "light") for _ in range(2)]
    for request in (*heavy, *light):
        queue.add(request)
    assert [request.customer for request in queue.list_order()] == [
        *("heavy", "light", "heavy"),
        *("heavy", "light", "heavy"),
    ]


@pytest.mark.parametrize(
    ("size", "waiting", "reason"),
    [
        (0, MAX_WAITING, RefusalReason.FULL),
        (MAX_WAITING_BYTES // 4, 4, RefusalReason.BYTES),
    ],
)
def test_bounds_evict_the_lowest_rank_and_the_largest_share(
    queue: WaitingQueue, size: int, waiting: int, reason: RefusalReason
) -> None:
    """Guards against memory that grows with the load, and against refusing whoever came last."""
    for _ in range(waiting):
        assert not queue.add(make_request(queue, "greedy", size=size))
    (evicted,) = queue.add(make_request(queue, "small", 0, size=size))
    assert (evicted.request.customer, evicted.reason) == ("greedy", reason)
    assert len(queue) == waiting


def test_request_above_the_bound_of_bytes_evicts_no_other(queue: WaitingQueue) -> None:
    """One large request of a good rank was refused, and all requests behind it as well."""
    kept = [add(queue, "a") for _ in range(3)]
    large = make_request(queue, "b", 0, size=MAX_WAITING_BYTES + 1)
    assert queue.add(large) == [Evicted(large, RefusalReason.BYTES)]
    assert queue.list_order() == kept


def test_requests_that_no_slot_serves_in_time_are_evicted_at_once(queue: WaitingQueue) -> None:
    """Guards against requests that wait and are then refused, later than they could have been."""
    requests = [add(queue, "a") for _ in range(8)]
    evicted = queue.evict_late(CAPACITY, lambda _: 0)
    # 300 ms less 160 ms from the freed slot to the first event are five slots of 25 ms.
    assert [each.request for each in evicted] == requests[5:]
    assert {each.reason for each in evicted} == {RefusalReason.LATE}


@pytest.mark.parametrize(("others", "left"), [(0, 5), (5, 3), (20, 1), (100, 0)])
def test_requests_that_wait_elsewhere_count_as_ahead(
    queue: WaitingQueue, others: int, left: int
) -> None:
    """Guards against daemons that each count on all freed slots."""
    for _ in range(8):
        add(queue, "a", 1)
    queue.evict_late(CAPACITY, lambda _: others)
    assert len(queue) == left


def test_a_better_rank_evicts_a_worse_one_and_not_the_other_way(queue: WaitingQueue) -> None:
    for _ in range(5):
        add(queue, "low", 1)
    add(queue, "high", 0)
    (evicted,) = queue.evict_late(CAPACITY, lambda _: 0)
    assert evicted.request.customer == "low"
    add(queue, "low", 1)
    (evicted,) = queue.evict_late(CAPACITY, lambda _: 0)
    assert evicted.request.customer == "low"


def test_customer_at_many_times_its_rate_is_ahead_and_others_are_not(queue: WaitingQueue) -> None:
    """Guards against a customer that takes the places of those that stay below their shares."""
    others = 0
    for turn in range(40):
        others += queue.is_ahead(make_request(queue, f"small{turn % 10}"))
        greedy = [make_request(queue, "greedy") for _ in range(2)]
        for _ in range(2):
            queue.shares.record_served()
    assert queue.is_ahead(greedy[-1])
    assert queue.read_level(greedy[-1]) > queue.read_level(make_request(queue, "new"))
    assert others == 0


def test_customer_without_competitors_is_not_ahead(queue: WaitingQueue) -> None:
    """Guards against refusing the only customer while places are left."""
    assert not any(queue.is_ahead(make_request(queue, "only")) for _ in range(20))


def test_what_a_customer_got_while_slots_were_idle_is_forgotten() -> None:
    """A customer that used idle slots owes nothing to those who come later."""
    clock = ManualClock()
    queue = WaitingQueue(clock)
    for _ in range(10):
        make_request(queue, "greedy")
    clock.advance(1_500)
    queue.shares.record_arrival("small", 1.0)
    start = queue.shares.record_arrival("greedy", 1.0)
    assert not queue.shares.is_ahead(start, 1.0)

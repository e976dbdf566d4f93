"""Tests which requests a leaving daemon serves and which it refuses at once."""

import asyncio

import pytest

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.entry.service import ENTRY, compute_serving_ms
from standins.gateways import GatewayFleet
from tests.helpers.gateways import async_send, run_fleet

GRACE_MS = 8_000
IMMEDIATE_MS = 5
SHORT_EVENTS = 20
"""Takes about 640 ms."""
LONG_EVENTS = 120
"""Takes about 3,640 ms."""
VERY_LONG_EVENTS = 160
"""Takes about 4,840 ms."""


@pytest.mark.parametrize("path", ["/stream/a", "/once/a"])
@pytest.mark.parametrize(
    ("earlier_events", "events", "arrives_ms", "deadline_ms", "served"),
    [
        (SHORT_EVENTS, SHORT_EVENTS, 0, 5_000, True),
        (LONG_EVENTS, LONG_EVENTS, 0, 5_000, True),
        (VERY_LONG_EVENTS, SHORT_EVENTS, 2_500, 5_000, True),
        (VERY_LONG_EVENTS, SHORT_EVENTS, 3_100, 5_000, False),
        (LONG_EVENTS, LONG_EVENTS, 2_600, 5_000, True),
        (LONG_EVENTS, LONG_EVENTS, 3_000, 5_000, False),
        (SHORT_EVENTS, SHORT_EVENTS, 3_000, 4_500, True),
        (LONG_EVENTS, LONG_EVENTS, 4_000, 5_000, False),
        (LONG_EVENTS, SHORT_EVENTS, 4_400, 5_000, False),
        (LONG_EVENTS, SHORT_EVENTS, 4_400, 2_000, True),
        (SHORT_EVENTS, SHORT_EVENTS, 5_000, 5_000, False),
        (SHORT_EVENTS, SHORT_EVENTS, 5_000, 2_600, True),
        (SHORT_EVENTS, SHORT_EVENTS, 7_100, 5_000, False),
        (0, LONG_EVENTS, 4_200, 5_000, False),
        (0, SHORT_EVENTS, 4_200, 2_000, True),
        (SHORT_EVENTS, SHORT_EVENTS, 7_300, 5_000, False),
    ],
)
def test_late_request_is_served_to_its_end_or_refused_at_once(
    path: str, earlier_events: int, events: int, arrives_ms: int, deadline_ms: int, served: bool
) -> None:
    """Guards against requests that arrive late at a leaving VM, run for seconds and are then cut."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        leaving, _ = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        fleet.engines.events = earlier_events
        for _ in range(5 if earlier_events else 0):
            assert (await async_send(fleet, leaving, path)).whole
        fleet.engines.events = events
        leaving.core.get(ENTRY).leave()
        began_at = fleet.clock.now()
        await fleet.clock.async_sleep(arrives_ms)
        sent_at = fleet.clock.now()
        answer = await async_send(fleet, leaving, path, deadline_ms=deadline_ms)
        assert answer.whole == served
        if served:
            assert answer.ended_at <= began_at + compute_serving_ms(GRACE_MS)
            return
        assert answer.refusal is not None and answer.refusal.not_run
        assert answer.refusal.status == 503 and answer.refusal.retry_after_ms > 0
        assert answer.ended_at - sent_at <= IMMEDIATE_MS

    run_fleet(scenario)


class EndlessWork:
    """Work that never ends by itself; implements `LeaveHandler`."""

    def __init__(self, clock: Clock) -> None:
        self.ended_at: Millis | None = None
        self._clock = clock

    def begin_leave(self) -> None:
        """Do nothing."""

    def count_running(self) -> int:
        return 1

    def stop_accepting(self) -> None:
        """Do nothing."""

    def end(self) -> None:
        self.ended_at = self._clock.now()


def test_answers_may_use_the_grace_period_up_to_what_ending_takes() -> None:
    """Guards against answers that are cut while much of the grace period is left."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        leaving = await fleet.async_add()
        work = EndlessWork(fleet.clock)
        entry = leaving.core.get(ENTRY)
        entry.add_leave_handler(work)
        began_at = fleet.clock.now()
        entry.leave()
        await entry.async_wait()
        assert work.ended_at is not None
        assert GRACE_MS - 500 <= work.ended_at - began_at <= GRACE_MS - 300

    run_fleet(scenario)


@pytest.mark.parametrize("path", ["/stream/a", "/once/a"])
@pytest.mark.parametrize("slow_from_ms", [0, 2_900, 4_000])
def test_streams_begun_late_in_a_leave_end_although_upstreams_become_slow(
    path: str, slow_from_ms: int
) -> None:
    """Guards against streams that are begun because earlier ones were short, and then cut.

    The callers' deadlines are 1.5 s and 5 s by turns, so that some streams may begin.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        leaving, _ = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        fleet.engines.events = 10
        for _ in range(5):
            assert (await async_send(fleet, leaving, path)).whole
        leaving.core.get(ENTRY).leave()
        began_at = fleet.clock.now()
        await fleet.clock.async_sleep(slow_from_ms)
        for engine in engines:
            engine.pace_percent, engine.reports_pace = 1_300, False
        await fleet.clock.async_sleep(max(0, 3_000 - slow_from_ms))
        sent = []
        for number in range(14):
            await fleet.clock.async_sleep(100)
            deadline_ms = 5_000 if number % 2 else 1_500
            sending = async_send(fleet, leaving, path, deadline_ms=deadline_ms)
            sent.append(asyncio.create_task(sending))
        answers = await asyncio.gather(*sent)
        stops_at = began_at + compute_serving_ms(GRACE_MS)
        assert all(answer.ended_at <= stops_at for answer in answers)
        assert any(answer.refusal is None or not answer.refusal.not_run for answer in answers)

    run_fleet(scenario)


@pytest.mark.parametrize(("vms", "retry_after_ms"), [(1, 200), (2, 10)])
def test_refused_caller_may_go_to_another_vm_at_once(vms: int, retry_after_ms: int) -> None:
    """Guards against callers that a leaving VM makes wait although another VM would serve them."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        leaving, *_ = await fleet.async_add_many(vms)
        await fleet.clock.async_sleep(1_000)
        leaving.core.get(ENTRY).leave()
        await fleet.clock.async_sleep(3_500)
        answer = await async_send(fleet, leaving, "/once/a")
        assert answer.refusal is not None and answer.refusal.not_run
        assert answer.refusal.retry_after_ms == retry_after_ms

    run_fleet(scenario)


@pytest.mark.parametrize(
    ("path", "arrives_ms", "served"),
    [("/stream/a", 2_800, True), ("/once/a", 2_800, False), ("/book/a", 2_800, False)],
)
def test_usual_run_time_decides_only_for_what_callers_may_repeat(
    path: str, arrives_ms: int, served: bool
) -> None:
    """Guards against a stream of one attempt that is begun although its deadline lies behind the stop."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        leaving, _ = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        leaving.core.get(ENTRY).leave()
        await fleet.clock.async_sleep(arrives_ms)
        answer = await async_send(fleet, leaving, path)
        assert answer.whole == served
        assert served or (answer.refusal is not None and answer.refusal.not_run)

    run_fleet(scenario)

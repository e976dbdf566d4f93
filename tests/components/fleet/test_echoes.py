"""How long datagrams take, by what their senders had received."""

import pytest

from goldcreststair.components.fleet.echoes import EchoTracker, decode_echo
from goldcreststair.components.fleet.protocols import FLEET_LINKS, DatagramKind
from standins.gateways import GatewayFleet
from standins.virtual_time import ManualClock
from tests.helpers.gateways import run_fleet


@pytest.mark.parametrize(
    ("there_ms", "held_ms", "back_ms", "lag_ms"),
    [(1, 0, 1, 2), (1, 240, 1, 2), (400, 0, 0, 400), (0, 30, 400, 400), (400, 90, 400, 800)],
)
def test_lag_is_the_way_there_and_back_without_the_time_held(
    there_ms: int, held_ms: int, back_ms: int, lag_ms: int
) -> None:
    """Counters that waited in a socket counted as fresh; a daemon that sends seldom is not late."""
    clock = ManualClock()
    one, other = EchoTracker(clock), EchoTracker(clock)
    one.record_sent(DatagramKind.BEACON, 5)
    clock.advance(there_ms)
    other.record_received("one", DatagramKind.BEACON, 5)
    clock.advance(held_ms)
    echo = decode_echo(other.make_echo("one").encode())
    clock.advance(back_ms)
    assert one.measure_lag_ms(echo) == lag_ms


def test_lag_is_unknown_without_an_echo() -> None:
    tracker = EchoTracker(ManualClock())
    assert tracker.measure_lag_ms(None) is None
    assert tracker.measure_lag_ms(tracker.make_echo("stranger")) is None
    assert decode_echo(b"short") is None


@pytest.mark.parametrize(("vms", "hops"), [(4, 1), (30, 3)])
def test_lag_of_a_fleet_adds_up_all_hops(vms: int, hops: int) -> None:
    """Each hop of a relayed fleet was 200 ms late, and daemons took the sum for 300 ms in all."""

    async def scenario(fleet: GatewayFleet) -> None:
        await fleet.async_add_many(vms)
        await fleet.clock.async_sleep(3_000)
        links = [member.core.get(FLEET_LINKS) for member in fleet.members]
        assert all(each.read_lag_ms() <= 2 * hops + 2 for each in links)
        fleet.datagrams.delay_ms = 100
        await fleet.clock.async_sleep(3_000)
        lags = [each.read_lag_ms() for each in links]
        assert all(200 <= lag <= 200 * hops + 2 * hops for lag in lags)
        assert max(lags) >= 190 * hops

    run_fleet(scenario)

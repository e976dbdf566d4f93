"""Quotas while daemons know late, or not at all, what the others have admitted."""

from functools import partial

import pytest

from standins.measure.quota_faults import (
    Event,
    Limit,
    async_delay,
    async_leave_out,
    async_lose,
    measure_event,
)


@pytest.mark.parametrize(
    ("limit", "event"),
    [
        (Limit(11, 30, 30), partial(async_delay, delay_ms=800)),
        (Limit(11, 20, 4), partial(async_delay, delay_ms=400)),
        (Limit(34, 30, 30), partial(async_delay, delay_ms=800)),
        (Limit(34, 30, 30), partial(async_lose, share=0.7)),
    ],
    ids=["mesh", "small-burst", "relays", "relays-loss"],
)
def test_late_counters_do_not_raise_a_limit(limit: Limit, event: Event) -> None:
    """Late reports were taken for fresh ones, each opening a new allowance: 1.5 times the limit."""
    assert measure_event(limit, event, seed=0).most_in_window <= limit.bound


@pytest.mark.parametrize(("times", "missing_ms"), [(1, 200), (6, 1_500)])
def test_customer_that_is_left_out_for_a_moment_gets_no_new_burst(
    times: int, missing_ms: int
) -> None:
    """A customer missing from one version of the catalogue returned with new initial tokens."""
    limit = Limit(34, 30, 30)
    event = partial(async_leave_out, times=times, missing_ms=missing_ms)
    assert measure_event(limit, event, seed=0).most_in_window <= limit.bound

"""Error budgets and multi-window burn rates."""

from typing import Final

from goldcreststair.components.configuration.models import Objective
from goldcreststair.components.service_level.history import CustomerHistory
from goldcreststair.components.service_level.models import Alarm, Burn, Counts, WindowBurn

MINUTE_S: Final = 60
HOUR_S: Final = 3600
DAY_S: Final = 24 * HOUR_S

BURN_WINDOWS_S: Final = (5 * MINUTE_S, HOUR_S, 6 * HOUR_S, 3 * DAY_S)

PAGE_RATE: Final = 14.4
"""Burn rate that spends 2% of a 30-day budget in one hour."""
TICKET_RATE: Final = 1.0
"""Burn rate that spends 10% of a 30-day budget in three days."""


def compute_rate(counts: Counts, target: float) -> float:
    """Return how many times faster than allowed the error budget is spent.

    >>> round(compute_rate(Counts(90, 100), 0.95), 6)
    2.0
    """
    if counts.total == 0:
        return 0.0
    return (1 - counts.good / counts.total) / (1 - target)


def choose_alarm(windows: tuple[WindowBurn, ...]) -> Alarm:
    """Return the alarm level; the short window of each pair ends an alarm soon after its cause."""
    rates = {window.window_s: window.rate for window in windows}
    if rates[HOUR_S] >= PAGE_RATE and rates[5 * MINUTE_S] >= PAGE_RATE:
        return Alarm.PAGE
    if rates[3 * DAY_S] >= TICKET_RATE and rates[6 * HOUR_S] >= TICKET_RATE:
        return Alarm.TICKET
    return Alarm.NONE


def compute_burn(customer: str, objective: Objective, history: CustomerHistory, utc_s: int) -> Burn:
    """Return a customer's error budget and burn rates for one of its objectives."""
    windows = tuple(
        WindowBurn(window_s, compute_rate(counts, objective.target), counts.total)
        for window_s in BURN_WINDOWS_S
        for counts in (history.sum_since(objective.name, utc_s, window_s),)
    )
    budget_counts = history.sum_since(objective.name, utc_s, objective.window_s)
    histogram = history.histogram
    return Burn(
        customer=customer,
        objective=objective.name,
        threshold_ms=objective.threshold_ms,
        target=objective.target,
        budget_left=1 - compute_rate(budget_counts, objective.target),
        windows=windows,
        alarm=choose_alarm(windows),
        p50_ms=int(histogram.get_value_at_percentile(50)),
        p95_ms=int(histogram.get_value_at_percentile(95)),
        p99_ms=int(histogram.get_value_at_percentile(99)),
    )

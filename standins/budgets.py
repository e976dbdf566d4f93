"""Budgets for the clients of daemons that run in one process."""

from typing import Final

from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.models import compute_limits
from goldcreststair.client_limits.reports import StatisticsReporter
from goldcreststair.clock import Clock
from goldcreststair.statistics import NullStatistics

MEMORY_MB: Final = 340


def make_budget(clock: Clock) -> ClientBudget:
    """Return the budget of a daemon with `MEMORY_MB`, without metrics."""
    return ClientBudget(clock, compute_limits(MEMORY_MB), StatisticsReporter(NullStatistics()))

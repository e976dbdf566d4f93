"""Retry budget: limits the repeated runs that this VM may cause."""

from typing import Final

BUDGET_FRACTION: Final = 0.2
"""Repeated runs that each request adds to the budget."""
BUDGET_CAPACITY: Final = 128.0
"""Repeated runs allowed at once, enough for the requests of one VM at one crashed upstream."""


class RetryBudget:
    """A token bucket that each request fills by a fraction and each repeated run empties by one.

    >>> budget = RetryBudget(fraction=0.5, capacity=1.0)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.record_request(); budget.record_request(); budget.try_spend()
    True
    """

    def __init__(
        self, fraction: float = BUDGET_FRACTION, capacity: float = BUDGET_CAPACITY
    ) -> None:
        """Initialise with a full bucket, so that a crash soon after the start can be recovered."""
        self._fraction = fraction
        self._capacity = capacity
        self._level = capacity

    def record_request(self) -> None:
        """Record one request, which adds to the budget."""
        self._level = min(self._capacity, self._level + self._fraction)

    @property
    def is_spent(self) -> bool:
        """Whether no repeated run is left."""
        return self._level < 1

    def try_spend(self) -> bool:
        """Spend one repeated run; returns False if none is left."""
        if self.is_spent:
            return False
        self._level -= 1
        return True

"""How many repeated runs this VM may cause."""

from typing import Final

BUDGET_FRACTION: Final = 0.2
"""Repeated runs earned by each request."""
BUDGET_CAPACITY: Final = 128.0
"""Repeated runs that may come at once: the requests of one VM at one crashed upstream."""


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
        """Start full, so that a crash soon after a start is recovered from."""
        self._fraction = fraction
        self._capacity = capacity
        self._level = capacity

    def record_request(self) -> None:
        """Count one request."""
        self._level = min(self._capacity, self._level + self._fraction)

    @property
    def is_spent(self) -> bool:
        """Whether no repeated run is left."""
        return self._level < 1

    def try_spend(self) -> bool:
        """Spend one repeated run if there is one."""
        if self.is_spent:
            return False
        self._level -= 1
        return True

"""Policies that the batch measurement compares."""

from collections.abc import Callable

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.batch.allowance import AllowanceController, AllowanceParameters
from standins.engine.model import EngineModel
from standins.measure.batch_online import is_burst

MakePolicy = Callable[[Clock, EngineModel], AllowanceController]


class FixedAllowance(AllowanceController):
    """Fixed limit that neither rises nor is reduced for online requests."""

    def __init__(self, clock: Clock, share: int) -> None:
        """Allow `share` streams."""
        super().__init__(clock, AllowanceParameters())
        self._share = share

    @property
    def limit(self) -> int:
        """The share."""
        return self._share

    @property
    def bound(self) -> int:
        """The share."""
        return self._share


class Oracle(AllowanceController):
    """Policy that knows the bursts in advance and every online request in the engine at once."""

    def __init__(self, clock: Clock, engine: EngineModel, burst_share: int, reserve: int) -> None:
        """Allow `burst_share` streams in bursts, else all free slots except `reserve`."""
        super().__init__(clock, AllowanceParameters())
        self._engine = engine
        self._burst_share = burst_share
        self._reserve = reserve
        self.start: Millis | None = None

    @property
    def limit(self) -> int:
        """Slots not used online, at most the share of a burst."""
        held = [*self._engine._running, *self._engine._queue]
        online = sum(1 for one in held if one.request_id.startswith("online-"))
        free = max(0, self._engine.parameters.max_running - online - self._reserve)
        now = self._clock.now()
        if self.start is not None and is_burst(now - self.start):
            return min(free, self._burst_share)
        return free

    @property
    def bound(self) -> int:
        """The same as `limit`."""
        return self.limit


def make_adaptive(clock: Clock, _: EngineModel) -> AllowanceController:
    """Return the policy of the daemon."""
    return AllowanceController(clock, AllowanceParameters())


POLICIES: dict[str, MakePolicy | None] = {
    "no batch": None,
    "no yielding": lambda clock, _: FixedAllowance(clock, 64),
    "fixed share 16": lambda clock, _: FixedAllowance(clock, 16),
    "oracle": lambda clock, engine: Oracle(clock, engine, 6, 6),
    "allowance": make_adaptive,
}

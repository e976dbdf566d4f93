"""What the batch measurement watches at its one engine."""

from dataclasses import dataclass

from goldcreststair.clock import Millis
from goldcreststair.components.batch.dispatcher import UpstreamDispatcher
from standins.engine.models import Generation
from standins.measure.batch_online import BURST_EVERY_S, BURST_S, is_burst
from tests.helpers.batch_fleet import BatchFleet


@dataclass(slots=True)
class Shares:
    """Milliseconds and batch tokens, in bursts and out of them."""

    burst_ms: int = 0
    idle_ms: int = 0
    burst_tokens: int = 0
    idle_tokens: int = 0
    batch_ms: int = 0
    """Sum over time of running batch streams, in stream milliseconds out of bursts."""


class EngineWatch:
    """Counts batch tokens and repeated prefill, and times each burst's yield."""

    def __init__(self, fleet: BatchFleet) -> None:
        """Hook into the engine."""
        self._fleet = fleet
        self._engine = fleet.engines["e1"]
        self._prefill = self._engine._prefill
        self._engine._prefill = self._count_prefill  # type: ignore[method-assign]
        self._produce = self._engine._produce
        self._engine._produce = self._count_tokens  # type: ignore[method-assign]
        self._tokens = 0
        self._admitted: set[str] = set()
        self._counting = False
        self.repeated_tokens = 0
        self.repeats = 0
        self.shares = Shares()
        self.delays_ms: list[int] = []

    async def async_run(self, start: Millis) -> None:
        """Poll each millisecond until cancelled."""
        clock = self._fleet.clock
        self._counting = True
        seen, cut, previous = -1, False, 0
        held = self._tokens
        while True:
            await clock.async_sleep(1)
            elapsed = clock.now() - start
            self._add(is_burst(elapsed), self._tokens - held)
            held = self._tokens
            burst, phase = divmod(elapsed, BURST_EVERY_S * 1000)
            into = phase - (BURST_EVERY_S - BURST_S) * 1000
            bound = sum(steward.allowance.bound for steward in self._list_stewards())
            if into < 0 or burst == seen:
                cut, previous = False, bound
                continue
            cut = cut or bound < previous * 2 // 3
            previous = bound
            if cut and len(self._list_running()) <= bound:
                self.delays_ms.append(into)
                seen = burst

    def _add(self, burst: bool, tokens: int) -> None:
        shares = self.shares
        if burst:
            shares.burst_ms += 1
            shares.burst_tokens += tokens
        else:
            shares.idle_ms += 1
            shares.idle_tokens += tokens
            shares.batch_ms += len(self._list_running())

    def _list_running(self) -> list[Generation]:
        running = self._engine._running
        return [one for one in running if one.request_id.startswith("batch-")]

    def _count_tokens(self) -> None:
        self._tokens += len(self._list_running())
        self._produce()

    def _count_prefill(self, generation: Generation) -> int:
        missing = self._prefill(generation)
        if generation.request_id.startswith("batch-"):
            if generation.request_id in self._admitted and self._counting:
                self.repeats += 1
                self.repeated_tokens += missing
            self._admitted.add(generation.request_id)
        return missing

    def _list_stewards(self) -> list[UpstreamDispatcher]:
        services = self._fleet.services.values()
        return [
            steward
            for service in services
            for name, steward in service.dispatchers.by_name.items()
            if name == "e1"
        ]

"""Runs a steward for each engine whose partition this VM owns."""

import asyncio
import logging

from goldcreststair.components.batch.dispatchers import make_upstream_key
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.orders.const import (
    CHECK_INTERVAL_MS,
    DEFAULT_FLEET_WEIGHT_BYTES_PER_S,
)
from goldcreststair.components.orders.controller import WeightBudget
from goldcreststair.components.orders.reconciler import EngineReconciler
from goldcreststair.core import Core
from goldcreststair.upstreams.models import Upstream, UpstreamKind

_LOGGER = logging.getLogger(__name__)


class OrderService:
    """Checks each engine about once a second; checks of different engines do not wait."""

    def __init__(
        self, core: Core, fleet_weight_bytes_per_s: int = DEFAULT_FLEET_WEIGHT_BYTES_PER_S
    ) -> None:
        """Use the ledger set up before."""
        self._core = core
        self._ledger = core.get(LEDGER)
        self._budget = WeightBudget(fleet_weight_bytes_per_s)
        self._stewards: dict[str, EngineReconciler] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._ticking: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Begin to check."""
        self._ticking = asyncio.create_task(self._async_tick())

    async def async_close(self) -> None:
        """Give no more orders; one under way may still take effect."""
        tasks = [*self._checks.values(), *([self._ticking] if self._ticking else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._checks.clear()
        self._ticking = None

    async def _async_tick(self) -> None:
        while True:
            jitter = self._core.random.uniform(0.9, 1.1)
            await self._core.clock.async_sleep(int(CHECK_INTERVAL_MS * jitter))
            try:
                self._follow()
                self._check()
            except Exception:
                # One malformed record must not end the care for all engines.
                _LOGGER.exception("Checking engines failed")

    def _follow(self) -> None:
        """Keep one steward for each engine of ours, a new one for each epoch."""
        configuration = self._core.blackboard.read(CONFIGURATION)
        leaving = configuration.leaving_upstreams
        ours: dict[str, EngineReconciler] = {}
        for name, upstream in configuration.upstreams.items():
            if upstream.kind is UpstreamKind.ENGINE and name not in leaving:
                steward = self._find_steward(upstream)
                if steward is not None:
                    ours[name] = steward
        for name in self._stewards.keys() - ours.keys():
            self._stop(name)
        self._stewards = ours

    def _find_steward(self, upstream: Upstream) -> EngineReconciler | None:
        partition = self._ledger.get_owned(
            self._ledger.find_index(make_upstream_key(upstream.name))
        )
        if partition is None:
            return None
        steward = self._stewards.get(upstream.name)
        if steward is not None and steward.partition.epoch == partition.epoch:
            same_engine = steward.upstream.address == upstream.address
            if same_engine and steward.upstream.checks_fencing == upstream.checks_fencing:
                steward.upstream = upstream
                return steward
        self._stop(upstream.name)
        return EngineReconciler(self._core, self._budget, upstream, partition)

    def _stop(self, name: str) -> None:
        check = self._checks.pop(name, None)
        if check is not None:
            check.cancel()

    def _check(self) -> None:
        for name, steward in self._stewards.items():
            # A load takes long; until it is answered its engine is not ordered again.
            if name not in self._checks or self._checks[name].done():
                self._checks[name] = asyncio.create_task(self._async_check(steward))

    async def _async_check(self, steward: EngineReconciler) -> None:
        try:
            await steward.async_check()
        except Exception:
            _LOGGER.exception("Check of %s failed", steward.upstream.name)

"""Runs a reconciler for each engine whose partition this VM owns."""

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
    """Checks each owned engine about once a second, different engines concurrently."""

    def __init__(
        self, core: Core, fleet_weight_bytes_per_s: int = DEFAULT_FLEET_WEIGHT_BYTES_PER_S
    ) -> None:
        """Create without reconcilers; needs the ledger to be set up."""
        self._core = core
        self._ledger = core.get(LEDGER)
        self._budget = WeightBudget(fleet_weight_bytes_per_s)
        self._reconcilers: dict[str, EngineReconciler] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._tick_task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start the periodic checks."""
        self._tick_task = asyncio.create_task(self._async_tick())

    async def async_close(self) -> None:
        """Stop sending orders; one in flight may still take effect."""
        tasks = [*self._checks.values(), *([self._tick_task] if self._tick_task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._checks.clear()
        self._tick_task = None

    async def _async_tick(self) -> None:
        while True:
            jitter = self._core.random.uniform(0.9, 1.1)
            await self._core.clock.async_sleep(int(CHECK_INTERVAL_MS * jitter))
            try:
                self._update_reconcilers()
                self._start_checks()
            except Exception:
                # One malformed record must not stop the checks of all engines.
                _LOGGER.exception("Failed to check engines")

    def _update_reconcilers(self) -> None:
        """Keep one reconciler for each owned engine, a new one for each epoch."""
        configuration = self._core.blackboard.read(CONFIGURATION)
        leaving = configuration.leaving_upstreams
        owned: dict[str, EngineReconciler] = {}
        for name, upstream in configuration.upstreams.items():
            if upstream.kind is UpstreamKind.ENGINE and name not in leaving:
                reconciler = self._find_reconciler(upstream)
                if reconciler is not None:
                    owned[name] = reconciler
        for name in self._reconcilers.keys() - owned.keys():
            self._cancel_check(name)
        self._reconcilers = owned

    def _find_reconciler(self, upstream: Upstream) -> EngineReconciler | None:
        partition = self._ledger.get_owned(
            self._ledger.find_index(make_upstream_key(upstream.name))
        )
        if partition is None:
            return None
        reconciler = self._reconcilers.get(upstream.name)
        if reconciler is not None and reconciler.partition.epoch == partition.epoch:
            same_engine = reconciler.upstream.address == upstream.address
            if same_engine and reconciler.upstream.checks_fencing == upstream.checks_fencing:
                reconciler.upstream = upstream
                return reconciler
        self._cancel_check(upstream.name)
        return EngineReconciler(self._core, self._budget, upstream, partition)

    def _cancel_check(self, name: str) -> None:
        check = self._checks.pop(name, None)
        if check is not None:
            check.cancel()

    def _start_checks(self) -> None:
        for name, reconciler in self._reconcilers.items():
            # A load takes long; its engine is not checked again until the load is answered.
            if name not in self._checks or self._checks[name].done():
                self._checks[name] = asyncio.create_task(self._async_check(reconciler))

    async def _async_check(self, reconciler: EngineReconciler) -> None:
        try:
            await reconciler.async_check()
        except Exception:
            _LOGGER.exception("Failed to check engine %s", reconciler.upstream.name)

"""Brings one engine to its desired state, one order at a time."""

import logging

from result import Err, Ok

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.ledger.protocols import Partition
from goldcreststair.components.membership.models import MEMBERS
from goldcreststair.components.orders.const import FRESH_OWNERSHIP_MS, RETRY_CAP_MS
from goldcreststair.components.orders.controller import (
    WeightBudget,
    begin_progress,
    choose_step,
    record_failure,
    record_success,
)
from goldcreststair.components.orders.desired import (
    make_desired_state,
    make_fencing,
    read_reported_state,
)
from goldcreststair.components.orders.models import Action, Step
from goldcreststair.components.orders.unloading import UnloadDelays
from goldcreststair.core import Core
from goldcreststair.journal import Subject
from goldcreststair.store.errors import ObjectMissing
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.models import LoadReport, Order, Upstream

_LOGGER = logging.getLogger(__name__)

UNLOADS = (Action.UNLOAD_MODEL, Action.UNLOAD_ADAPTER)


class EngineReconciler:
    """Sends the orders of one owner, in one epoch, to one engine."""

    def __init__(
        self, core: Core, budget: WeightBudget, upstream: Upstream, partition: Partition
    ) -> None:
        """Create for an engine whose partition this VM owns."""
        self.upstream = upstream
        self.partition = partition
        self._core = core
        self._budget = budget
        self._progress = begin_progress(core.clock.now(), checks_fencing=upstream.checks_fencing)
        self._unload_delays = UnloadDelays()
        self._fenced_at: Millis | None = None
        self._on_hold_until: dict[str, Millis] = {}
        self._orders = 0

    async def async_check(self) -> None:
        """Compare the reported with the desired state and send at most one order."""
        if self._core.clock.now() < self._progress.wait_until or not self._may_order():
            return
        loaded = await self._core.upstreams.engines.async_read_load(self.upstream)
        if isinstance(loaded, Err):
            return
        step = self._choose(loaded.ok_value)
        if step is None or (step.loads_weights and not await self._async_reserve_weights(step)):
            return
        # The partition may have moved to another VM during the reads above.
        if self._may_order():
            await self._async_order(step)

    def _may_order(self) -> bool:
        confirmed_at = self.partition.confirmed_at
        # "Fenced" means that there is or was a newer owner. Ownership must then be confirmed by a
        # store call that began later, or two owners would undo each other's orders.
        if self._fenced_at is not None and confirmed_at <= self._fenced_at:
            return False
        if self.upstream.checks_fencing:
            return True
        # A process paused during a change of owner resumes and orders an older state. An engine
        # that ignores fencing accepts that, so ownership must have been confirmed recently.
        return self._core.clock.now() - confirmed_at <= FRESH_OWNERSHIP_MS

    def _choose(self, report: LoadReport) -> Step | None:
        configuration = self._core.blackboard.read(CONFIGURATION)
        desired = make_desired_state(configuration, self.upstream)
        reported = read_reported_state(report)
        now = self._core.clock.now()
        undesired = (reported.models - desired.models) | (reported.adapters - desired.adapters)
        self._unload_delays.observe(undesired, now)
        on_hold = {target for target, until in self._on_hold_until.items() if now < until}
        step = choose_step(desired, reported, on_hold)
        if step is None or step.action not in UNLOADS:
            return step
        in_use = frozenset(report.in_use)
        unloadable = sorted(
            name for name in undesired if self._unload_delays.may_unload(name, in_use, now)
        )
        if not unloadable:
            return None
        is_model = unloadable[0] in reported.models
        return Step(Action.UNLOAD_MODEL if is_model else Action.UNLOAD_ADAPTER, unloadable[0])

    async def _async_reserve_weights(self, step: Step) -> bool:
        described = await self._core.platform.weights.async_describe(step.target)
        now = self._core.clock.now()
        if isinstance(described, Err):
            missing = isinstance(described.err_value, ObjectMissing)
            reason = "weights not found" if missing else "weight store is unavailable"
            # One mistyped model must not block all other orders to its engine.
            self._on_hold_until[step.target] = Millis(now + RETRY_CAP_MS)
            self._record("hold", f"{reason}: {described.err_value.message}", step)
            return False
        members = len(self._core.blackboard.read(MEMBERS).by_session)
        return self._budget.try_reserve(described.ok_value, members, now)

    async def _async_order(self, step: Step) -> None:
        self._orders += 1
        epoch = self.partition.epoch
        order = Order(
            order_id=f"{self._core.session_id}-{self.upstream.name}-{epoch}-{self._orders}",
            fencing=make_fencing(self._core.settings.partitions, epoch),
            action=step.action,
            target=step.target,
            value=step.value,
        )
        self._record(
            "order",
            "the reported state differs from the configuration",
            step,
            fencing=order.fencing,
        )
        sent = await self._core.upstreams.engines.async_send_order(self.upstream, order)
        now = self._core.clock.now()
        if isinstance(sent, Ok):
            self._progress = record_success(self._progress, now)
            return
        self._handle_error(sent.err_value, step, now)

    def _handle_error(self, error: UpstreamError, step: Step, now: Millis) -> None:
        # An unknown outcome needs no special handling: orders are idempotent, and the next load
        # report that can show the effect is compared again.
        fenced = error.failure is UpstreamFailure.FENCED
        unknown = not (fenced or error.not_run or error.failure is UpstreamFailure.REJECTED)
        if fenced:
            self._fenced_at = now
        self._record("fenced" if fenced else "order failed", error.message, step, unknown=unknown)
        self._progress = record_failure(self._progress, now, maybe_running=unknown)

    def _record(self, choice: str, reason: str, step: Step, **details: str | int | bool) -> None:
        _LOGGER.info(
            "%s for engine %s: %s %s", choice, self.upstream.name, step.action, step.target
        )
        self._core.journal.record(
            Subject.UPSTREAM,
            self.upstream.name,
            choice,
            reason,
            action=step.action,
            target=step.target,
            value=step.value,
            epoch=self.partition.epoch,
            **details,
        )

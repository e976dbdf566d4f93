"""Brings one engine to what is wanted of it, one order at a time."""

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
    """The orders of one owner, in one epoch, to one engine."""

    def __init__(
        self, core: Core, budget: WeightBudget, upstream: Upstream, partition: Partition
    ) -> None:
        """Take over an engine."""
        self.upstream = upstream
        self.partition = partition
        self._core = core
        self._budget = budget
        self._progress = begin_progress(core.clock.now(), checks_fencing=upstream.checks_fencing)
        self._unloads = UnloadDelays()
        self._fenced_at: Millis | None = None
        self._held_until: dict[str, Millis] = {}
        self._orders = 0

    async def async_check(self) -> None:
        """Compare the engine with what is wanted and give at most one order."""
        if self._core.clock.now() < self._progress.wait_until or not self._may_order():
            return
        read = await self._core.upstreams.engines.async_read_load(self.upstream)
        if isinstance(read, Err):
            return
        step = self._choose(read.ok_value)
        if step is None or (step.loads_weights and not await self._async_take_weights(step)):
            return
        # The reads above took time in which the partition may have gone to another VM.
        if self._may_order():
            await self._async_order(step)

    def _may_order(self) -> bool:
        confirmed_at = self.partition.confirmed_at
        # After "fenced" there is a newer steward, or was one: ownership counts only as shown by
        # a store call that began later. Otherwise two stewards would undo each other's work.
        if self._fenced_at is not None and confirmed_at <= self._fenced_at:
            return False
        if self.upstream.checks_fencing:
            return True
        # A steward that was paused past a change of owner wakes up and orders an older state. An
        # engine that ignores fencing obeys, so ownership must have been shown of late.
        return self._core.clock.now() - confirmed_at <= FRESH_OWNERSHIP_MS

    def _choose(self, report: LoadReport) -> Step | None:
        configuration = self._core.blackboard.read(CONFIGURATION)
        wanted = make_desired_state(configuration, self.upstream)
        reported = read_reported_state(report)
        now = self._core.clock.now()
        unwanted = (reported.models - wanted.models) | (reported.adapters - wanted.adapters)
        self._unloads.observe(unwanted, now)
        held = {target for target, until in self._held_until.items() if now < until}
        step = choose_step(wanted, reported, held)
        if step is None or step.action not in UNLOADS:
            return step
        in_use = frozenset(report.in_use)
        free = sorted(name for name in unwanted if self._unloads.may_unload(name, in_use, now))
        if not free:
            return None
        is_model = free[0] in reported.models
        return Step(Action.UNLOAD_MODEL if is_model else Action.UNLOAD_ADAPTER, free[0])

    async def _async_take_weights(self, step: Step) -> bool:
        described = await self._core.platform.weights.async_describe(step.target)
        now = self._core.clock.now()
        if isinstance(described, Err):
            missing = isinstance(described.err_value, ObjectMissing)
            reason = "no such weights" if missing else "weight store does not answer"
            # One mistyped model must not keep all other orders from its engine.
            self._held_until[step.target] = Millis(now + RETRY_CAP_MS)
            self._record("hold", f"{reason}: {described.err_value.message}", step)
            return False
        members = len(self._core.blackboard.read(MEMBERS).by_session)
        return self._budget.try_take(described.ok_value, members, now)

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
        self._record("order", "differs from the configuration", step, fencing=order.fencing)
        sent = await self._core.upstreams.engines.async_send_order(self.upstream, order)
        now = self._core.clock.now()
        if isinstance(sent, Ok):
            self._progress = record_success(self._progress, now)
            return
        self._take_error(sent.err_value, step, now)

    def _take_error(self, error: UpstreamError, step: Step, now: Millis) -> None:
        # An order whose outcome is unknown is no case of its own: orders are idempotent, and the
        # next report that can show its effect is compared again.
        fenced = error.failure is UpstreamFailure.FENCED
        unknown = not (fenced or error.not_run or error.failure is UpstreamFailure.REJECTED)
        if fenced:
            self._fenced_at = now
        self._record("fenced" if fenced else "order failed", error.message, step, unknown=unknown)
        self._progress = record_failure(self._progress, now, maybe_running=unknown)

    def _record(self, choice: str, reason: str, step: Step, **seen: str | int | bool) -> None:
        _LOGGER.info("%s of %s: %s %s", choice, self.upstream.name, step.action, step.target)
        self._core.journal.record(
            Subject.UPSTREAM,
            self.upstream.name,
            choice,
            reason,
            action=step.action,
            target=step.target,
            value=step.value,
            epoch=self.partition.epoch,
            **seen,
        )

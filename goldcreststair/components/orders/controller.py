"""Decides the next order to an engine from its desired and its reported state; no I/O."""

import dataclasses
from collections.abc import Iterator, Set

from goldcreststair.clock import Millis
from goldcreststair.components.orders import const
from goldcreststair.components.orders.models import Action, EngineState, Progress, Step


def begin_progress(now: Millis, *, checks_fencing: bool) -> Progress:
    """Return the progress of a new reconciler.

    An engine that ignores fencing numbers still carries out orders in flight from the previous
    owner, so it could go back to an older state after an order of the new one. Waiting for
    `LONGEST_ORDER_MS` leaves no order in flight.
    """
    wait_ms = 0 if checks_fencing else const.LONGEST_ORDER_MS
    return Progress(now, Millis(now + wait_ms))


def choose_step(
    desired: EngineState, reported: EngineState, on_hold: Set[str] = frozenset()
) -> Step | None:
    """Return the order for the next difference, or None if there is nothing to order now.

    Loads come before unloads, so that a model being replaced is served throughout. Targets in
    `on_hold` are skipped, but nothing is unloaded while one of them still has to be loaded.
    """
    loads = list(_list_loads(desired, reported))
    allowed = [step for step in loads if step.target not in on_hold]
    if allowed or loads:
        return allowed[0] if allowed else None
    return next(_list_unloads(desired, reported), None)


def _list_loads(desired: EngineState, reported: EngineState) -> Iterator[Step]:
    if desired.role and desired.role != reported.role:
        yield Step(Action.SET_ROLE, "role", desired.role)
    for model in sorted(desired.models - reported.models):
        yield Step(Action.LOAD_MODEL, model, desired.versions.get(model, ""))
    for model, version in sorted(desired.versions.items()):
        if model in desired.models & reported.models and reported.versions.get(model) != version:
            yield Step(Action.SET_VERSION, model, version)
    for adapter in sorted(desired.adapters - reported.adapters):
        yield Step(Action.LOAD_ADAPTER, adapter)


def _list_unloads(desired: EngineState, reported: EngineState) -> Iterator[Step]:
    for adapter in sorted(reported.adapters - desired.adapters):
        yield Step(Action.UNLOAD_ADAPTER, adapter)
    for model in sorted(reported.models - desired.models):
        yield Step(Action.UNLOAD_MODEL, model)


def record_success(progress: Progress, now: Millis) -> Progress:
    """Return the progress after an order that the engine acknowledged."""
    return dataclasses.replace(
        progress, wait_until=Millis(now + const.REPORT_SETTLE_MS), failures=0
    )


def record_failure(progress: Progress, now: Millis, *, maybe_running: bool) -> Progress:
    """Return the progress after a failed order; `maybe_running` if it may still take effect."""
    backoff_ms = min(const.RETRY_BASE_MS * 2**progress.failures, const.RETRY_CAP_MS)
    if maybe_running:
        backoff_ms = max(backoff_ms, const.REPORT_SETTLE_MS)
    return dataclasses.replace(
        progress, wait_until=Millis(now + backoff_ms), failures=progress.failures + 1
    )


class WeightBudget:
    """This VM's share of the weight store's rate.

    A load may start once the share has covered the bytes of the load before it.
    """

    def __init__(self, fleet_bytes_per_s: int) -> None:
        """Create a budget from the rate of the whole fleet."""
        self._fleet_bytes_per_s = fleet_bytes_per_s
        self._free_at = Millis(0)

    def try_reserve(self, size: int, members: int, now: Millis) -> bool:
        """Reserve `size` bytes if the share allows it now; `members` VMs share the rate."""
        if now < self._free_at:
            return False
        share = self._fleet_bytes_per_s / max(1, members)
        self._free_at = Millis(now + int(size / share * 1000))
        return True

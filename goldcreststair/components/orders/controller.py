"""Decides the next order to an engine from what is wanted and what it reports."""

import dataclasses
from collections.abc import Iterator, Set

from goldcreststair.clock import Millis
from goldcreststair.components.orders import const
from goldcreststair.components.orders.models import Action, EngineState, Progress, Step


def begin_progress(now: Millis, *, checks_fencing: bool) -> Progress:
    """Return the progress of a new steward.

    An engine that ignores fencing numbers would still carry out an order of the last steward that
    is under way: it shows as the engine going back to an older state after this steward's order.
    Waiting out the longest order leaves nothing under way.
    """
    wait_ms = 0 if checks_fencing else const.LONGEST_ORDER_MS
    return Progress(now, Millis(now + wait_ms))


def choose_step(
    wanted: EngineState, reported: EngineState, held: Set[str] = frozenset()
) -> Step | None:
    """Return the one difference to mend next, or None if there is none.

    Loads come before unloads, so that a model being replaced is served throughout. A target in
    `held` is passed over, but nothing is unloaded while one of them is still to be loaded.
    """
    mending = list(_list_loads(wanted, reported))
    free = [step for step in mending if step.target not in held]
    if free or mending:
        return free[0] if free else None
    return next(_list_unloads(wanted, reported), None)


def _list_loads(wanted: EngineState, reported: EngineState) -> Iterator[Step]:
    if wanted.role and wanted.role != reported.role:
        yield Step(Action.SET_ROLE, "role", wanted.role)
    for model in sorted(wanted.models - reported.models):
        yield Step(Action.LOAD_MODEL, model, wanted.versions.get(model, ""))
    for model, version in sorted(wanted.versions.items()):
        if model in wanted.models & reported.models and reported.versions.get(model) != version:
            yield Step(Action.SET_VERSION, model, version)
    for adapter in sorted(wanted.adapters - reported.adapters):
        yield Step(Action.LOAD_ADAPTER, adapter)


def _list_unloads(wanted: EngineState, reported: EngineState) -> Iterator[Step]:
    for adapter in sorted(reported.adapters - wanted.adapters):
        yield Step(Action.UNLOAD_ADAPTER, adapter)
    for model in sorted(reported.models - wanted.models):
        yield Step(Action.UNLOAD_MODEL, model)


def record_success(progress: Progress, now: Millis) -> Progress:
    """Return the progress after an order that the engine carried out."""
    return dataclasses.replace(
        progress, wait_until=Millis(now + const.REPORT_SETTLE_MS), failures=0
    )


def record_failure(progress: Progress, now: Millis, *, maybe_running: bool) -> Progress:
    """Return the progress after an order that failed; its effect may still come."""
    backoff_ms = min(const.RETRY_BASE_MS * 2**progress.failures, const.RETRY_CAP_MS)
    if maybe_running:
        backoff_ms = max(backoff_ms, const.REPORT_SETTLE_MS)
    return dataclasses.replace(
        progress, wait_until=Millis(now + backoff_ms), failures=progress.failures + 1
    )


class WeightBudget:
    """This VM's share of the weight store's rate: a load may begin when the last is paid for."""

    def __init__(self, fleet_bytes_per_s: int) -> None:
        """Take the rate of the whole fleet."""
        self._fleet_bytes_per_s = fleet_bytes_per_s
        self._free_at = Millis(0)

    def try_take(self, size: int, members: int, now: Millis) -> bool:
        """Take `size` bytes if the share allows it now; `members` VMs share the rate."""
        if now < self._free_at:
            return False
        share = self._fleet_bytes_per_s / max(1, members)
        self._free_at = Millis(now + int(size / share * 1000))
        return True

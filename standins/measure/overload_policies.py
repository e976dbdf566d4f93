"""Policies that the overload measurement compares: real daemons with mechanisms disabled."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from types import ModuleType
from typing import Any, Final

from goldcreststair.components.forwarding import silence_detector
from goldcreststair.components.jobs import (
    checkpoints,
    execution,
    handover,
    registry,
    runner,
    sweeping,
)
from goldcreststair.components.placement import admission, batch_slots

QUEUED_ITEMS: Final = 8
"""Items that may wait at each engine for a slot when they queue like requests."""


@dataclass(frozen=True, slots=True)
class Switch:
    """One mechanism, and the value of its constant or function that disables it."""

    name: str
    owner: ModuleType | type
    attribute: str
    off: Any


SWITCHES: Final = (
    Switch("progress saved", checkpoints, "CHECKPOINT_MS", 10**9),
    Switch("jobs handed over with their runs", handover, "HANDOVER_GRACE_MS", 10**9),
    Switch("jobs taken over soon", sweeping, "SWEEP_SOON_MS", 1_490),
    Switch("late items last", execution, "LATE_FREE_SHARE", -1.0),
    Switch("batch stays out of bursts", batch_slots, "BATCH_FREE_SHARE", 0.0),
    Switch("slots kept from batch", batch_slots, "BATCH_RESERVE", 0),
    Switch("pause after giving way", batch_slots, "BATCH_HOLD_MS", 0),
    Switch("late callers sent away", admission, "FIRST_ATTEMPT_SHARE", 2.0),
)


def rank_by_arrival(ranked: registry.RankedItem) -> tuple[int, int]:
    """Rank an item by the arrival of its job; valid as all jobs have the same time limit."""
    return ranked.job.due_at, ranked.item.number


def count_none_to_preempt(_: batch_slots.BatchSlots, name: str, session: str) -> int:
    """Preempt no run."""
    return 0


def choose_no_daemon(_: batch_slots.BatchSlots, name: str) -> None:
    """Choose no daemon to preempt."""


def ignore_silence(
    _: silence_detector.SilenceDetector, silence: silence_detector.SilenceVerdict
) -> silence_detector.SilenceVerdict:
    """Treat no wait as silence: when everything queues, waits exceed any silence limit."""
    return silence_detector.SilenceVerdict.NONE


def ignore_item_silence(sink: runner.ItemSink, now: int, counted_from: int) -> bool:
    """Treat no wait of an item as silence."""
    return False


FIRST_COME: Final = (
    Switch("late items last", execution, "LATE_FREE_SHARE", -1.0),
    Switch("order of items", registry, "_rank", rank_by_arrival),
    Switch("batch stays out of bursts", batch_slots, "BATCH_FREE_SHARE", 0.0),
    Switch("slots kept from batch", batch_slots, "BATCH_RESERVE", -QUEUED_ITEMS),
    Switch("giving way", batch_slots.BatchSlots, "count_runs_to_preempt", count_none_to_preempt),
    Switch(
        "giving way at once",
        batch_slots.BatchSlots,
        "choose_daemon_to_preempt",
        choose_no_daemon,
    ),
    Switch("late callers sent away", admission, "FIRST_ATTEMPT_SHARE", 2.0),
    Switch(
        "leaving silent requests",
        silence_detector.SilenceDetector,
        "_require_alternative",
        ignore_silence,
    ),
    Switch("leaving silent items", runner, "_is_silent", ignore_item_silence),
)
"""Requests and items queue at the engines, first come, first served, without preemption."""


@dataclass(frozen=True, slots=True)
class Policy:
    """A set of mechanisms that are disabled in a run."""

    name: str
    off: tuple[Switch, ...] = ()
    features: str = ""
    """Optional features that are active, as in the daemons' settings."""


ALL_MECHANISMS: Final = Policy("all mechanisms")
POLICIES: Final = (
    ALL_MECHANISMS,
    *(Policy(f"without: {switch.name}", (switch,)) for switch in SWITCHES),
    Policy("first come, first served", FIRST_COME),
)


@contextmanager
def apply_policy(policy: Policy) -> Iterator[None]:
    """Disable the mechanisms of a policy, and restore them on exit."""
    with ExitStack() as stack:
        for switch in policy.off:
            before = getattr(switch.owner, switch.attribute)
            stack.callback(setattr, switch.owner, switch.attribute, before)
            setattr(switch.owner, switch.attribute, switch.off)
        yield

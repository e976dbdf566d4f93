"""The policies that the measure of overloads compares: real daemons with other settings."""

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
from goldcreststair.components.placement import admission, controller

QUEUED_ITEMS: Final = 8
"""Items that may wait at each engine for its slots, where they queue as requests do."""


@dataclass(frozen=True, slots=True)
class Switch:
    """One mechanism, and the value of its constant or function at which it does nothing."""

    name: str
    owner: ModuleType | type
    attribute: str
    off: Any


SWITCHES: Final = (
    Switch("progress saved", checkpoints, "CHECKPOINT_MS", 10**9),
    Switch("jobs handed over with their runs", handover, "HANDOVER_GRACE_MS", 10**9),
    Switch("jobs taken over soon", sweeping, "SWEEP_SOON_MS", 1_490),
    Switch("late items last", execution, "LATE_FREE_SHARE", -1.0),
    Switch("batch stays out of bursts", controller, "BATCH_FREE_SHARE", 0.0),
    Switch("slots kept from batch", controller, "BATCH_RESERVE", 0),
    Switch("pause after giving way", controller, "BATCH_HOLD_MS", 0),
    Switch("late callers sent away", admission, "FIRST_ATTEMPT_SHARE", 2.0),
)


def rank_by_arrival(ranked: registry.RankedItem) -> tuple[int, int]:
    """Rank an item by when its job came; all jobs have the same time."""
    return ranked.job.due_at, ranked.item.number


def yield_none(_: controller.PlacementController, name: str, session: str) -> int:
    """Let no run give way."""
    return 0


def choose_none(_: controller.PlacementController, name: str) -> None:
    """Let nobody give way."""


def hear_no_silence(
    _: silence_detector.SilenceDetector, silence: silence_detector.SilenceVerdict
) -> silence_detector.SilenceVerdict:
    """Take no wait for silence: where everything queues, many are longer than any silence."""
    return silence_detector.SilenceVerdict.NONE


def find_none_silent(sink: runner.ItemSink, now: int, counted_from: int) -> bool:
    """Take no wait of an item for silence."""
    return False


FIRST_COME: Final = (
    Switch("late items last", execution, "LATE_FREE_SHARE", -1.0),
    Switch("order of items", registry, "_rank", rank_by_arrival),
    Switch("batch stays out of bursts", controller, "BATCH_FREE_SHARE", 0.0),
    Switch("slots kept from batch", controller, "BATCH_RESERVE", -QUEUED_ITEMS),
    Switch("giving way", controller.PlacementController, "count_runs_to_preempt", yield_none),
    Switch(
        "giving way at once",
        controller.PlacementController,
        "choose_daemon_to_preempt",
        choose_none,
    ),
    Switch("late callers sent away", admission, "FIRST_ATTEMPT_SHARE", 2.0),
    Switch(
        "leaving silent requests",
        silence_detector.SilenceDetector,
        "_require_alternative",
        hear_no_silence,
    ),
    Switch("leaving silent items", runner, "_is_silent", find_none_silent),
)
"""Requests and items queue at the engines, first come, first served, and nothing gives way."""


@dataclass(frozen=True, slots=True)
class Policy:
    """A way to run the fleet: what is turned off."""

    name: str
    off: tuple[Switch, ...] = ()


WHOLE: Final = Policy("all mechanisms")
POLICIES: Final = (
    WHOLE,
    *(Policy(f"without: {switch.name}", (switch,)) for switch in SWITCHES),
    Policy("first come, first served", FIRST_COME),
)


@contextmanager
def play_by(policy: Policy) -> Iterator[None]:
    """Play by a policy."""
    with ExitStack() as stack:
        for switch in policy.off:
            before = getattr(switch.owner, switch.attribute)
            stack.callback(setattr, switch.owner, switch.attribute, before)
            setattr(switch.owner, switch.attribute, switch.off)
        yield

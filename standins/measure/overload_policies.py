"""The policies that the measure of overloads compares: real daemons with other settings."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from types import ModuleType
from typing import Any, Final

from goldcreststair.components.jobs import checkpoints, execution, handover, sweeping
from goldcreststair.components.placement import admission, controller


@dataclass(frozen=True, slots=True)
class Switch:
    """One mechanism, and the value of its constant or function at which it does nothing."""

    name: str
    owner: ModuleType | type
    attribute: str
    off: Any


SWITCHES: Final = (
    Switch("progress saved", checkpoints, "CHECKPOINT_MS", 10**9),
    Switch("jobs handed over with their runs", handover, "HAND_OVER_MS", 10**9),
    Switch("jobs taken over soon", sweeping, "SWEEP_SOON_MS", 1_490),
    Switch("late items last", execution, "LATE_FREE_SHARE", -1.0),
    Switch("batch stays out of bursts", controller, "BATCH_FREE_SHARE", 0.0),
    Switch("slots kept from batch", controller, "BATCH_RESERVE", 0),
    Switch("pause after giving way", controller, "BATCH_HOLD_MS", 0),
    Switch("late callers sent away", admission, "FRESH_SHARE", 2.0),
)


@dataclass(frozen=True, slots=True)
class Policy:
    """A way to run the fleet: what is turned off."""

    name: str
    off: tuple[Switch, ...] = ()


WHOLE: Final = Policy("all mechanisms")
POLICIES: Final = (
    WHOLE,
    *(Policy(f"without: {switch.name}", (switch,)) for switch in SWITCHES),
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

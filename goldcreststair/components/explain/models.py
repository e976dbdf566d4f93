"""Models of explanations."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Step:
    """One decision of one VM."""

    vm: str
    """Session id of the VM that decided."""
    at_utc_s: float
    """By that VM's own clock, so the order of steps of several VMs is approximate."""
    choice: str
    reason: str
    seen: Mapping[str, str | int | float | bool]


@dataclass(frozen=True, slots=True)
class Explanation:
    """All known steps, oldest first, and the session ids of VMs that did not respond."""

    steps: tuple[Step, ...]
    silent: tuple[str, ...]

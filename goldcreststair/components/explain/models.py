"""Explanations."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Step:
    """One decision of one VM."""

    vm: str
    """Session id of the VM that decided."""
    at_utc_s: float
    """By that VM's own clock, so steps of several VMs are in order only roughly."""
    choice: str
    reason: str
    seen: Mapping[str, str | int | float | bool]


@dataclass(frozen=True, slots=True)
class Explanation:
    """All steps known, oldest first, and the VMs that did not answer."""

    steps: tuple[Step, ...]
    silent: tuple[str, ...]

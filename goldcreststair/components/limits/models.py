"""Lots of lent tokens, what is said of them, and what a home hands over."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LotReport:
    """What became of a lot so far; `finished` promises that no more of it will be spent."""

    number: int
    spent: int
    finished: bool


@dataclass(frozen=True, slots=True)
class HeldLot:
    """A lot as the old home hands it to the new one."""

    session_id: str
    number: int
    amount: int
    spent: int
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class HeldBucket:
    """A home bucket as it is handed over."""

    level: float
    lots: tuple[HeldLot, ...]


@dataclass(frozen=True, slots=True)
class Allowance:
    """A rate and a burst."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class HomeAnswer:
    """What a home gives; `retry_after_ms` counts when it is short."""

    granted: int
    retry_after_ms: int = 0

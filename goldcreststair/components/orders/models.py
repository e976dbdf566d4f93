"""Desired and reported states of engines, and orders to them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from goldcreststair.clock import Millis


class Action(StrEnum):
    """Action of an order to an engine; each is idempotent."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine serves, either desired or reported."""

    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    versions: Mapping[str, str] = field(default_factory=dict)
    """Version by model; a model without an entry may have any version."""
    role: str = ""
    """Empty if any role will do."""


@dataclass(frozen=True, slots=True)
class Step:
    """One order to send."""

    action: Action
    target: str
    value: str = ""

    @property
    def loads_weights(self) -> bool:
        """Whether the engine will read from the weight store."""
        return self.action in (Action.LOAD_MODEL, Action.LOAD_ADAPTER, Action.SET_VERSION)


@dataclass(frozen=True, slots=True)
class Progress:
    """Retry state of a reconciler for its engine."""

    gained_at: Millis
    """When this VM became the engine's owner."""
    wait_until: Millis
    """No order is sent before this time."""
    failures: int = 0

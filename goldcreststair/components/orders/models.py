"""Wanted and reported states of engines, and what was ordered."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from goldcreststair.clock import Millis


class Action(StrEnum):
    """What an engine can be ordered to do; each is idempotent."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine serves, wanted or reported."""

    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    versions: Mapping[str, str] = field(default_factory=dict)
    """Model to version; a model that is not named may have any."""
    role: str = ""
    """Empty wants no particular one."""


@dataclass(frozen=True, slots=True)
class Step:
    """One order to give."""

    action: Action
    target: str
    value: str = ""

    @property
    def loads_weights(self) -> bool:
        """Whether the engine will read from the weight store."""
        return self.action in (Action.LOAD_MODEL, Action.LOAD_ADAPTER, Action.SET_VERSION)


@dataclass(frozen=True, slots=True)
class Progress:
    """How far this steward has come with one engine."""

    gained_at: Millis
    """When this VM became the engine's steward."""
    wait_until: Millis
    """No order is given before this time."""
    failures: int = 0

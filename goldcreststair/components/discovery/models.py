"""Registered upstreams."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.blackboard import SectionKey
from goldcreststair.clock import Millis


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream's own entry in the store."""

    name: str
    """Unique to an upstream, which may keep it after a restart."""
    service: str
    address: str
    """HOST:PORT; may be assigned to another upstream some seconds after this one has ended."""
    data_centre: str
    slots: int
    draining: bool
    """Whether it is shutting down and must get no new work."""
    started_ms: int
    """Unix time of its start in ms; distinguishes restarts under the same name."""
    cold_ms: int | None = 0
    """For how much longer it is cold, counted from the write of the entry; None if unreadable."""
    software_version: str = ""
    """Version of its software, not of its models. The answers of two versions cannot be joined."""


@dataclass(frozen=True, slots=True)
class LiveUpstreams:
    """The upstreams that may get work, by name."""

    by_name: Mapping[str, UpstreamEntry] = field(default_factory=dict)
    expired: frozenset[str] = frozenset()
    """Upstreams whose entry expired during a store outage; used only if no other is available."""
    known: bool = False
    """Whether the list in the store has been read."""
    cold_until: Mapping[str, Millis] = field(default_factory=dict)
    """Time until which an upstream is cold, for those that reported to be cold."""


LIVE_UPSTREAMS: Final = SectionKey[LiveUpstreams]("live_upstreams")

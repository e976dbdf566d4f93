"""Upstreams that registered themselves."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.blackboard import SectionKey
from goldcreststair.clock import Millis


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """What an upstream says of itself in the store."""

    name: str
    """Never used by another upstream, but a restarted one may keep it."""
    service: str
    address: str
    """HOST:PORT; given to another upstream some seconds after this one has ended."""
    data_centre: str
    slots: int
    draining: bool
    """Whether it leaves and must get no new work."""
    started_ms: int
    """Unix time at which it started; tells a restarted one from itself."""
    cold_ms: int | None = 0
    """How much longer it bears few requests, as of its writing; None if that cannot be read."""


@dataclass(frozen=True, slots=True)
class LiveUpstreams:
    """The upstreams that may get work, by name."""

    by_name: Mapping[str, UpstreamEntry] = field(default_factory=dict)
    expired: frozenset[str] = frozenset()
    """Those whose entry ran out while the store was away: used only where no other is free."""
    known: bool = False
    """Whether the store's list has been read."""
    cold_until: Mapping[str, Millis] = field(default_factory=dict)
    """Until when an upstream counts as cold, of those that said they are."""


LIVE_UPSTREAMS: Final = SectionKey[LiveUpstreams]("live_upstreams")

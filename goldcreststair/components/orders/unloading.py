"""Decides when a model that is no longer desired may be unloaded; no I/O."""

from collections.abc import Set

from goldcreststair.clock import Millis
from goldcreststair.components.orders.const import UNLOAD_DRAIN_MS, UNLOAD_SPREAD_MS


class UnloadDelays:
    """Times since which loaded models and adapters of one engine are no longer desired."""

    def __init__(self) -> None:
        """Create with no models."""
        self._since: dict[str, Millis] = {}

    def observe(self, undesired: Set[str], now: Millis) -> None:
        """Apply what is loaded but not desired; the time restarts for what was desired in between."""
        self._since = {name: self._since.get(name, now) for name in undesired}

    def may_unload(self, name: str, in_use: Set[str], now: Millis) -> bool:
        """Return whether no request uses `name` any more, or `UNLOAD_DRAIN_MS` has passed."""
        # An operator's patch would otherwise cut streams: VMs that have not applied it yet still
        # send requests, and an older load report does not list requests that just arrived.
        waited_ms = now - self._since.get(name, now)
        if waited_ms < UNLOAD_SPREAD_MS:
            return False
        used = any(user == name or user.startswith(f"{name}:") for user in in_use)
        return not used or waited_ms >= UNLOAD_DRAIN_MS

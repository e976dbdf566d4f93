"""When a model that is wanted no more may be unloaded; no I/O."""

from collections.abc import Set

from goldcreststair.clock import Millis
from goldcreststair.components.orders.const import UNLOAD_DRAIN_MS, UNLOAD_SPREAD_MS


class UnloadDelays:
    """Since when each loaded model or adapter of one engine is unwanted."""

    def __init__(self) -> None:
        """Start with none."""
        self._since: dict[str, Millis] = {}

    def observe(self, unwanted: Set[str], now: Millis) -> None:
        """Take what is loaded but not wanted; what is wanted again starts anew."""
        self._since = {name: self._since.get(name, now) for name in unwanted}

    def may_unload(self, name: str, in_use: Set[str], now: Millis) -> bool:
        """Return whether nothing runs on `name` any more, or has had its time."""
        # Shows as streams cut in the middle by an operator's patch: VMs that have not heard of it
        # still send requests, and a report of before is silent about those that just came.
        waited_ms = now - self._since.get(name, now)
        if waited_ms < UNLOAD_SPREAD_MS:
            return False
        used = any(user == name or user.startswith(f"{name}:") for user in in_use)
        return not used or waited_ms >= UNLOAD_DRAIN_MS

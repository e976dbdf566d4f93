"""Detects requests that crash the upstreams that run them, across all gateway daemons."""

from goldcreststair.components.crash_marks.service import CRASH_TRACKER, CrashTracker
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the crash tracker."""
    tracker = CrashTracker(core)
    core.offer(CRASH_TRACKER, tracker)
    return tracker

"""Which requests crash the upstreams that run them, over all gateway daemons."""

from goldcreststair.components.crash_marks.service import CRASH_TRACKER, CrashTracker
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the marks."""
    marks = CrashTracker(core)
    core.offer(CRASH_TRACKER, marks)
    return marks

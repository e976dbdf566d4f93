"""Quarantine of requests that crash the upstreams running them."""

from goldcreststair.components.quarantine.controller import QuarantineController
from goldcreststair.components.quarantine.protocols import QUARANTINE
from goldcreststair.core import Component, Core, PassiveComponent


async def async_setup(core: Core) -> Component:
    """Offer `QUARANTINE`."""
    core.offer(QUARANTINE, QuarantineController(core))
    return PassiveComponent()

"""Requests that crash whatever runs them."""

from goldcreststair.components.quarantine.controller import QuarantineController
from goldcreststair.components.quarantine.protocols import QUARANTINE
from goldcreststair.core import Component, Core, PassiveComponent


async def async_setup(core: Core) -> Component:
    """Set up the controller."""
    core.offer(QUARANTINE, QuarantineController(core))
    return PassiveComponent()

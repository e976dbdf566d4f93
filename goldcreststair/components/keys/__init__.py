"""Which customer a key stands for, and whether it still may."""

from goldcreststair.components.keys.controller import KeyController
from goldcreststair.components.keys.protocols import KEYS
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the controller."""
    controller = KeyController(core)
    core.offer(KEYS, controller)
    return controller

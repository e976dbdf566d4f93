"""Configuration by operators, in numbered versions."""

from goldcreststair.components.configuration.controller import (
    CONFIGURATION_FOLLOWER,
    ConfigurationFollower,
)
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the follower, which keeps the newest version on the blackboard."""
    follower = ConfigurationFollower(core)
    core.offer(CONFIGURATION_FOLLOWER, follower)
    return follower

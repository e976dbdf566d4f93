"""Numbered versions of the configuration."""

from goldcreststair.components.configuration.controller import (
    CONFIGURATION_FOLLOWER,
    ConfigurationFollower,
)
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the follower."""
    follower = ConfigurationFollower(core)
    core.offer(CONFIGURATION_FOLLOWER, follower)
    return follower

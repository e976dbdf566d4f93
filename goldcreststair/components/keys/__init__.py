"""Identification of customers by API key, and withdrawal of keys."""

from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the key controller, and key withdrawal if the daemon is part of a fleet."""
    # Imported here to avoid an import cycle: other components import this package's protocols.
    from goldcreststair.components.keys.component import create_component

    return create_component(core)

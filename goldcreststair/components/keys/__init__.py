"""Which customer a key stands for, and whether it still may."""

from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the controller, and withdrawals where there is a fleet."""
    # Imported here, as other components import this package's protocols while they are imported.
    from goldcreststair.components.keys.component import create_component

    return create_component(core)

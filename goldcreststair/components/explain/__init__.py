"""What the fleet decided about one thing, and why."""

from goldcreststair.components.explain.service import EXPLAINER, Explainer
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the explainer."""
    explainer = Explainer(core)
    core.offer(EXPLAINER, explainer)
    return explainer

"""Explains what the fleet decided about a subject, and why."""

from goldcreststair.components.explain.service import EXPLAINER, Explainer
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Create the explainer and offer it to other components."""
    explainer = Explainer(core)
    core.offer(EXPLAINER, explainer)
    return explainer

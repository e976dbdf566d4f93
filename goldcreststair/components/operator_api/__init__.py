"""The HTTP interface of operators."""

from tornado.routing import Rule
from tornado.web import url

from goldcreststair.components.operator_api.views import ConfigurationHandler
from goldcreststair.core import Component, Core, PassiveComponent


async def async_setup(core: Core) -> Component:
    """Add the operators' routes."""
    routes: list[Rule] = [
        url(r"/operator/configuration", ConfigurationHandler, {"core": core}),
    ]
    core.routes.extend(routes)
    return PassiveComponent()

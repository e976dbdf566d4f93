"""HTTP API for operators."""

from tornado.routing import Rule
from tornado.web import url

from goldcreststair.components.operator_api.reports import (
    BurnHandler,
    ExplainHandler,
    HistoryHandler,
    StatusHandler,
)
from goldcreststair.components.operator_api.views import ConfigurationHandler
from goldcreststair.core import Component, Core, PassiveComponent


async def async_setup(core: Core) -> Component:
    """Add the operators' routes."""
    routes: list[Rule] = [
        url(r"/operator/configuration", ConfigurationHandler, {"core": core}),
        url(r"/operator/configuration/history", HistoryHandler, {"core": core}),
        url(r"/operator/burn", BurnHandler, {"core": core}),
        url(r"/operator/status", StatusHandler, {"core": core}),
        url(r"/operator/explain/([^/]+)/(.+)", ExplainHandler, {"core": core}),
    ]
    core.routes.extend(routes)
    return PassiveComponent()

"""HTTP API for callers."""

from tornado.routing import Rule
from tornado.web import url

from goldcreststair.components.caller_api.service_views import ServiceHandler
from goldcreststair.components.caller_api.views import (
    GenerateHandler,
    LiveHandler,
    ModelsHandler,
    ReadyHandler,
)
from goldcreststair.core import Component, Core, PassiveComponent


async def async_setup(core: Core) -> Component:
    """Add the callers' routes."""
    routes: list[Rule] = [
        url(r"/v1/chat/completions", GenerateHandler, {"core": core}),
        url(r"/v1/completions", GenerateHandler, {"core": core}),
        url(r"/v1/services/([^/]+)/(.*)", ServiceHandler, {"core": core}),
        url(r"/v1/models", ModelsHandler, {"core": core}),
        url(r"/health/live", LiveHandler),
        url(r"/health/ready", ReadyHandler, {"core": core}),
    ]
    core.routes.extend(routes)
    return PassiveComponent()

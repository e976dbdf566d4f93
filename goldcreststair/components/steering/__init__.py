"""Steering: the addresses of the VMs that callers should use."""

from tornado.web import url

from goldcreststair.components.steering.views import AddressesHandler
from goldcreststair.core import Component, Core, PassiveComponent


async def async_setup(core: Core) -> Component:
    """Add the HTTP route."""
    core.routes.append(url(r"/v1/addresses", AddressesHandler, {"core": core}))
    return PassiveComponent()

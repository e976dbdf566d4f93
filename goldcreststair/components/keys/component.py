"""Assembles the keys component."""

from tornado.web import url

from goldcreststair.components.keys.controller import KeyController
from goldcreststair.components.keys.protocols import KEYS
from goldcreststair.components.keys.views import WithdrawHandler
from goldcreststair.components.keys.withdrawal import WITHDRAWALS, WithdrawalService
from goldcreststair.components.membership.protocols import SHARED_SETS
from goldcreststair.core import Component, Core


class KeyComponent:
    """The key controller, and the withdrawal service if the daemon is part of a fleet."""

    def __init__(self, parts: list[Component]) -> None:
        """Initialise with the parts in the order in which they start."""
        self._parts = parts

    async def async_start(self) -> None:
        """Start all parts."""
        for part in self._parts:
            await part.async_start()

    async def async_close(self) -> None:
        """Close all parts in reverse order."""
        for part in reversed(self._parts):
            await part.async_close()


def create_component(core: Core) -> Component:
    """Create the component, register its services and add the operators' HTTP route."""
    controller = KeyController(core)
    core.offer(KEYS, controller)
    parts: list[Component] = [controller]
    sets = core.find(SHARED_SETS)
    if sets is not None:
        withdrawals = WithdrawalService(core, controller, sets)
        core.offer(WITHDRAWALS, withdrawals)
        core.routes.append(url(r"/operator/keys/withdraw", WithdrawHandler, {"core": core}))
        parts.append(withdrawals)
    return KeyComponent(parts)

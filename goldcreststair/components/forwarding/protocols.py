"""What forwarding asks of the caller's side, and offers."""

from collections.abc import Awaitable
from typing import Final, Protocol

from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.core import ComponentKey
from goldcreststair.helpers.refusals import Refusal
from goldcreststair.upstreams.dialect import RunHead


class Responder(Protocol):
    """The caller's side of one request; the connection may go away at any time."""

    def begin(self, head: RunHead) -> None:
        """Send the head of a stream."""

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a piece of a stream; wait for what is returned before the next one."""

    def finish(self) -> None:
        """End a stream as whole."""

    def answer(self, head: RunHead, body: bytes) -> None:
        """Send a whole answer of an upstream."""

    def accept(self) -> None:
        """Say that a job was accepted."""

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the whole answer."""

    def abort(self) -> None:
        """Close the connection, so that what was sent cannot pass for whole."""


class Forwarding(Protocol):
    """Serves callers' requests."""

    async def async_forward(self, request: CallerRequest, responder: Responder) -> None:
        """Serve one request to its end; cancel it when the caller goes away."""


FORWARDING: Final = ComponentKey[Forwarding]("forwarding")

"""Interfaces between forwarding and the caller's connection."""

from collections.abc import Awaitable
from typing import Final, Protocol

from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.core import ComponentKey
from goldcreststair.helpers.refusals import Refusal
from goldcreststair.upstreams.dialect import RunHead


class Responder(Protocol):
    """Sends the answer to one caller; the connection may close at any time."""

    def begin(self, head: RunHead) -> None:
        """Send the head of a stream."""

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a chunk of a stream; the returned awaitable must complete before the next chunk."""

    def finish(self) -> None:
        """End a complete stream."""

    def answer(self, head: RunHead, body: bytes) -> Awaitable[None] | None:
        """Send a complete answer of an upstream; the awaitable completes once it was accepted."""

    def accept(self) -> None:
        """Report that a job was accepted."""

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the complete answer."""

    def abort(self) -> None:
        """Close the connection, so that a partial answer cannot be taken for a complete one."""


class Forwarding(Protocol):
    """Serves callers' requests."""

    async def async_forward(self, request: CallerRequest, responder: Responder) -> None:
        """Serve one request to its end; cancel the coroutine when the caller disconnects."""


FORWARDING: Final = ComponentKey[Forwarding]("forwarding")

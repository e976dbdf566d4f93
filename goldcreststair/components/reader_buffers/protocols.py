"""Interface that the reader buffers offer to other components."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final, Protocol

from goldcreststair.components.reader_buffers.models import ReaderIdentity
from goldcreststair.core import ComponentKey

if TYPE_CHECKING:
    # The forwarding component imports this module.
    from goldcreststair.components.forwarding.protocols import Responder

Serve = Callable[["Responder"], Awaitable[None]]
"""Sends the answer to one request to a responder."""


class ReaderBuffers(Protocol):
    """Holds bytes for readers that are slower than their upstreams."""

    async def async_serve(
        self, responder: "Responder", identity: ReaderIdentity, serve: Serve
    ) -> None:
        """Serve one request, and return once the caller has accepted its answer or was shed."""

    def count_bytes(self) -> int:
        """Return the bytes held for all readers."""

    def count_slow(self) -> int:
        """Return the number of readers that have lagged for longer than reading may pause."""


READER_BUFFERS: Final = ComponentKey[ReaderBuffers]("reader_buffers")

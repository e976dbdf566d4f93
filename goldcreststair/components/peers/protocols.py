"""What other components ask of the links to other daemons."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, Protocol

from result import Result

from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class PeerError(GoldcreststairError):
    """A message to another daemon that got no answer."""

    not_sent: bool = False
    """True if the other side certainly never saw it."""
    gone: bool = False
    """True if nobody listens there any more, or another session does."""


PeerMessage = Any
"""A struct generated from `wire/*.thrift`."""

Handler = Callable[[str, PeerMessage], Awaitable[PeerMessage | None]]
"""Takes the sender's session id and a message; returns the answer, or None for a one-way one."""


class PeerLinks(Protocol):
    """Framed thrift messages to other daemons, by session id."""

    def register(self, number: int, struct: type[PeerMessage], handler: Handler | None) -> None:
        """Give a struct its message number (see docs/PROTOCOLS.md) and its handler."""

    async def async_request(
        self, session_id: str, message: PeerMessage, timeout_ms: int
    ) -> Result[PeerMessage, PeerError]:
        """Send a message and return its answer."""

    def post(self, session_id: str, message: PeerMessage) -> None:
        """Send a message without answer; it may be lost."""


PEERS: Final = ComponentKey[PeerLinks]("peers")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a daemon listens; an empty session stands for whichever runs there."""

    address: str
    port: int
    session_id: str = ""


class EndpointLinks(PeerLinks, Protocol):
    """What membership and the configuration ask beyond `PeerLinks`."""

    async def async_request_at(
        self, endpoint: Endpoint, message: PeerMessage, timeout_ms: int
    ) -> Result[PeerMessage, PeerError]:
        """Send a message to where a daemon listens, known as a member or not."""

    async def async_is_gone(self, endpoint: Endpoint) -> bool:
        """Return whether a session's process has ended, as far as a connection shows."""

    def count_reachable(self) -> int:
        """Return to how many sessions there is an open link, alive by its heartbeats."""


ENDPOINT_LINKS: Final = ComponentKey[EndpointLinks]("peer_reach")

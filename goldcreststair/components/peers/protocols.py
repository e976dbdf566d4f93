"""Interface that the links to other daemons offer to other components."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, Protocol

from result import Result

from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class PeerError(GoldcreststairError):
    """A message to another daemon failed or got no response."""

    not_sent: bool = False
    """True if it is certain that the other side did not receive it."""
    gone: bool = False
    """True if nothing listens there any more, or another session does."""


PeerMessage = Any
"""A struct generated from `wire/*.thrift`."""

Handler = Callable[[str, PeerMessage], Awaitable[PeerMessage | None]]
"""Receives the sender's session id and a message; returns the response, or None for a one-way
message."""


class PeerLinks(Protocol):
    """Framed thrift messages to other daemons, addressed by session id."""

    def register(self, number: int, struct: type[PeerMessage], handler: Handler | None) -> None:
        """Set the message number (see docs/PROTOCOLS.md) and the handler of a struct."""

    async def async_request(
        self, session_id: str, message: PeerMessage, timeout_ms: int
    ) -> Result[PeerMessage, PeerError]:
        """Send a message and return its response."""

    def post(self, session_id: str, message: PeerMessage) -> None:
        """Send a message without response; it may be lost."""


PEERS: Final = ComponentKey[PeerLinks]("peers")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a daemon listens; an empty session id matches any session that runs there."""

    address: str
    port: int
    session_id: str = ""


class EndpointLinks(PeerLinks, Protocol):
    """Links by endpoint, for membership and configuration."""

    async def async_request_at(
        self, endpoint: Endpoint, message: PeerMessage, timeout_ms: int
    ) -> Result[PeerMessage, PeerError]:
        """Send a message to an endpoint, whether its daemon is a known member or not."""

    async def async_is_gone(self, endpoint: Endpoint) -> bool:
        """Return whether a session's process has ended, as far as a connection attempt shows."""

    def count_reachable(self) -> int:
        """Return the number of sessions with an open link that has received a frame recently."""


ENDPOINT_LINKS: Final = ComponentKey[EndpointLinks]("peer_reach")

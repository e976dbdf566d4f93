"""Manages the links of this daemon: opened on the first message, closed when idle or silent."""

import asyncio
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from goldcreststair.components.membership.models import MEMBERS, Member, Members
from goldcreststair.components.peers.const import (
    CONNECT_TIMEOUT_MS,
    MAX_HELLO_BYTES,
    MAX_NON_MEMBER_BYTES,
    SERVED_TO_NON_MEMBERS,
)
from goldcreststair.components.peers.link import Link
from goldcreststair.components.peers.protocols import Endpoint, Handler, PeerError, PeerMessage
from goldcreststair.core import Core
from goldcreststair.transport import PeerChannel
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.peers.ttypes import Envelope, FrameKind, Hello

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Registration:
    """How messages of one number are decoded and served."""

    struct: type[PeerMessage]
    handler: Handler | None


class PeerService:
    """Implements `EndpointLinks` over the core's transport."""

    def __init__(self, core: Core) -> None:
        """Start without registered messages and without links."""
        self._core = core
        self._by_number: dict[int, Registration] = {}
        self._numbers: dict[type[PeerMessage], int] = {}
        self._links: dict[str, Link] = {}
        self._all_links: set[Link] = set()
        self._opening: dict[Endpoint, asyncio.Task[Result[Link, PeerError]]] = {}
        self._correlation_ids = itertools.count(1)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._closed = False
        self._own_session_id = core.session_id
        self._unsubscribe: Callable[[], None] = lambda: None

    async def async_listen(self) -> None:
        """Bind the peer port and store it in the core; components may send after `async_start`."""
        settings = self._core.settings
        self._core.peer_port = await self._core.transport.async_listen(
            settings.address, settings.peer_port, self._on_accept
        )

    async def async_start(self) -> None:
        """Follow this daemon's own session; the port was bound while this component was set up."""
        self._own_session_id = self._core.session_id
        self._unsubscribe = self._core.blackboard.subscribe(MEMBERS, self._on_members)

    async def async_close(self) -> None:
        """Close every link and stop listening."""
        self._closed = True
        self._unsubscribe()
        await self._core.transport.async_close()
        for link in tuple(self._all_links):
            link.close("this daemon is stopping")
        for task in (*self._tasks, *self._opening.values()):
            task.cancel()

    def register(self, number: int, struct: type[PeerMessage], handler: Handler | None) -> None:
        """Set a struct's number and handler; raises `ValueError` if either is already registered."""
        if number in self._by_number or struct in self._numbers:
            raise ValueError(f"message {number} or {struct.__name__} is already registered")
        self._by_number[number] = Registration(struct, handler)
        self._numbers[struct] = number

    async def async_request(
        self, session_id: str, message: PeerMessage, timeout_ms: int
    ) -> Result[PeerMessage, PeerError]:
        """Send a message to a member and return its response."""
        found = self._find_endpoint(session_id)
        if isinstance(found, Err):
            return found
        return await self.async_request_at(found.ok_value, message, timeout_ms)

    async def async_request_at(
        self, endpoint: Endpoint, message: PeerMessage, timeout_ms: int
    ) -> Result[PeerMessage, PeerError]:
        """Send a message to an endpoint, whether its daemon is a known member or not."""
        deadline = self._core.clock.now() + timeout_ms
        opened = await self._async_find_link(endpoint, timeout_ms)
        if isinstance(opened, Err):
            return opened
        response = await opened.ok_value.async_request(
            next(self._correlation_ids),
            self._numbers[type(message)],
            encode_struct(message),
            max(1, deadline - self._core.clock.now()),
        )
        if isinstance(response, Err):
            return response
        return self._decode(response.ok_value)

    def post(self, session_id: str, message: PeerMessage) -> None:
        """Send a message without response; it may be lost."""
        found = self._find_endpoint(session_id)
        if isinstance(found, Ok) and not self._closed:
            self._spawn(self._async_post(found.ok_value, message))

    def count_reachable(self) -> int:
        """Return the number of sessions with an open link that has received a frame recently."""
        return sum(link.usable for link in self._links.values())

    async def async_is_gone(self, endpoint: Endpoint) -> bool:
        """Return whether a session's process has ended, as far as a connection attempt shows."""
        opened = await self._async_find_link(endpoint, CONNECT_TIMEOUT_MS)
        return isinstance(opened, Err) and opened.err_value.gone

    async def async_serve(self, session_id: str, envelope: Any) -> tuple[int, bytes] | None:
        """Run the handler of an incoming message."""
        registration = self._by_number.get(envelope.number)
        if registration is None or registration.handler is None:
            return None
        # A daemon whose session has expired may still run and act as owner; until it is a member
        # again, only messages that bring it up to date are served.
        payload = envelope.payload or b""
        if not self._is_member(session_id):
            if envelope.number not in SERVED_TO_NON_MEMBERS:
                return None
            if len(payload) > MAX_NON_MEMBER_BYTES:
                _LOGGER.warning("Long message of a non-member dropped")
                self._core.statistics.count("long_messages_dropped")
                return None
        decoded = decode_struct(registration.struct, payload)
        if isinstance(decoded, Err):
            _LOGGER.warning("Message dropped: %s", decoded.err_value.message)
            return None
        response = await registration.handler(session_id, decoded.ok_value)
        if response is None:
            return 0, b""
        return self._numbers[type(response)], encode_struct(response)

    def forget(self, link: Link) -> None:
        """Remove a link that has closed."""
        self._all_links.discard(link)
        if self._links.get(link.session_id) is link:
            del self._links[link.session_id]

    def _on_members(self, members: Members) -> None:
        # The Hellos of open links contain the expired session id; new links send the new one.
        if members.own_session_id != self._own_session_id:
            self._own_session_id = members.own_session_id
            for link in tuple(self._all_links):
                link.close("this daemon has a new session")

    def _decode(self, envelope: Any) -> Result[PeerMessage, PeerError]:
        registration = self._by_number.get(envelope.number)
        if registration is None:
            return (
                Ok(None)
                if envelope.number == 0
                else Err(PeerError("response with an unknown message number"))
            )
        decoded = decode_struct(registration.struct, envelope.payload or b"")
        return decoded.map_err(lambda error: PeerError(error.message))

    def _is_member(self, session_id: str) -> bool:
        return session_id in self._core.blackboard.read(MEMBERS).by_session

    def _find_endpoint(self, session_id: str) -> Result[Endpoint, PeerError]:
        member: Member | None = self._core.blackboard.read(MEMBERS).by_session.get(session_id)
        if member is None:
            return Err(PeerError(f"{session_id} is not a member", not_sent=True))
        return Ok(Endpoint(member.address, member.peer_port, session_id))

    async def _async_post(self, endpoint: Endpoint, message: PeerMessage) -> None:
        opened = await self._async_find_link(endpoint, CONNECT_TIMEOUT_MS)
        if isinstance(opened, Ok):
            number = self._numbers[type(message)]
            opened.ok_value.send(Envelope(FrameKind.POST, number, None, encode_struct(message)))

    async def _async_find_link(
        self, endpoint: Endpoint, timeout_ms: int
    ) -> Result[Link, PeerError]:
        if self._closed:
            return Err(PeerError("this daemon is stopping", not_sent=True))
        link = self._links.get(endpoint.session_id)
        if link is not None and link.usable:
            return Ok(link)
        if link is not None:
            link.close("silent")
        opening = self._opening.get(endpoint)
        if opening is None:
            opening = asyncio.create_task(self._async_open(endpoint))
            self._opening[endpoint] = opening
            opening.add_done_callback(lambda _: self._opening.pop(endpoint, None))
        done, _ = await asyncio.wait({opening}, timeout=timeout_ms / 1000)
        if not done or opening.cancelled():
            return Err(PeerError("link not opened in time", not_sent=True))
        return opening.result()

    async def _async_open(self, endpoint: Endpoint) -> Result[Link, PeerError]:
        opened = await self._core.transport.async_connect(
            endpoint.address, endpoint.port, CONNECT_TIMEOUT_MS
        )
        if isinstance(opened, Err):
            error = opened.err_value
            return Err(PeerError(error.message, not_sent=True, gone=error.refused))
        channel = opened.ok_value
        channel.send(encode_struct(Hello(self._core.session_id, endpoint.session_id)))
        hello = await self._async_read_hello(channel)
        # A new daemon may run at the address by now, and must not receive messages for the old
        # session. Nothing but the Hello has been sent at this point.
        if hello is None or (endpoint.session_id and hello.session_id != endpoint.session_id):
            channel.close()
            text = "no Hello, or one from another session"
            return Err(PeerError(text, not_sent=True, gone=hello is not None))
        return Ok(self._add_link(channel, hello.session_id))

    def _on_accept(self, channel: PeerChannel) -> None:
        self._spawn(self._async_accept(channel))

    async def _async_accept(self, channel: PeerChannel) -> None:
        hello = await self._async_read_hello(channel)
        own = self._core.session_id
        if hello is None or self._closed:
            channel.close()
            return
        channel.send(encode_struct(Hello(own, hello.session_id)))
        if hello.target_session_id not in ("", own):
            channel.close()
            return
        self._add_link(channel, hello.session_id)

    async def _async_read_hello(self, channel: PeerChannel) -> Any:
        """Return the other side's Hello, or None if none arrives in time."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                frame = await channel.async_receive()
        except TimeoutError:
            return None
        if frame is None or len(frame) > MAX_HELLO_BYTES:
            return None
        decoded = decode_struct(Hello, frame)
        return decoded.ok_value if isinstance(decoded, Ok) else None

    def _add_link(self, channel: PeerChannel, session_id: str) -> Link:
        link = Link(channel, session_id, self, self._core.clock)
        self._links[session_id] = link
        self._all_links.add(link)
        link.start()
        return link

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

"""Sends messages to the owners of records, on this or another VM."""

from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok, Result

from goldcreststair.components.batch.const import ATTEMPTS, CALL_TIMEOUT_MS, RETRY_DELAY_MS
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.peers.protocols import PEERS, PeerError
from goldcreststair.core import Core
from goldcreststair.wire.generated.batch.ttypes import Reply, ReplyStatus

OwnerHandler = Callable[[str, Any], Awaitable[Any]]


class Directory:
    """Sends messages about a key to the owner of its partition."""

    def __init__(self, core: Core) -> None:
        """Use the ledger's owner map and the peer links."""
        self._core = core
        self._ledger = core.get(LEDGER)
        self.peers = core.get(PEERS)
        self._handlers: dict[type[Any], OwnerHandler] = {}

    def register(self, number: int, struct: type[Any], handler: OwnerHandler) -> None:
        """Register the handler of a message from peers and from this VM itself."""
        self._handlers[struct] = handler
        self.peers.register(number, struct, handler)

    def owns(self, key: str) -> bool:
        """Return whether this VM owns a key's partition."""
        return self._ledger.get_owned(self._ledger.find_index(key)) is not None

    def find_owner(self, key: str) -> str | None:
        """Return the session last known to own a key's partition."""
        return self._ledger.find_owner(self._ledger.find_index(key))

    def find_holder(self, key: str) -> str:
        """Return this VM if it owns a key's partition, else the last known owner, or empty."""
        return self._core.session_id if self.owns(key) else self.find_owner(key) or ""

    async def async_send(self, session: str, message: Any) -> Result[Any, PeerError]:
        """Send a message to a VM, this one included."""
        if session == self._core.session_id:
            return Ok(await self._handlers[type(message)](session, message))
        return await self.peers.async_request(session, message, CALL_TIMEOUT_MS)

    def post(self, session: str, message: Any) -> None:
        """Send a message without reply, which may be lost."""
        self.peers.post(session, message)

    async def async_ask(self, key: str, message: Any, first: str | None = None) -> Reply:
        """Ask the owner of a key, `first` before others; REFUSED only if nothing was written."""
        refused = Reply(status=ReplyStatus.REFUSED)
        target = first or self.find_owner(key)
        for attempt in range(ATTEMPTS):
            if attempt:
                await self._core.clock.async_sleep(RETRY_DELAY_MS * attempt)
            if self.owns(key) and not (first and attempt == 0):
                target = self._core.session_id
            if target is None:
                target = self.find_owner(key)
                continue
            answer = await self.async_send(target, message)
            if isinstance(answer, Err):
                # The reply may have been lost after the write, so the outcome is unknown unless a
                # later attempt reads it back (every write here is idempotent).
                if not answer.err_value.not_sent:
                    refused = Reply(status=ReplyStatus.UNKNOWN)
                target = self.find_owner(key)
                continue
            reply: Reply = answer.ok_value
            if reply.status == ReplyStatus.OK or reply.status == ReplyStatus.MISSING:
                return reply
            if reply.status == ReplyStatus.REFUSED:
                # The owner's refusal is final; a retry would only delay the caller.
                return refused
            if reply.status == ReplyStatus.UNKNOWN:
                refused = reply
            target = reply.owner or self.find_owner(key)
        return refused

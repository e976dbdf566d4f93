"""Sends claim messages to the owner of their key."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok

from goldcreststair.clock import Millis
from goldcreststair.components.claims.const import RETRY_DELAY_MS
from goldcreststair.components.claims.models import AnswerCode
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.core import Core
from goldcreststair.wire.generated.ledger.ttypes import ClaimAnswer

Handler = Callable[[str, Any], Awaitable[ClaimAnswer]]


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Result if no owner decided in time."""

    uncertain: bool
    """Whether the message may have taken effect."""
    text: str


class OwnerClient:
    """Finds the owner from the ledger's cache, a redirect, or the partition's head row."""

    def __init__(self, core: Core, handlers: dict[type[Any], Handler]) -> None:
        """Create a client; `handlers` answer messages for this VM's own partitions."""
        self._core = core
        self._ledger = core.get(LEDGER)
        self._peers = core.get(PEERS)
        self._handlers = handlers

    async def async_request(
        self, index: int, make_message: Callable[[int], Any], deadline: Millis
    ) -> ClaimAnswer | NoAnswer:
        """Send messages until an owner decides or the deadline passes; they are idempotent.

        `make_message` gets the remaining time in ms.
        """
        uncertain = False
        text = "no owner answered"
        attempt = 0
        while (remaining_ms := deadline - self._core.clock.now()) > 0:
            answer = await self._async_send(index, make_message, remaining_ms)
            if answer is None or answer.code == AnswerCode.UNCERTAIN:
                uncertain = True
            elif answer.code == AnswerCode.UNAVAILABLE:
                # This message had no effect, but an earlier one may have had.
                if not uncertain:
                    return answer
            elif answer.code != AnswerCode.NOT_OWNER:
                return answer
            text = answer.text if answer is not None else text
            attempt += 1
            if attempt > 1:
                await self._core.clock.async_sleep(RETRY_DELAY_MS)
                await self._ledger.async_read_owner(index)
        return NoAnswer(uncertain, text)

    async def _async_send(
        self, index: int, make_message: Callable[[int], Any], remaining_ms: int
    ) -> ClaimAnswer | None:
        """Send one message; None if it may have taken effect without an answer."""
        owner = self._ledger.find_owner(index) or ""
        # The owner gets a shorter timeout, so that its answer arrives in time.
        message = make_message(max(remaining_ms * 3 // 4, 1))
        if owner == self._core.session_id:
            return await self._handlers[type(message)](owner, message)
        if not owner:
            return ClaimAnswer(int(AnswerCode.NOT_OWNER), "no owner is known", "", "")
        answered = await self._peers.async_request(owner, message, remaining_ms)
        if isinstance(answered, Err):
            error = answered.err_value
            await self._ledger.async_read_owner(index)
            if error.not_sent:
                return ClaimAnswer(int(AnswerCode.NOT_OWNER), error.message, "", "")
            return None
        assert isinstance(answered, Ok)
        answer = answered.ok_value
        if answer.code == AnswerCode.NOT_OWNER and answer.session:
            self._ledger.record_owner(index, answer.session)
        return answer

"""Carries a claim message to the owner of its key."""

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
    """No owner decided in time."""

    uncertain: bool
    """True if the message may have had its effect."""
    text: str


class Exchange:
    """Finds the owner by belief, by its redirect, and by the head row."""

    def __init__(self, core: Core, handlers: dict[type[Any], Handler]) -> None:
        """Answer messages to this VM's own partitions by `handlers`."""
        self._core = core
        self._ledger = core.get(LEDGER)
        self._peers = core.get(PEERS)
        self._handlers = handlers

    async def async_ask(
        self, index: int, make_message: Callable[[int], Any], deadline: Millis
    ) -> ClaimAnswer | NoAnswer:
        """Ask until an owner decides or the deadline passes; messages are idempotent."""
        uncertain = False
        text = "no owner answered"
        attempt = 0
        while (left := deadline - self._core.clock.now()) > 0:
            answer = await self._async_try(index, make_message, left)
            if answer is None or answer.code == AnswerCode.UNCERTAIN:
                uncertain = True
            elif answer.code == AnswerCode.UNAVAILABLE:
                # It says that this message had no effect, which an earlier one may have had.
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

    async def _async_try(
        self, index: int, make_message: Callable[[int], Any], left: int
    ) -> ClaimAnswer | None:
        """Send one message; None if it may have had its effect without an answer."""
        owner = self._ledger.find_owner(index) or ""
        # The owner gives up a little earlier, so that its answer is still in time.
        message = make_message(max(left * 3 // 4, 1))
        if owner == self._core.session_id:
            return await self._handlers[type(message)](owner, message)
        if not owner:
            return ClaimAnswer(int(AnswerCode.NOT_OWNER), "no owner is known", "", "")
        answered = await self._peers.async_request(owner, message, left)
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

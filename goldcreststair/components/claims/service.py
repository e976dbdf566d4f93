"""Implements `Claims`: messages to owners, large bodies in objects, and retried endings."""

import asyncio
import logging
from typing import Any

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.claims.codec import from_wire, make_record_key, to_wire
from goldcreststair.components.claims.const import (
    ENDING_RETRY_DELAY_MS,
    ENDING_RETRY_MS,
    MAX_INLINE_BODY_BYTES,
    NUMBER_ANSWER,
    NUMBER_CLAIM,
    NUMBER_SETTLE,
    NUMBER_WAIT,
    OBJECT_PREFIX,
    RELEASE_TIMEOUT_MS,
    RETRY_DELAY_MS,
    WAIT_SLICE_MS,
)
from goldcreststair.components.claims.models import AnswerCode, Ending, StoredOutcome
from goldcreststair.components.claims.owner import ClaimOwner
from goldcreststair.components.claims.owner_client import Handler, NoAnswer, OwnerClient
from goldcreststair.components.claims.protocols import (
    ClaimError,
    ClaimProblem,
    ClaimRequest,
    Finished,
    Granted,
    Joined,
    Outcome,
)
from goldcreststair.components.claims.retention import Retention
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.core import Core
from goldcreststair.wire.generated.ledger.ttypes import (
    ClaimAnswer,
    ClaimMessage,
    SettleMessage,
    WaitMessage,
)

_LOGGER = logging.getLogger(__name__)

_PROBLEMS = {
    AnswerCode.MISMATCH: ClaimProblem.MISMATCH,
    AnswerCode.OUTCOME_UNKNOWN: ClaimProblem.OUTCOME_UNKNOWN,
    AnswerCode.TAKEN: ClaimProblem.OUTCOME_UNKNOWN,
    AnswerCode.WAITING: ClaimProblem.TIMEOUT,
}


class ClaimService:
    """Makes and ends claims of this VM at the owners of their keys."""

    def __init__(self, core: Core) -> None:
        """Register the message handlers; nothing runs yet."""
        self._core = core
        self._ledger = core.get(LEDGER)
        self._claim_owner = claim_owner = ClaimOwner(core)
        handlers: dict[type[Any], Handler] = {
            ClaimMessage: claim_owner.async_claim,
            SettleMessage: claim_owner.async_end,
            WaitMessage: claim_owner.async_wait,
        }
        self._owner_client = OwnerClient(core, handlers)
        self._retention = Retention(core)
        self._tasks: set[asyncio.Task[None]] = set()
        peers = core.get(PEERS)
        for number, struct in (
            (NUMBER_CLAIM, ClaimMessage),
            (NUMBER_SETTLE, SettleMessage),
            (NUMBER_WAIT, WaitMessage),
        ):
            peers.register(number, struct, handlers[struct])
        peers.register(NUMBER_ANSWER, ClaimAnswer, None)

    async def async_start(self) -> None:
        """Begin to remove expired claims."""
        self._spawn(self._retention.async_run())

    async def async_close(self) -> None:
        """Stop following members and cancel all tasks."""
        self._claim_owner.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def async_claim(
        self, request: ClaimRequest, timeout_ms: int
    ) -> Result[Granted | Joined | Finished, ClaimError]:
        """Claim a key durably before its run, or return the run or outcome that it has already."""
        answer = await self._owner_client.async_request(
            self._find_index(request),
            lambda remaining_ms: ClaimMessage(
                request.customer,
                request.key,
                request.fingerprint,
                request.request_id,
                request.repeatable,
                remaining_ms,
            ),
            self._deadline(timeout_ms),
        )
        if isinstance(answer, NoAnswer):
            if answer.uncertain:
                # The claim may be held by this session although nothing will run, and every resend
                # would join a run that never ends. So it is released.
                claim = Granted("", request)
                self._spawn(self._async_retry_ending(claim, Ending.RELEASED, None))
            return Err(ClaimError(answer.text))
        if answer.code == AnswerCode.GRANTED:
            return Ok(Granted(answer.claim_id, request))
        if answer.code == AnswerCode.JOINED:
            return Ok(Joined(answer.claim_id, request, answer.session))
        if answer.code == AnswerCode.FINISHED:
            read = await self._async_read_outcome(answer, timeout_ms)
            return read.map(Finished)
        return Err(_make_error(answer))

    async def async_settle(
        self, claim: Granted, outcome: Outcome, timeout_ms: int
    ) -> Result[None, ClaimError]:
        """Make the outcome durable; the answer may be sent to the caller only after this."""
        deadline = self._deadline(timeout_ms)
        stored = await self._async_store_body(claim, outcome, deadline)
        if stored is None:
            self._spawn(self._async_settle_later(claim, outcome))
            return Err(ClaimError("the outcome is not durable yet", ClaimProblem.TIMEOUT))
        answer = await self._async_end(claim, Ending.SETTLED, stored, deadline)
        if isinstance(answer, ClaimAnswer) and answer.code != AnswerCode.UNAVAILABLE:
            return Ok(None) if answer.code == AnswerCode.ENDED else Err(_make_error(answer))
        self._spawn(self._async_retry_ending(claim, Ending.SETTLED, stored))
        return Err(ClaimError("the outcome is not durable yet", ClaimProblem.TIMEOUT))

    async def async_release(self, claim: Granted) -> None:
        """Release a claim whose request certainly did not run."""
        await self._async_end_or_retry(claim, Ending.RELEASED)

    async def async_abandon(self, claim: Granted) -> None:
        """Record that the run's outcome is permanently unknown."""
        await self._async_end_or_retry(claim, Ending.ABANDONED)

    async def async_wait(self, claim: Joined, timeout_ms: int) -> Result[Outcome, ClaimError]:
        """Wait for the outcome of a run that was joined."""
        request = claim.request
        deadline = self._deadline(timeout_ms)
        while (remaining_ms := deadline - self._core.clock.now()) > 0:
            answer = await self._owner_client.async_request(
                self._find_index(request),
                lambda remaining_ms: WaitMessage(
                    request.customer, request.key, request.fingerprint, remaining_ms
                ),
                Millis(self._core.clock.now() + min(remaining_ms, WAIT_SLICE_MS)),
            )
            if isinstance(answer, NoAnswer) or answer.code == AnswerCode.WAITING:
                continue
            if answer.code == AnswerCode.FINISHED:
                return await self._async_read_outcome(answer, timeout_ms)
            return Err(_make_error(answer))
        return Err(ClaimError("the run did not end in time", ClaimProblem.TIMEOUT))

    async def _async_end(
        self, claim: Granted, ending: Ending, outcome: StoredOutcome | None, deadline: Millis
    ) -> ClaimAnswer | NoAnswer:
        request = claim.request
        return await self._owner_client.async_request(
            self._find_index(request),
            lambda remaining_ms: SettleMessage(
                request.customer,
                request.key,
                claim.claim_id,
                request.request_id,
                int(ending),
                remaining_ms,
                to_wire(outcome),
            ),
            deadline,
        )

    async def _async_end_or_retry(self, claim: Granted, ending: Ending) -> None:
        answer = await self._async_end(claim, ending, None, self._deadline(RELEASE_TIMEOUT_MS))
        if isinstance(answer, NoAnswer) or answer.code == AnswerCode.UNAVAILABLE:
            self._spawn(self._async_retry_ending(claim, ending, None))

    async def _async_retry_ending(
        self, claim: Granted, ending: Ending, outcome: StoredOutcome | None
    ) -> None:
        deadline = self._deadline(ENDING_RETRY_MS)
        while self._core.clock.now() < deadline:
            await self._core.clock.async_sleep(ENDING_RETRY_DELAY_MS)
            answer = await self._async_end(claim, ending, outcome, deadline)
            if not isinstance(answer, NoAnswer) and answer.code != AnswerCode.UNAVAILABLE:
                return
        _LOGGER.warning("Could not end the claim of request %s", claim.request.request_id)

    async def _async_settle_later(self, claim: Granted, outcome: Outcome) -> None:
        stored = await self._async_store_body(claim, outcome, self._deadline(ENDING_RETRY_MS))
        if stored is not None:
            await self._async_retry_ending(claim, Ending.SETTLED, stored)

    async def _async_store_body(
        self, claim: Granted, outcome: Outcome, deadline: Millis
    ) -> StoredOutcome | None:
        """Return the outcome, a large body stored as an object; None if not in time."""
        if len(outcome.body) <= MAX_INLINE_BODY_BYTES:
            return StoredOutcome(outcome.status, outcome.content_type, outcome.body)
        name = f"{OBJECT_PREFIX}{claim.claim_id}"
        while self._core.clock.now() < deadline:
            put = await self._core.platform.objects.async_put(name, outcome.body)
            if isinstance(put, Ok):
                return StoredOutcome(outcome.status, outcome.content_type, b"", name)
            await self._core.clock.async_sleep(RETRY_DELAY_MS)
        return None

    async def _async_read_outcome(
        self, answer: ClaimAnswer, timeout_ms: int
    ) -> Result[Outcome, ClaimError]:
        stored = from_wire(answer.outcome) or StoredOutcome(0, "")
        if not stored.body_object:
            return Ok(Outcome(stored.status, stored.content_type, stored.body))
        deadline = self._deadline(timeout_ms)
        while self._core.clock.now() < deadline:
            read = await self._core.platform.objects.async_get(stored.body_object)
            if isinstance(read, Ok):
                return Ok(Outcome(stored.status, stored.content_type, read.ok_value))
            await self._core.clock.async_sleep(RETRY_DELAY_MS)
        return Err(ClaimError("the outcome cannot be read now", ClaimProblem.TIMEOUT))

    def _find_index(self, request: ClaimRequest) -> int:
        return self._ledger.find_index(make_record_key(request.customer, request.key))

    def _deadline(self, timeout_ms: int) -> Millis:
        return Millis(self._core.clock.now() + timeout_ms)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _make_error(answer: ClaimAnswer) -> ClaimError:
    code = AnswerCode(answer.code)
    problem = _PROBLEMS.get(code, ClaimProblem.UNAVAILABLE)
    return ClaimError(answer.text or code.name.lower(), problem)

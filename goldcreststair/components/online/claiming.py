"""Runs a request under a claim, so that resends do not run it again."""

import asyncio
import hashlib
import logging
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.claims.protocols import (
    CLAIMS,
    ClaimError,
    ClaimProblem,
    ClaimRequest,
    Claims,
    Finished,
    Granted,
    Joined,
    Outcome,
)
from goldcreststair.components.online.const import (
    CLAIM_TIMEOUT_MS,
    RETRY_PAUSE_MS,
    SETTLE_TIMEOUT_MS,
)
from goldcreststair.core import Core
from goldcreststair.helpers.refusals import Refusal, RefusalCode, clear_not_run

_LOGGER = logging.getLogger(__name__)

Run = Callable[[], Awaitable[Result[Outcome, Refusal]]]


def make_request_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest that distinguishes a resend from another request under the same key."""
    return hashlib.sha256(f"{method} {path}\n".encode() + body).hexdigest()


class ClaimedRunner:
    """Claims a request, runs it and settles the claim.

    A run under a claim continues after its caller disconnects.
    """

    def __init__(self, core: Core) -> None:
        """Look up the claims; without them every request is refused."""
        self._clock: Clock = core.clock
        self._claims = _find_claims(core)
        self._runs: set[asyncio.Task[Result[Outcome, Refusal]]] = set()
        self._orphans: set[asyncio.Task[Result[Outcome, Refusal]]] = set()

    async def async_close(self) -> None:
        """Cancel the remaining runs."""
        for task in tuple(self._runs):
            task.cancel()
        await asyncio.gather(*self._runs, return_exceptions=True)

    def count_orphans(self) -> int:
        """Return how many runs continue although their caller disconnected."""
        return len(self._orphans)

    async def async_run(
        self, request: ClaimRequest, run: Run, deadline_at: Millis
    ) -> Result[Outcome, Refusal]:
        """Return the request's single outcome: run it, join its run, or read the stored outcome."""
        if self._claims is None:
            message = "requests that must run only once cannot be recorded here now"
            return Err(Refusal(message, RefusalCode.NOT_READY, 503, True, 1000))
        claimed = await self._claims.async_claim(
            request, min(CLAIM_TIMEOUT_MS, max(1, deadline_at - self._clock.now()))
        )
        if isinstance(claimed, Err):
            refusal = make_claim_refusal(claimed.err_value)
            unread = claimed.err_value.problem is ClaimProblem.UNAVAILABLE
            may_have_run = unread and request.is_caller_key
            return Err(clear_not_run(refusal) if may_have_run else refusal)
        match claimed.ok_value:
            case Finished(outcome):
                return Ok(outcome)
            case Joined() as joined:
                remaining = max(1, deadline_at - self._clock.now())
                waited = await self._claims.async_wait(joined, remaining)
                return waited.map_err(make_claim_refusal)
            case Granted() as granted:
                return await self._async_detach(self._claims, granted, run)

    async def _async_detach(
        self, claims: Claims, granted: Granted, run: Run
    ) -> Result[Outcome, Refusal]:
        # A caller that lost its connection resends and has to find this run or its outcome, so
        # the end of the connection does not end the run.
        task = asyncio.create_task(self._async_settle(claims, granted, run))
        self._runs.add(task)
        task.add_done_callback(self._runs.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.done():
                self._orphans.add(task)
                task.add_done_callback(self._orphans.discard)
            raise

    async def _async_settle(
        self, claims: Claims, granted: Granted, run: Run
    ) -> Result[Outcome, Refusal]:
        try:
            outcome = await run()
        except BaseException:
            await claims.async_abandon(granted)
            raise
        if isinstance(outcome, Ok):
            return await self._async_commit(claims, granted, outcome.ok_value)
        if outcome.err_value.not_run:
            await claims.async_release(granted)
        else:
            await claims.async_abandon(granted)
        return outcome

    async def _async_commit(
        self, claims: Claims, granted: Granted, outcome: Outcome
    ) -> Result[Outcome, Refusal]:
        give_up_at = self._clock.now() + SETTLE_TIMEOUT_MS
        while True:
            remaining = max(1, give_up_at - self._clock.now())
            settled = await claims.async_settle(granted, outcome, remaining)
            if isinstance(settled, Ok):
                return Ok(outcome)
            if self._clock.now() >= give_up_at:
                break
            await self._clock.async_sleep(RETRY_PAUSE_MS)
        # If the outcome were returned without being stored, a resend after the loss of this VM
        # could not get the same response. So the caller gets "outcome unknown" instead.
        _LOGGER.warning("Outcome of claim %s could not be stored", granted.claim_id)
        message = "it ran, but its outcome could not be stored"
        return Err(Refusal(message, RefusalCode.OUTCOME_UNKNOWN, 409, False))


def make_claim_refusal(error: ClaimError) -> Refusal:
    """Return the refusal for a failed claim."""
    match error.problem:
        case ClaimProblem.UNAVAILABLE:
            return Refusal(error.message, RefusalCode.NOT_READY, 503, True, 1000)
        case ClaimProblem.MISMATCH:
            message = "Idempotency-Key: used before with another body"
            return Refusal(message, RefusalCode.INVALID_REQUEST, 422, True)
        case ClaimProblem.OUTCOME_UNKNOWN:
            message = "it may have run; its outcome is not known and it is not run again"
            return Refusal(message, RefusalCode.OUTCOME_UNKNOWN, 409, False)
        case ClaimProblem.TIMEOUT:
            return Refusal(error.message, RefusalCode.DEADLINE, 504, False, 1000)


def _find_claims(core: Core) -> Claims | None:
    try:
        return core.get(CLAIMS)
    except KeyError:
        return None

"""In-memory claims, for tests of the components that use them."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok, Result

from goldcreststair.components.claims.protocols import (
    ClaimError,
    ClaimProblem,
    ClaimRequest,
    Finished,
    Granted,
    Joined,
    Outcome,
)


@dataclass(slots=True)
class _Claim:
    request: ClaimRequest
    outcome: Outcome | None = None
    unknown: bool = False
    settled: asyncio.Event = field(default_factory=asyncio.Event)


class FakeClaims:
    """Implements `Claims`; several cores may share one."""

    def __init__(self) -> None:
        self.unavailable = False
        self.settle_fails = False
        self._claims: dict[str, _Claim] = {}

    async def async_claim(
        self, request: ClaimRequest, timeout_ms: int
    ) -> Result[Granted | Joined | Finished, ClaimError]:
        await asyncio.sleep(0)
        if self.unavailable:
            return Err(ClaimError("store is down", ClaimProblem.UNAVAILABLE))
        claim_id = f"{request.customer}/{request.key}"
        known = self._claims.get(claim_id)
        if known is None or (known.unknown and request.repeatable):
            self._claims[claim_id] = _Claim(request)
            return Ok(Granted(claim_id, request))
        if known.request.fingerprint != request.fingerprint:
            return Err(ClaimError("another body", ClaimProblem.MISMATCH))
        if known.unknown:
            return Err(ClaimError("outcome lost", ClaimProblem.OUTCOME_UNKNOWN))
        if known.outcome is not None:
            return Ok(Finished(known.outcome))
        return Ok(Joined(claim_id, request, "session-1"))

    async def async_settle(
        self, claim: Granted, outcome: Outcome, timeout_ms: int
    ) -> Result[None, ClaimError]:
        if self.settle_fails:
            return Err(ClaimError("store is down", ClaimProblem.UNAVAILABLE))
        self._claims[claim.claim_id].outcome = outcome
        self._claims[claim.claim_id].settled.set()
        return Ok(None)

    async def async_release(self, claim: Granted) -> None:
        self._claims.pop(claim.claim_id).settled.set()

    async def async_abandon(self, claim: Granted) -> None:
        self._claims[claim.claim_id].unknown = True
        self._claims[claim.claim_id].settled.set()

    async def async_wait(self, claim: Joined, timeout_ms: int) -> Result[Outcome, ClaimError]:
        known = self._claims[claim.claim_id]
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await known.settled.wait()
        except TimeoutError:
            return Err(ClaimError("still running", ClaimProblem.TIMEOUT))
        if known.outcome is None:
            return Err(ClaimError("outcome lost", ClaimProblem.OUTCOME_UNKNOWN))
        return Ok(known.outcome)

"""Interface of claims for other components."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final, Protocol

from result import Result

from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError


class ClaimProblem(StrEnum):
    """Reason why there is no claim or outcome."""

    UNAVAILABLE = "unavailable"
    """Certainly no claim is held and nothing ran; try again later."""
    MISMATCH = "mismatch"
    """The key was used before with another body."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """The request may have run and its outcome was lost; it must not run again."""
    TIMEOUT = "timeout"
    """The joined run did not end in time; it may still end."""


@dataclass(frozen=True, slots=True)
class ClaimError(GoldcreststairError):
    """A failed call of claims."""

    problem: ClaimProblem = ClaimProblem.UNAVAILABLE


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Customer, key and request of a claim."""

    customer: str
    key: str
    """The caller's idempotency key, or the request id where the caller gave none."""
    fingerprint: str
    """SHA-256 of method, path and body, in hex."""
    request_id: str
    repeatable: bool
    """Whether a run whose outcome was lost may be run again."""

    @property
    def is_caller_key(self) -> bool:
        """Return whether the caller chose the key, so that earlier requests may have used it."""
        return self.key != self.request_id


@dataclass(frozen=True, slots=True)
class Outcome:
    """A complete final answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Granted:
    """The caller of `async_claim` runs the request, and must settle, release or abandon it."""

    claim_id: str
    request: ClaimRequest


@dataclass(frozen=True, slots=True)
class Joined:
    """Another run of the same request is in progress; wait for its outcome."""

    claim_id: str
    request: ClaimRequest
    runner: str
    """Session id of the VM that runs it."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The request ran before, with this outcome."""

    outcome: Outcome


class Claims(Protocol):
    """Claims that the owner of each key's partition keeps in the ledger."""

    async def async_claim(
        self, request: ClaimRequest, timeout_ms: int
    ) -> Result[Granted | Joined | Finished, ClaimError]:
        """Claim a key durably before its run, or return the run or outcome that it has already."""

    async def async_settle(
        self, claim: Granted, outcome: Outcome, timeout_ms: int
    ) -> Result[None, ClaimError]:
        """Make the outcome durable; the answer may be sent to the caller only after this."""

    async def async_release(self, claim: Granted) -> None:
        """Release a claim whose request certainly did not run."""

    async def async_abandon(self, claim: Granted) -> None:
        """Record that the run's outcome is permanently unknown."""

    async def async_wait(self, claim: Joined, timeout_ms: int) -> Result[Outcome, ClaimError]:
        """Wait for the outcome of a run that was joined."""


CLAIMS: Final = ComponentKey[Claims]("claims")

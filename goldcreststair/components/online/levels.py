"""Reports the result of each request to the service levels."""

from typing import Final

from result import Err, Result

from goldcreststair.clock import Millis
from goldcreststair.components.service_level.protocols import SERVICE_LEVELS
from goldcreststair.core import Core
from goldcreststair.helpers.refusals import Refusal, RefusalCode
from goldcreststair.upstreams.models import GenerateEnd

FAILURES: Final = frozenset(
    {
        RefusalCode.OVERLOADED,
        RefusalCode.NO_UPSTREAM,
        RefusalCode.UPSTREAM_FAILED,
        RefusalCode.DEADLINE,
        RefusalCode.OUTCOME_UNKNOWN,
        RefusalCode.NOT_READY,
    }
)
"""Refusals that count against the objectives; all others are caused by the caller."""


class LevelObserver:
    """Reports the time to first token, or the failure, of ended requests."""

    def __init__(self, core: Core) -> None:
        """Look up the service levels; without them nothing is reported."""
        self._clock = core.clock
        self._observer = core.find(SERVICE_LEVELS)

    def observe(
        self,
        customer: str,
        begun_at: Millis,
        first_token_at: Millis | None,
        ended: Result[GenerateEnd, Refusal],
    ) -> None:
        """Report one request; a response that is not streamed has its first token at its end."""
        if isinstance(ended, Err):
            if ended.err_value.code in FAILURES:
                self._observe(customer, None)
            return
        first_token_ms = (first_token_at or self._clock.now()) - begun_at
        self._observe(customer, first_token_ms)

    def _observe(self, customer: str, first_token_ms: int | None) -> None:
        if self._observer is not None:
            self._observer.observe(customer, first_token_ms)

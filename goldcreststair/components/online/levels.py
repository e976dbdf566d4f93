"""Tells service levels how each request fared."""

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
"""Refusals that count against the objectives; the others are the caller's own doing."""


class LevelObserver:
    """Sorts ended requests into good, late and failed ones."""

    def __init__(self, core: Core) -> None:
        """Use service levels if they are offered."""
        self._clock = core.clock
        self._observer = core.find(SERVICE_LEVELS)

    def observe(
        self,
        customer: str,
        begun_at: Millis,
        first_token_at: Millis | None,
        ended: Result[GenerateEnd, Refusal],
    ) -> None:
        """Count one request; an answer that is not streamed has its first token at its end."""
        if isinstance(ended, Err):
            if ended.err_value.code in FAILURES:
                self._observe(customer, None)
            return
        first_token_ms = (first_token_at or self._clock.now()) - begun_at
        self._observe(customer, first_token_ms)

    def _observe(self, customer: str, first_token_ms: int | None) -> None:
        if self._observer is not None:
            self._observer.observe(customer, first_token_ms)

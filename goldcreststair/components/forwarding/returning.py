"""Limits requests to a daemon that has just started, until it knows the runs of the others."""

from collections.abc import Iterable

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CallKind, Route
from goldcreststair.components.entry.opening import Arrival, ReturnOutcome
from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.features import Feature
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.refusals import Refusal, RefusalCode, make_retryable_refusal


class ReturnLimit:
    """Applies `AdmissionOpening` where `Feature.FLEET_RETURN` is active."""

    def __init__(self, core: GatewayCore) -> None:
        """Initialise from the components that were set up before."""
        self._core = core
        self._opening = core.get(ENTRY).opening
        self._features = core.get(FEATURES)
        self._placement = core.get(PLACEMENT).controller

    def check(self, route: Route, ends_at: Millis) -> Result[ReturnOutcome | None, Refusal]:
        """Return what admission counts as, or a refusal; None if there is no limit."""
        services = {weighted.service for weighted in route.services}
        if self._opening.is_open() or route.kind is CallKind.BATCH or not self._applies(services):
            return Ok(None)
        slots, running = self._count_slots(services)
        if not slots:
            # Placement refuses the request, and knows why there is no upstream.
            return Ok(None)
        run_ms = self._placement.read_run_times(route.services[0].service).run_ms
        left_ms = ends_at - self._core.clock.now()
        decision = self._opening.decide(Arrival(slots, running, run_ms, route.timeout_ms, left_ms))
        if decision.outcome is not ReturnOutcome.REFUSED:
            return Ok(decision.outcome)
        self.count(decision.outcome)
        message = "the runs of the other daemons are not known yet"
        retry_ms = decision.retry_after_ms
        return Err(make_retryable_refusal(message, RefusalCode.OVERLOADED, retry_ms))

    def count(self, outcome: ReturnOutcome | None) -> None:
        """Count a request that arrived before admission was open."""
        if outcome is not None:
            self._core.meters.count_returned(outcome.value)

    def _applies(self, services: Iterable[str]) -> bool:
        return any(self._features.is_active(Feature.FLEET_RETURN, name) for name in services)

    def _count_slots(self, services: Iterable[str]) -> tuple[int, int]:
        """Return the slots of all upstreams of the services, and this daemon's online runs there."""
        upstreams = self._placement.upstreams
        states = [state for name in services for state in upstreams.list_by_service(name)]
        runs = sum(upstreams.runs.read_own(hash_name(state.entry.name)).online for state in states)
        return sum(upstreams.count_slots(state) for state in states), runs

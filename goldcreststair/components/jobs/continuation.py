"""Decides whether an item goes on after its events, or starts over; no I/O.

Upstreams of several software versions serve side by side for hours while they are replaced, and the last
ones of a version are few. An item may wait for one of them, or start over at another version and lose
its events. It waits for as long as its events took: this costs at most twice the better choice.
"""

from collections.abc import Callable

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.catalogue.models import Route
from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.jobs.const import HOLD_RETRY_MS
from goldcreststair.components.jobs.estimate import WorkEstimate
from goldcreststair.components.jobs.registry import ItemProgress, OwnedJob
from goldcreststair.components.placement.controller import PlacementController
from goldcreststair.components.placement.models import PlacementQuery

OnStartOver = Callable[[OwnedJob, ItemProgress, str], None]
"""Called with an item that starts over, before its events are dropped, and the reason."""


class ItemContinuation:
    """Keeps the items of one daemon at the software that began them."""

    def __init__(
        self,
        clock: Clock,
        placement: PlacementController,
        estimate: WorkEstimate,
        on_start_over: OnStartOver,
    ) -> None:
        """Initialise with the upstreams and the estimate that the executor uses."""
        self._clock = clock
        self._placement = placement
        self._estimate = estimate
        self._on_start_over = on_start_over

    def check_origin(self, job: OwnedJob, item: ItemProgress, route: Route) -> None:
        """Let an item start over whose events cannot be continued on its route."""
        if not item.last_event:
            item.origin = None
        elif item.origin is None:
            self._start_over(job, item, "it is not known which software began it")
        elif item.origin.service not in {weighted.service for weighted in route.services}:
            self._start_over(job, item, f"its route no longer uses {item.origin.service}")

    def is_held(self, job: OwnedJob, item: ItemProgress, regions: Regions) -> bool:
        """Return whether an item without a slot needs the software that began it, unlike other items.

        It starts over with the next search for a slot if it has waited for too long, or if no upstream
        of that software is left.
        """
        origin = item.origin
        if origin is None:
            return False
        service, software = origin.service, origin.software_version
        if not self._placement.batch.needs_software(service, regions, software):
            return False
        query = PlacementQuery(service, regions=regions, software_version=software)
        if not self._placement.has_upstream(query):
            self._start_over(job, item, f"no upstream of {software} is left")
        elif self._has_waited_enough(item):
            self._start_over(job, item, f"upstreams of {software} have no free slot")
        else:
            item.not_before = Millis(self._clock.now() + HOLD_RETRY_MS)
        return True

    def _has_waited_enough(self, item: ItemProgress) -> bool:
        now = self._clock.now()
        if item.held_since is None:
            item.held_since = now
        return now - item.held_since >= self._estimate.estimate_repeat_ms(item)

    def _start_over(self, job: OwnedJob, item: ItemProgress, reason: str) -> None:
        self._on_start_over(job, item, reason)
        item.start_over()

"""Connects placement to upstreams and beacons, and probes upstreams that are down."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Final

from result import Err

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CATALOGUE, Catalogue
from goldcreststair.components.discovery.models import LIVE_UPSTREAMS, LiveUpstreams, UpstreamEntry
from goldcreststair.components.discovery.protocols import UPSTREAM_LIST
from goldcreststair.components.evacuation.models import EVACUATIONS, Evacuations
from goldcreststair.components.fleet.models import FLEET, Fleet
from goldcreststair.components.fleet.protocols import FLEET_LINKS, DatagramKind, hash_name
from goldcreststair.components.outliers.protocols import OUTLIERS
from goldcreststair.components.placement.const import (
    CONNECTION_SHARE,
    FULL_MS,
    MIN_CONNECTIONS,
    PROBE_MS,
)
from goldcreststair.components.placement.controller import PlacementController
from goldcreststair.components.placement.loads import Runs
from goldcreststair.components.placement.models import RunOutcome
from goldcreststair.components.upstream_pace.protocols import UPSTREAM_PACE
from goldcreststair.core import ComponentKey
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.upstreams.dialect import RunHead, UpstreamLoad
from goldcreststair.upstreams.runner import CONNECT_TIMEOUT_MS
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import (
    BatchRuns,
    Beacon,
    UpstreamRuns,
    YieldNotice,
)

_LOGGER = logging.getLogger(__name__)

ONLINE_RUN: Final = Runs(online=1)
OnPreempt = Callable[[str, int], None]
"""Called with an upstream's name and the number of batch runs that this daemon has to preempt
there."""
OnRunEnd = Callable[[str], None]
"""Called with the name of the upstream that the run was at."""


class PlacementService:
    """Chooses upstreams, and notifies batch when runs have to be preempted."""

    def __init__(self, core: GatewayCore) -> None:
        """Create the service and register for beacons and notices."""
        self._core = core
        self._pace = core.get(UPSTREAM_PACE)
        self._outliers = core.get(OUTLIERS)
        self.controller = PlacementController(
            core.clock, core.random, core.settings.data_centre, self._pace, self._outliers
        )
        self.controller.upstreams.upstream_list = core.get(UPSTREAM_LIST)
        self._refused_until: dict[str, Millis] = {}
        """Upstreams that refused a request of this daemon as full, and until when this counts."""
        self._links = core.get(FLEET_LINKS)
        self._links.add_beacon_contributor(self._contribute)
        self._links.subscribe_beacons(self._on_beacon, self.controller.runs.forget)
        self._links.subscribe_batch_runs(self._on_batch)
        self._links.register_notice_handler(DatagramKind.YIELD_NOTICE, self._on_preempt_notice)
        core.on_process_resumed.append(lambda _: self._on_resumed())
        self._preempt_handler: OnPreempt = lambda name, count: None
        self._run_end_handlers: list[OnRunEnd] = []
        self._unsubscribe: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._confirming: asyncio.Task[bool] | None = None

    async def async_start(self) -> None:
        """Subscribe to upstreams, evacuations, catalogue and fleet, and start the probes."""
        board = self._core.blackboard
        self._unsubscribe = [
            board.subscribe(LIVE_UPSTREAMS, self._on_upstreams),
            board.subscribe(EVACUATIONS, self._on_evacuations),
            board.subscribe(CATALOGUE, self._on_catalogue),
            board.subscribe(FLEET, self._on_fleet),
        ]
        self._on_catalogue(board.read(CATALOGUE))
        self._on_fleet(board.read(FLEET))
        self._on_upstreams(board.read(LIVE_UPSTREAMS))
        self._on_evacuations(board.read(EVACUATIONS))
        self._tasks = [asyncio.create_task(self._async_tick())]

    async def async_close(self) -> None:
        """Unsubscribe, stop the probes and close the connections to upstreams."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        self._unsubscribe.clear()
        running = [*self._tasks, *([self._confirming] if self._confirming else [])]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._tasks.clear()
        self._core.runner.pool.close()

    def on_preempt(self, handler: OnPreempt) -> None:
        """Set the handler that is called when batch runs have to be preempted."""
        self._preempt_handler = handler

    def on_run_end(self, handler: OnRunEnd) -> None:
        """Add a handler that is called after online runs of this daemon have ended."""
        self._run_end_handlers.append(handler)

    def begin(self, name: str, runs: Runs = ONLINE_RUN) -> None:
        """Record that a run begins, announce it, and preempt batch runs if needed."""
        self.controller.begin(name, runs)
        if runs.online:
            self._outliers.record_begin(name)
        self._links.schedule_beacon()
        if runs.online and not self._preempt_own(name):
            self._request_preemption(name)

    def end(self, name: str, runs: Runs = ONLINE_RUN) -> None:
        """Record that a run has ended, and announce it to the other daemons."""
        self.controller.end(name, runs)
        self._links.schedule_beacon()
        if runs.online:
            for handler in self._run_end_handlers:
                handler(name)

    def record_outcome(
        self,
        entry: UpstreamEntry,
        outcome: RunOutcome,
        first_ms: int | None,
        began_at: Millis | None = None,
    ) -> None:
        """Record the end of a run.

        `first_ms` is the time to its first event, or None where it had to wait for a slot or had none.
        `began_at` is None for a batch run.
        """
        self._outliers.record_outcome(entry, outcome, first_ms, began_at)
        if outcome is RunOutcome.REFUSED and self._outliers.is_active(entry.service):
            self._refused_until[entry.name] = Millis(self._core.clock.now() + FULL_MS)
            self._links.schedule_beacon()
            self._core.clock.call_later(FULL_MS, self._links.schedule_beacon)

    def read_slow_ms(self, service: str) -> int | None:
        """Return the time after which a first event counts as a failure, or None."""
        return self._outliers.read_slow_ms(service)

    def read_reported_factor(self, entry: UpstreamEntry, load: UpstreamLoad | None) -> float:
        """Return how much longer than usual an upstream reports work to take there; at least 1."""
        return self._pace.read_reported_factor(entry.name, load)

    def mark_down(
        self, entry: UpstreamEntry, reason: str, subject: str, *, refuses_connections: bool
    ) -> None:
        """Mark an upstream as down: it does not accept connections, or is silent.

        `subject` is the request or item that detected it.
        """
        if not self.controller.upstreams.is_down(entry.name):
            extra = {"upstream": entry.name, "address": entry.address, "met_by": subject}
            _LOGGER.warning("Upstream down", extra=extra | {"reason": reason})
        self.controller.upstreams.mark_down(entry.name)
        if refuses_connections:
            self.controller.upstreams.mark_interrupted(entry.name)
        self._core.runner.pool.close_idle(entry.address)
        self._links.schedule_beacon()

    def record_head(self, name: str, head: RunHead) -> None:
        """Record progress, and the load and the cold state reported in the head of an answer."""
        self.controller.upstreams.record_progress(name)
        self._pace.record_head(name, head)
        if self.controller.upstreams.mark_cold(name, head.cold_ms):
            extra = {"upstream": name, "cold_ms": head.cold_ms}
            _LOGGER.info("Upstream reports in an answer that it is cold", extra=extra)

    def record_events(
        self, entry: UpstreamEntry, first_ms: float | None, gap_ms: float | None
    ) -> None:
        """Record the times of a run: to its first event, and between two events.

        None for a time that was not measured, or not by the upstream alone.
        """
        self._pace.record_events(entry, first_ms, gap_ms)

    def has_connections(self, entry: UpstreamEntry) -> bool:
        """Return whether the connection limit of an upstream allows one more run."""
        pool = self._core.runner.pool
        if pool.has_idle(entry.address):
            return True
        service = self._core.blackboard.read(CATALOGUE).services.get(entry.service)
        if service is None or not service.max_connections:
            return True
        daemons = max(1, len(self._core.blackboard.read(FLEET).vms))
        share = int(service.max_connections * CONNECTION_SHARE / daemons)
        return pool.count_open(entry.address) < max(MIN_CONNECTIONS, share)

    def _on_resumed(self) -> None:
        self.controller.upstreams.cold_limiter.reset_after_pause()
        self.controller.upstreams.mark_process_resumed()

    def _on_upstreams(self, live: LiveUpstreams) -> None:
        self.controller.upstreams.apply_upstreams(live)

    def _on_catalogue(self, catalogue: Catalogue) -> None:
        self.controller.upstreams.apply_services(catalogue.services)

    def _on_fleet(self, fleet: Fleet) -> None:
        if fleet.loaded:
            self.controller.upstreams.cold_limiter.apply_sessions(
                fleet.own_session, fleet.vms.keys() - fleet.lost
            )
        known = {vm.data_centre: vm.region for vm in fleet.vms.values()}
        self.controller.upstreams.apply_regions(known | self._core.settings.regions)

    def _on_evacuations(self, evacuations: Evacuations) -> None:
        self.controller.upstreams.apply_evacuations(evacuations.data_centres)

    def _contribute(self, beacon: Beacon) -> None:
        own = self.controller.runs.list_own()
        self._fill_refusing(own)
        beacon.runs = [
            UpstreamRuns(key, runs.online, runs.batch, runs.late or None)
            for key, runs in own.items()
        ]
        down = self.controller.upstreams.list_down()
        beacon.suspects = [hash_name(entry.name) for entry in down]

    def _fill_refusing(self, own: dict[int, Runs]) -> None:
        """Raise the online runs at upstreams that refused as full, so that other daemons see it."""
        now = self._core.clock.now()
        for name in [name for name, until in self._refused_until.items() if until <= now]:
            del self._refused_until[name]
        for name in self._refused_until:
            state = self.controller.upstreams.find_state(name)
            if state is None:
                continue
            # The sum of all daemons fills the slots and no more: above, batch would be preempted.
            upstreams = self.controller.upstreams
            free = upstreams.count_slots(state) - upstreams.count_runs(state).total
            known = own.get(state.key, Runs())
            if free > 0:
                own[state.key] = Runs(known.online + free, known.batch, known.late)

    def _on_beacon(self, session: str, beacon: Beacon) -> None:
        runs = {
            run.upstream: Runs(run.online, run.batch, run.late or 0) for run in beacon.runs or ()
        }
        self.controller.runs.apply_peer_runs(session, runs)
        if self._links.has_mesh():
            self.controller.runs.digest_sequence = None
            self.controller.runs.apply_batch_runs(None)
        else:
            self.controller.runs.digest_sequence = beacon.sequence
        self.controller.upstreams.mark_suspected(beacon.suspects or ())
        for name in self.controller.upstreams.list_names(runs):
            self._preempt_own(name)

    def _on_batch(self, batch: Sequence[BatchRuns]) -> None:
        by_upstream: dict[int, dict[int, Runs]] = {}
        for reported in batch:
            runs = Runs(batch=reported.batch, late=reported.late or 0)
            by_upstream.setdefault(reported.upstream, {})[reported.daemon] = runs
        self.controller.runs.apply_batch_runs(by_upstream)

    def _preempt_own(self, name: str) -> bool:
        count = self.controller.batch.count_runs_to_preempt(name, self._core.session_id)
        if count:
            self._preempt_handler(name, count)
        return bool(count)

    def _request_preemption(self, name: str) -> None:
        daemon = self.controller.batch.choose_daemon_to_preempt(name)
        if daemon is not None:
            notice = encode_struct(YieldNotice(hash_name(name)))
            self._links.notify_by_hash(daemon, DatagramKind.YIELD_NOTICE, notice)

    def _on_preempt_notice(self, _: str, payload: bytes) -> None:
        decoded = decode_struct(YieldNotice, payload)
        if isinstance(decoded, Err):
            _LOGGER.warning("Preemption notice unreadable: %s", decoded.err_value.message)
            return
        key = decoded.ok_value.upstream
        for name in self.controller.upstreams.list_names([key]):
            if self.controller.runs.read_own(key).batch:
                self._preempt_handler(name, 1)

    async def _async_tick(self) -> None:
        while True:
            await self._core.clock.async_sleep(PROBE_MS)
            self.controller.runs.expire()
            upstreams = self.controller.upstreams
            if upstreams.needs_confirmation():
                self._confirm_list()
            await asyncio.gather(*(self._async_probe(entry) for entry in upstreams.list_probed()))

    def _confirm_list(self) -> None:
        # In a task of its own, as a slow store would delay the probes.
        if self._confirming is None or self._confirming.done():
            upstream_list = self.controller.upstreams.upstream_list
            self._confirming = asyncio.create_task(upstream_list.async_confirm())

    async def _async_probe(self, entry: UpstreamEntry) -> None:
        # Opening a connection costs an upstream nothing and shows at once that it is back.
        pool = self._core.runner.pool
        if await pool.async_warm(entry.address, CONNECT_TIMEOUT_MS):
            _LOGGER.info("Upstream up", extra={"upstream": entry.name, "address": entry.address})
            self.controller.upstreams.mark_up(entry.name)
            self._links.schedule_beacon()
        else:
            self.controller.upstreams.mark_interrupted(entry.name)


PLACEMENT: Final = ComponentKey[PlacementService]("placement")

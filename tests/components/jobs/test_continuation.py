"""Tests of items that wait for the software that began them, or start over."""

import random
from dataclasses import replace

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CallKind, Route, WeightedService
from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.jobs.continuation import ItemContinuation
from goldcreststair.components.jobs.estimate import DEFAULT_EVENT_MS, WorkEstimate
from goldcreststair.components.jobs.models import JobItem
from goldcreststair.components.jobs.registry import ItemProgress
from goldcreststair.components.placement.controller import PlacementController
from goldcreststair.components.placement.loads import Runs
from goldcreststair.components.stream_origins.models import StreamOrigin
from standins.virtual_time import ManualClock
from tests.components.jobs.test_checkpoints import make_job

EVENTS = 20
EVENTS_MS = round(EVENTS * DEFAULT_EVENT_MS)
V1 = StreamOrigin("s", "v1")
OLD = UpstreamEntry("old", "s", "old:80", "dc", 8, False, 1, software_version="v1")
NEW = replace(OLD, name="new", address="new:80", software_version="v2")


class Setup:
    """An item begun at v1, at upstreams that it may use."""

    def __init__(self, *entries: UpstreamEntry, origin: StreamOrigin | None = V1) -> None:
        self.clock = ManualClock()
        self.placement = PlacementController(self.clock, random.Random(1), "dc")
        live = LiveUpstreams({entry.name: entry for entry in entries}, known=True)
        self.placement.upstreams.apply_upstreams(live)
        self.item = ItemProgress(JobItem("i", "/", (), b"", 1), 0, origin=origin)
        self.item.last_event, self.item.data = EVENTS, [b"x"]
        self.job = make_job(self.item)
        self.reasons: list[str] = []
        self.continuation = ItemContinuation(
            self.clock,
            self.placement,
            WorkEstimate(),
            lambda job, item, reason: self.reasons.append(reason),
        )


@pytest.mark.parametrize(
    ("waited_ms", "starts_over"), [(0, False), (EVENTS_MS - 1, False), (EVENTS_MS, True)]
)
def test_item_waits_for_its_software_as_long_as_its_events_took(
    waited_ms: int, starts_over: bool
) -> None:
    """Guards against items that lose their events for a short wait, or wait for good beside free slots."""
    setup = Setup(OLD, NEW)
    setup.placement.begin("old", Runs(online=8))
    assert setup.continuation.is_held(setup.job, setup.item, None)
    setup.clock.advance(waited_ms)
    assert setup.continuation.is_held(setup.job, setup.item, None)
    assert bool(setup.reasons) is starts_over
    assert setup.item.last_event == (0 if starts_over else EVENTS)
    assert starts_over or setup.item.not_before > Millis(setup.clock.now())


@pytest.mark.parametrize(
    ("entries", "held", "last_event"),
    [
        # Its upstream has a free slot: something else keeps it waiting, as it does other items.
        ((OLD, NEW), False, EVENTS),
        # No upstream of its software is left, or that one drains.
        ((NEW,), True, 0),
        ((replace(OLD, draining=True), NEW), True, 0),
        # The list is empty, as right after a start.
        ((), False, EVENTS),
    ],
)
def test_item_starts_over_only_if_its_software_is_gone(
    entries: tuple[UpstreamEntry, ...], held: bool, last_event: int
) -> None:
    """Guards against events that are dropped although they can be continued."""
    setup = Setup(*entries)
    assert setup.continuation.is_held(setup.job, setup.item, None) is held
    assert setup.item.last_event == last_event


@pytest.mark.parametrize(
    ("origin", "last_event"),
    [(V1, EVENTS), (None, 0), (StreamOrigin("elsewhere", "v1"), 0)],
)
def test_item_of_another_origin_starts_over(origin: StreamOrigin | None, last_event: int) -> None:
    """Guards against joining events of unknown software, or of a service that the route has left."""
    setup = Setup(OLD, origin=origin)
    services = (WeightedService("s", 1.0),)
    route = Route("r", "h", "/", CallKind.BATCH, services, 1, 1, 1)
    setup.continuation.check_origin(setup.job, setup.item, route)
    assert setup.item.last_event == last_event

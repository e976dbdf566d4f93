"""Tests of whether an upstream certainly runs the software that its entry names."""

from dataclasses import dataclass, replace

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.placement.const import REGISTRATION_MS
from goldcreststair.components.placement.upstream_table import UpstreamTable
from standins.virtual_time import ManualClock

ENTRY = UpstreamEntry("u", "s", "u:80", "dc", 8, False, 1, software_version="v1")
LONG_MS = 10_000


@dataclass(slots=True)
class FakeList:
    """The age of the list of upstreams."""

    confirmed_at: int = 0

    def read_confirmed_at(self) -> Millis:
        return Millis(self.confirmed_at)

    def read_followed_since(self) -> Millis:
        return Millis(0)

    async def async_confirm(self) -> bool:
        return True


def make_table(clock: ManualClock, age: FakeList) -> UpstreamTable:
    table = UpstreamTable(clock)
    table.upstream_list = age
    table.apply_upstreams(LiveUpstreams({"u": ENTRY}, known=True))
    return table


@pytest.mark.parametrize(
    ("down_ms", "up_ms", "software"),
    [
        # However long it was down, its new entry comes after it accepts connections.
        (LONG_MS, 0, None),
        (LONG_MS, REGISTRATION_MS - 1, None),
        (0, REGISTRATION_MS, "v1"),
        (LONG_MS, None, None),
    ],
)
def test_upstream_that_refused_connections_is_distrusted(
    down_ms: int, up_ms: int | None, software: str | None
) -> None:
    """Guards against continuing a stream at an upstream that has just restarted with other software."""
    clock, age = ManualClock(), FakeList()
    table = make_table(clock, age)
    table.mark_interrupted("u")
    clock.advance(down_ms)
    assert [entry.name for entry in table.list_probed()] == ["u"]
    if up_ms is not None:
        table.mark_up("u")
        clock.advance(up_ms)
        assert table.list_probed() == []
    age.confirmed_at = clock.now()
    assert table.find_software("u") == software


def test_new_entry_of_a_restarted_upstream_is_trusted() -> None:
    table = make_table(ManualClock(), FakeList())
    table.mark_interrupted("u")
    restarted = replace(ENTRY, started_ms=2, software_version="v2")
    table.apply_upstreams(LiveUpstreams({"u": restarted}, known=True))
    assert table.find_software("u") == "v2"


@pytest.mark.parametrize(("confirmed_after_ms", "software"), [(0, None), (REGISTRATION_MS, "v1")])
def test_old_list_does_not_settle_an_interruption(
    confirmed_after_ms: int, software: str | None
) -> None:
    """Guards against an upstream that restarts while its new entry cannot be updated, or does not arrive."""
    clock, age = ManualClock(), FakeList()
    table = make_table(clock, age)
    table.mark_interrupted("u")
    table.mark_up("u")
    age.confirmed_at = clock.now() + confirmed_after_ms
    clock.advance(LONG_MS)
    assert table.find_software("u") == software
    assert table.needs_confirmation() == (software is None)


@pytest.mark.parametrize("up_ms", [None, 0, REGISTRATION_MS - 1])
def test_confirmation_is_not_needed_before_the_new_entry_can_be_known(up_ms: int | None) -> None:
    """Guards against calls of the store that cannot settle anything."""
    clock = ManualClock()
    table = make_table(clock, FakeList())
    assert not table.needs_confirmation()
    table.mark_interrupted("u")
    clock.advance(LONG_MS)
    if up_ms is not None:
        table.mark_up("u")
        clock.advance(up_ms)
    assert not table.needs_confirmation()


def test_silent_upstream_is_trusted() -> None:
    """Guards against streams that cannot go on because their upstream was silent for a moment."""
    table = make_table(ManualClock(), FakeList())
    table.mark_down("u")
    assert table.find_software("u") == "v1"


def test_pause_of_this_process_is_settled_by_the_next_list() -> None:
    """Guards against restarts that went unnoticed while this process was paused."""
    clock = ManualClock()
    # It was confirmed a moment before the pause, or read from a socket after it.
    age = FakeList(confirmed_at=clock.now() - 1)
    table = make_table(clock, age)
    table.mark_process_resumed()
    assert table.find_software("u") is None
    age.confirmed_at = clock.now()
    assert table.find_software("u") == "v1"

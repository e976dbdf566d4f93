"""Which upstreams may get work while the store comes and goes."""

import pytest

from goldcreststair.components.discovery.const import EXPIRY_GRACE_MS, OUTAGE_MEMORY_MS
from goldcreststair.components.discovery.controller import DiscoveryController
from goldcreststair.components.discovery.models import UpstreamEntry
from standins.virtual_time import ManualClock


def make_entry(name: str, address: str = "", started_ms: int = 1, **fields: bool) -> UpstreamEntry:
    """Return an entry."""
    draining = fields.get("draining", False)
    return UpstreamEntry(name, "s", address or f"{name}:80", "dc", 8, draining, started_ms)


def list_names(controller: DiscoveryController) -> list[str]:
    """Return the upstreams that may get work."""
    return sorted(controller.read().by_name)


def test_an_entry_that_goes_while_the_store_is_well_is_gone_at_once() -> None:
    """An upstream left, and requests reached it seconds later: its entry's end is the only word of it."""
    controller = DiscoveryController(ManualClock())
    controller.replace_all([make_entry("a"), make_entry("b")])
    controller.remove("a")
    assert list_names(controller) == ["b"]


def test_entries_that_run_out_during_an_outage_are_kept_for_a_while() -> None:
    """The store came back after an outage, and every request was refused for two seconds.

    Nobody had been able to renew an entry: the list was empty at its return. Upstreams that live register
    again within about two seconds; the others are gone then.
    """
    clock = ManualClock()
    controller = DiscoveryController(clock)
    controller.replace_all([make_entry("a"), make_entry("b")])
    controller.record_contact(reached=False)
    clock.advance(5_000)
    controller.record_contact(reached=True)
    controller.replace_all([])
    assert list_names(controller) == ["a", "b"]
    assert controller.read().expired == {"a", "b"}
    clock.advance(EXPIRY_GRACE_MS - 1)
    controller.put(make_entry("a"))
    controller.expire()
    assert controller.read().expired == {"b"}
    clock.advance(1)
    controller.expire()
    assert list_names(controller) == ["a"]


def test_an_upstream_that_was_draining_is_not_kept() -> None:
    controller = DiscoveryController(ManualClock())
    controller.replace_all([make_entry("a", draining=True)])
    controller.record_contact(reached=False)
    controller.remove("a")
    assert list_names(controller) == []


def test_long_after_an_outage_removal_counts_at_once_again() -> None:
    clock = ManualClock()
    controller = DiscoveryController(clock)
    controller.replace_all([make_entry("a")])
    controller.record_contact(reached=False)
    controller.record_contact(reached=True)
    clock.advance(OUTAGE_MEMORY_MS + 1)
    controller.remove("a")
    assert list_names(controller) == []


def test_an_address_belongs_to_the_upstream_that_started_last() -> None:
    """Requests for one service ran at another: a lost upstream's address had been given away."""
    controller = DiscoveryController(ManualClock())
    controller.put(make_entry("old", "x:80", 1))
    controller.put(make_entry("new", "x:80", 2))
    assert list_names(controller) == ["new"]
    controller.put(make_entry("old", "x:80", 1))
    assert list_names(controller) == ["new"]


@pytest.mark.parametrize(
    ("words", "cold"),
    [
        ([3_000], True),
        ([3_000, 0], False),
        ([0, None], False),
        ([3_000, None], True),
        ([None], True),
    ],
)
def test_an_upstream_is_cold_by_its_last_word_that_can_be_read(
    words: list[int | None], cold: bool
) -> None:
    """Guards against a field that cannot be read and opens an upstream, or shuts it for good."""
    clock = ManualClock()
    controller = DiscoveryController(clock)
    for word in words:
        controller.put(UpstreamEntry("u", "s", "u:80", "dc0", 8, False, 1, word))
    assert ("u" in controller.read().cold_until) == cold
    assert all(until <= clock.now() + 3_000 for until in controller.read().cold_until.values())

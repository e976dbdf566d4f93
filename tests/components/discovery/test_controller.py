"""Upstreams that may get work during and after store outages."""

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
    """Return the names of the upstreams that may get work."""
    return sorted(controller.read().by_name)


def test_entry_removed_without_an_outage_is_dropped_at_once() -> None:
    """An upstream left and got requests seconds later: only its entry's removal shows this."""
    controller = DiscoveryController(ManualClock())
    controller.replace_all([make_entry("a"), make_entry("b")])
    controller.remove("a")
    assert list_names(controller) == ["b"]


def test_entries_that_expire_during_an_outage_are_kept_for_a_while() -> None:
    """After a store outage every request was refused for two seconds.

    No entry could be renewed during the outage, so the list was empty after it. Live upstreams
    register again within about two seconds; the others are dropped then.
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


def test_expired_entry_of_a_draining_upstream_is_not_kept() -> None:
    controller = DiscoveryController(ManualClock())
    controller.replace_all([make_entry("a", draining=True)])
    controller.record_contact(reached=False)
    controller.remove("a")
    assert list_names(controller) == []


def test_removal_long_after_an_outage_applies_at_once() -> None:
    clock = ManualClock()
    controller = DiscoveryController(clock)
    controller.replace_all([make_entry("a")])
    controller.record_contact(reached=False)
    controller.record_contact(reached=True)
    clock.advance(OUTAGE_MEMORY_MS + 1)
    controller.remove("a")
    assert list_names(controller) == []


def test_address_belongs_to_the_upstream_that_started_last() -> None:
    """Requests ran at another service: the address of a lost upstream had been reassigned."""
    controller = DiscoveryController(ManualClock())
    controller.put(make_entry("old", "x:80", 1))
    controller.put(make_entry("new", "x:80", 2))
    assert list_names(controller) == ["new"]
    controller.put(make_entry("old", "x:80", 1))
    assert list_names(controller) == ["new"]


@pytest.mark.parametrize(
    ("reports", "cold"),
    [
        ([3_000], True),
        ([3_000, 0], False),
        ([0, None], False),
        ([3_000, None], True),
        ([None], True),
    ],
)
def test_last_readable_cold_field_decides(reports: list[int | None], cold: bool) -> None:
    """Guards against an unreadable field that marks an upstream as warm, or as cold forever."""
    clock = ManualClock()
    controller = DiscoveryController(clock)
    for cold_ms in reports:
        controller.put(UpstreamEntry("u", "s", "u:80", "dc0", 8, False, 1, cold_ms))
    assert ("u" in controller.read().cold_until) == cold
    assert all(until <= clock.now() + 3_000 for until in controller.read().cold_until.values())

"""The digest of shared sets depends on their unexpired items, not on how these were added."""

from goldcreststair.components.membership.shared_sets import Item, SharedSetTable
from standins.virtual_time import ManualClock


def test_digest_depends_on_unexpired_items() -> None:
    clock = ManualClock()
    passed_on: list[list[Item]] = []
    left = SharedSetTable(clock, passed_on.append)
    right = SharedSetTable(clock, lambda items: None)
    left.add("a", "x")
    left.add("a", "y", 1000)
    right.merge([Item("a", "y", 1000), Item("a", "x", 0), Item("a", "x", 0)])
    assert left.digest == right.digest
    left.add("a", "x")
    assert [len(items) for items in passed_on] == [1, 1]
    clock.advance(1000)
    fresh = SharedSetTable(clock, lambda items: None)
    fresh.add("a", "x")
    assert left.digest == right.digest == fresh.digest
    assert left.list_items() == [Item("a", "x", 0)]
    left.merge([Item("a", "y", 1)])
    assert not left.contains("a", "y")

"""Precedence between the sources of evacuations."""

import logging

import pytest

from goldcreststair.components.evacuation.controller import EvacuationController
from goldcreststair.components.evacuation.models import Evacuations
from goldcreststair.store.rows import RowKey, StoredRow
from standins.gateways import EVACUATION_PREFIX, PlainEvacuationReader


def make_row(name: str, version: int, *, deleted: bool = False) -> StoredRow:
    """Return the row of an evacuation."""
    return StoredRow(RowKey("operators", "", EVACUATION_PREFIX + name), b"{}", version, deleted)


OTHER = StoredRow(RowKey("operators", "", "catalogue"), b"", 3)


@pytest.fixture
def controller() -> EvacuationController:
    """Return a controller with one evacuation."""
    controller = EvacuationController(PlainEvacuationReader())
    controller.replace_all([OTHER, make_row("dc1", 10)], 12)
    return controller


def test_unrelated_rows_are_ignored(controller: EvacuationController) -> None:
    assert controller.read() == Evacuations(12, frozenset({"dc1"}))


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (make_row("dc2", 13), {"dc1", "dc2"}),
        (make_row("dc1", 13, deleted=True), set()),
        (make_row("dc2", 11), {"dc1"}),
        (make_row("dc1", 11, deleted=True), {"dc1"}),
    ],
)
def test_only_newer_changes_are_applied(
    controller: EvacuationController, change: StoredRow, expected: set[str]
) -> None:
    """Guards against a feed that replays rows older than the state reported by another daemon."""
    controller.apply_changes([change])
    assert controller.read().data_centres == expected


@pytest.mark.parametrize(("version", "expected"), [(20, {"dc3"}), (12, {"dc1"}), (5, {"dc1"})])
def test_state_of_another_daemon_is_applied_if_newer(
    controller: EvacuationController, version: int, expected: set[str]
) -> None:
    controller.apply_peer_state(Evacuations(version, frozenset({"dc3"})))
    assert controller.read().data_centres == expected


def test_full_read_ends_evacuations_whose_end_was_missed(
    controller: EvacuationController,
) -> None:
    """Guards against a data centre that stays evacuated after the store has lost its history."""
    controller.replace_all([OTHER], 30)
    assert controller.read() == Evacuations(30, frozenset())


def test_row_without_a_name_is_ignored_and_logged_once(
    controller: EvacuationController, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a malformed row that ends active evacuations or floods the log."""
    with caplog.at_level(logging.WARNING):
        for version in (13, 14):
            controller.apply_changes([make_row("", version)])
    assert controller.read().data_centres == {"dc1"}
    assert [record.message for record in caplog.records] == ["Evacuation unreadable: no name"]

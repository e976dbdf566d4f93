"""Which source of evacuations holds."""

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
    """Return a controller that knows of one evacuation."""
    controller = EvacuationController(PlainEvacuationReader())
    controller.replace_all([OTHER, make_row("dc1", 10)], 12)
    return controller


def test_rows_about_other_matters_are_passed_over(controller: EvacuationController) -> None:
    assert controller.read() == Evacuations(12, frozenset({"dc1"}))


@pytest.mark.parametrize(
    ("change", "left"),
    [
        (make_row("dc2", 13), {"dc1", "dc2"}),
        (make_row("dc1", 13, deleted=True), set()),
        (make_row("dc2", 11), {"dc1"}),
        (make_row("dc1", 11, deleted=True), {"dc1"}),
    ],
)
def test_only_newer_changes_count(
    controller: EvacuationController, change: StoredRow, left: set[str]
) -> None:
    """Guards against a feed that replays what another daemon's word has overtaken."""
    controller.apply_changes([change])
    assert controller.read().data_centres == left


@pytest.mark.parametrize(("version", "left"), [(20, {"dc3"}), (12, {"dc1"}), (5, {"dc1"})])
def test_another_daemons_word_counts_if_it_is_newer(
    controller: EvacuationController, version: int, left: set[str]
) -> None:
    controller.take_word(Evacuations(version, frozenset({"dc3"})))
    assert controller.read().data_centres == left


def test_a_whole_read_ends_an_evacuation_whose_end_was_missed(
    controller: EvacuationController,
) -> None:
    """Guards against a data centre that stays shut after the store has lost its history."""
    controller.replace_all([OTHER], 30)
    assert controller.read() == Evacuations(30, frozenset())


def test_a_row_without_a_name_shuts_nothing_and_is_logged_once(
    controller: EvacuationController, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a malformed row that ends the evacuations in force or fills the log."""
    with caplog.at_level(logging.WARNING):
        for version in (13, 14):
            controller.apply_changes([make_row("", version)])
    assert controller.read().data_centres == {"dc1"}
    assert [record.message for record in caplog.records] == ["Evacuation unreadable: no name"]

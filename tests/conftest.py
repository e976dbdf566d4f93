"""Marks exactly the tests listed in KNOWN-RED.txt as expected failures, and prints them."""

from collections.abc import Iterable

import pytest

from tests.helpers.known_red import read_known_red


def pytest_collection_modifyitems(config: pytest.Config, items: Iterable[pytest.Item]) -> None:
    known = read_known_red(config.rootpath)
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    known = read_known_red(config.rootpath)
    if known:
        terminalreporter.section("KNOWN-RED.txt: passed over, to be mended first")
    for test, reason in known.items():
        terminalreporter.write_line(f"{test} | {reason}")

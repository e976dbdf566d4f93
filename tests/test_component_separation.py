"""The components of each of the two daemons; neither daemon's components may use the other's."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from goldcreststair.bootstrap import COMPONENTS
from goldcreststair.gateway import GATEWAY_COMPONENTS

ROOT = Path(__file__).parents[1] / "goldcreststair" / "components"
PREFIX = "goldcreststair.components."
GATEWAY_PACKAGES = frozenset(
    (
        "catalogue",
        "crash_marks",
        "discovery",
        "entry",
        "evacuation",
        "features",
        "fleet",
        "forwarding",
        "jobs",
        "metrics",
        "operator_rows",
        "outliers",
        "placement",
        "quotas",
        "reader_buffers",
        "requests",
        "stream_origins",
        "upstream_pace",
        "waiting",
    )
)


def find_daemon(name: str) -> str:
    """Return which daemon a module of the components belongs to.

    'own' is the daemon with the project's own interface.

    >>> find_daemon("fleet.service"), find_daemon("ledger")
    ('gateway', 'own')
    """
    return "gateway" if name.split(".")[0] in GATEWAY_PACKAGES else "own"


def list_modules() -> list[str]:
    """Return every module of the components."""
    files = (path.relative_to(ROOT).with_suffix("") for path in ROOT.rglob("*.py"))
    names = {".".join(path.parts).removesuffix(".__init__") for path in files}
    return sorted(names - {"__init__"})


def list_imports(name: str) -> Iterator[str]:
    """Yield the modules of the components that a module imports."""
    path = ROOT.joinpath(*name.split("."))
    file = path / "__init__.py" if path.is_dir() else path.with_suffix(".py")
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(PREFIX):
            yield (node.module or "").removeprefix(PREFIX)


@pytest.mark.parametrize("name", list_modules())
def test_no_component_imports_one_of_the_other_daemon(name: str) -> None:
    """Guards against a change of one daemon's decisions that also changes the other's.

    The gateway daemon once imported refusals, retry budget and ranking from components of the other
    daemon, so that neither could be read, changed or removed by itself.
    """
    daemon = find_daemon(name)
    imported = {other: find_daemon(other) for other in list_imports(name)}
    assert not {other for other, owner in imported.items() if owner != daemon}


def test_each_daemon_is_built_from_its_own_components() -> None:
    gateway = {setup.__module__.removeprefix(PREFIX) for setup in GATEWAY_COMPONENTS}
    own = {setup.__module__.removeprefix(PREFIX) for setup in COMPONENTS}
    assert {find_daemon(name) for name in gateway} == {"gateway"}
    assert {find_daemon(name) for name in own} == {"own"}

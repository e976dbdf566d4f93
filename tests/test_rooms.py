"""Which rooms serve which daemon, and that neither daemon's rooms use the other's."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from goldcreststair.bootstrap import COMPONENTS
from goldcreststair.gateway import GATEWAY_COMPONENTS

ROOT = Path(__file__).parents[1] / "goldcreststair" / "components"
PREFIX = "goldcreststair.components."
GATEWAY_ROOMS = frozenset(
    (
        "catalogue",
        "crash_marks",
        "discovery",
        "entry",
        "evacuation",
        "fleet",
        "forwarding",
        "jobs",
        "metrics",
        "operator_rows",
        "placement",
        "quotas",
        "requests",
    )
)


def find_side(name: str) -> str:
    """Return which daemon a module of the components serves.

    >>> find_side("fleet.service"), find_side("ledger")
    ('gateway', 'own')
    """
    return "gateway" if name.split(".")[0] in GATEWAY_ROOMS else "own"


def list_modules() -> list[str]:
    """Return every module of the components."""
    files = (path.relative_to(ROOT).with_suffix("") for path in ROOT.rglob("*.py"))
    names = {".".join(path.parts).removesuffix(".__init__") for path in files}
    return sorted(names - {"__init__"})


def list_imports(name: str) -> Iterator[str]:
    """Yield the other modules of the components that one uses."""
    path = ROOT.joinpath(*name.split("."))
    file = path / "__init__.py" if path.is_dir() else path.with_suffix(".py")
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(PREFIX):
            yield (node.module or "").removeprefix(PREFIX)


@pytest.mark.parametrize("name", list_modules())
def test_no_room_uses_the_other_daemons(name: str) -> None:
    """A change of one daemon's decisions changed the other's.

    The gateway daemon took its refusals, retry budget and ranking from rooms of the daemon with the
    project's own interface, so that neither could be read, changed or removed by itself.
    """
    side = find_side(name)
    used = {other: find_side(other) for other in list_imports(name)}
    assert not {other for other, of in used.items() if of != side}


def test_both_daemons_are_built_from_their_rooms() -> None:
    gateway = {setup.__module__.removeprefix(PREFIX) for setup in GATEWAY_COMPONENTS}
    own = {setup.__module__.removeprefix(PREFIX) for setup in COMPONENTS}
    assert {find_side(name) for name in gateway} == {"gateway"}
    assert {find_side(name) for name in own} == {"own"}

"""The list of known failing tests: at most three, each with its reason."""

from pathlib import Path

import pytest

from tests.helpers.known_red import FILE, read_known_red


@pytest.mark.parametrize(
    ("content", "known"),
    [
        (None, {}),
        ("", {}),
        (
            "tests/a.py::test_b[c] | cause | issue 6\n\n",
            {"tests/a.py::test_b[c]": "cause | issue 6"},
        ),
        (
            "\n".join(f"tests/client_limits/test_a.py::test_{n} | x" for n in range(5)),
            {f"tests/client_limits/test_a.py::test_{n}": "x" for n in range(5)},
        ),
    ],
)
def test_the_list_is_read(tmp_path: Path, content: str | None, known: dict[str, str]) -> None:
    if content is not None:
        (tmp_path / FILE).write_text(content)
    assert read_known_red(tmp_path) == known


@pytest.mark.parametrize("content", ["test without reason", "a | ", "a | x\nb | x\nc | x\nd | x"])
def test_a_malformed_or_long_list_is_refused(tmp_path: Path, content: str) -> None:
    (tmp_path / FILE).write_text(content)
    with pytest.raises(ValueError, match=FILE):
        read_known_red(tmp_path)

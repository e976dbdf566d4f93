"""The load that upstreams report in the heads of their answers."""

import pytest
from users_platform.dialect import PlatformDialect

from goldcreststair.upstreams.dialect import UpstreamLoad


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3,1,8", UpstreamLoad(3, 1, 8)),
        ("3, 1, 8, 250", UpstreamLoad(3, 1, 8, 250)),
        ("3,1,8,0", UpstreamLoad(3, 1, 8, 0)),
        ("", None),
        ("3,1", None),
        ("3,1,8,", None),
        ("3,1,8,fast", None),
        ("3,1,8,-5", None),
        ("3,1,8,1.5", None),
        ("3,1,8,100,4", None),
        ("3,1,8," + "9" * 100, None),
    ],
)
def test_load_of_three_or_four_figures(text: str, expected: UpstreamLoad | None) -> None:
    """A header of four figures was discarded, and a malformed one must raise nothing."""
    head = PlatformDialect().decode_head(200, {"Server-Load": text, "Stamp": "a"})
    assert head.load == expected
    assert head.load_text == text[:80]
    assert head.headers == (("Stamp", "a"),)

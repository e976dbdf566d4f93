"""Rows of the daemons' sessions, which other writers can change."""

import pytest

from goldcreststair.components.fleet.models import FleetVm
from goldcreststair.components.fleet.sessions import decode_session, encode_session


@pytest.mark.parametrize(
    ("address", "port", "readable"),
    [
        ("10.0.0.1", 7_000, True),
        ("10.0.0.1", 65_536, False),
        ("10.0.0.1", -1, False),
        ("10.0.0.1\0", 7_000, False),
        ("daemon.example", 7_000, False),
        ("", 7_000, False),
    ],
)
def test_session_to_which_nothing_can_be_sent_is_no_daemon(
    address: str, port: int, readable: bool
) -> None:
    """Sending to such an address raises: no daemon after it in the list would get the beacon."""
    vm = FleetVm("s1", address, port, "10.0.0.1:80", "dc", "r")
    assert (decode_session(encode_session(vm)) is not None) == readable

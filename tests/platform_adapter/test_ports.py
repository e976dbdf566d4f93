"""Tests of the ports that tests listen on."""

import subprocess
import sys
from pathlib import Path
from typing import Final

from tests.platform_adapter.ports import BLOCK_SIZE, find_port

ROOT: Final = Path(__file__).parents[2]
DRAWN: Final = BLOCK_SIZE // 2
"""Other programs may listen on some ports of a block."""

PRINT_PORTS: Final = f"""
from tests.platform_adapter.ports import find_port
print(*(find_port() for _ in range({DRAWN})), flush=True)
input()
"""


def test_ports_given_to_tests_that_run_at_once_differ() -> None:
    """Guards against `Address already in use` as two tests start a server at once."""
    others = [
        subprocess.Popen(
            [sys.executable, "-c", PRINT_PORTS],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    try:
        ports = [find_port() for _ in range(DRAWN)]
        for other in others:
            assert other.stdout is not None
            ports += [int(port) for port in other.stdout.readline().split()]
    finally:
        for other in others:
            other.communicate("\n")
    assert len(set(ports)) == len(ports) == 3 * DRAWN

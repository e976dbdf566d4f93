"""Connections that are opened while a daemon's modules are imported."""

import http.client
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from users_platform.early_listener import choose_listener, listen, open_early_listener

from tests.platform_adapter.ports import find_port

ROOT = Path(__file__).parents[2]
GATED_START = """
import pathlib, runpy, sys, time
GATE = pathlib.Path(sys.argv.pop())
class Gate:
    def find_spec(self, name, path=None, target=None):
        while name == "tornado" and not GATE.exists():
            time.sleep(0.01)
sys.meta_path.insert(0, Gate())
sys.argv = ["serve.py"]
runpy.run_path("platform/serve.py", run_name="__main__")
"""
"""Runs the daemon, but blocks its import of tornado until a file exists."""
TIMEOUT_S = 30.0


def write_settings(path: Path, front: str) -> Path:
    """Write the settings of a daemon whose store does not answer."""
    values = {
        "address": "127.0.0.1",
        "data_centre": "a",
        "store_address": f"127.0.0.1:{find_port()}",
        "front": front,
    }
    lines = [f'{name} = "{value}"' for name, value in values.items()]
    path.write_text("\n".join([*lines, f"peer_port = {find_port()}"]))
    return path


@pytest.mark.parametrize("reloaded", [False, True], ids=["undisturbed", "SIGHUP"])
def test_a_request_sent_during_the_imports_is_answered(tmp_path: Path, reloaded: bool) -> None:
    """Guards against callers whose attempts are all refused while all VMs restart, or are told to reload, at once."""
    port, gate = find_port(), tmp_path / "gate"
    settings = write_settings(tmp_path / "settings.toml", f"127.0.0.1:{port}")
    command = [sys.executable, "-c", GATED_START, str(gate)]
    variables = os.environ | {"GOLDCRESTSTAIR_BOOT": str(settings), "PYTHONPATH": "platform"}
    process = subprocess.Popen(command, cwd=ROOT, env=variables, stdout=subprocess.DEVNULL)
    try:
        caller = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
        ends_at = time.monotonic() + TIMEOUT_S
        while caller.sock is None and time.monotonic() < ends_at:
            try:
                caller.connect()
            except ConnectionRefusedError:
                time.sleep(0.01)
        caller.request("POST", "/x/", b"", {"Request-Id": "r", "Deadline-Ms": "20000"})
        if reloaded:
            process.send_signal(signal.SIGHUP)
        gate.touch()
        assert caller.getresponse().status == 503
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize(
    "text", ["", "front = 7", 'front = "127.0.0.1"', 'front = "127.0.0.1:x"', "front = [", None]
)
def test_settings_without_a_valid_address_open_no_socket(tmp_path: Path, text: str | None) -> None:
    """Guards against a daemon that ends before the check of its settings can report the error."""
    path = tmp_path / "settings.toml"
    if text is not None:
        path.write_text(text)
    assert open_early_listener(str(path)) is None


@pytest.mark.parametrize("same", [True, False])
def test_flags_override_the_settings_file(tmp_path: Path, same: bool) -> None:
    port, other = find_port(), find_port()
    early = open_early_listener(str(write_settings(tmp_path / "s", f"127.0.0.1:{port}")))
    assert early is not None
    chosen = choose_listener(early, "127.0.0.1", port if same else other)
    assert (chosen is early) == same and (early.fileno() < 0) != same
    chosen.close()


def test_an_address_in_use_is_an_error() -> None:
    bound = listen("127.0.0.1", find_port())
    with pytest.raises(OSError):
        listen(*bound.getsockname())
    bound.close()

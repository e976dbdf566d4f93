"""Tests of the operators' commands against a fleet of separate processes."""

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.demo.__main__ import CUSTOMERS, wait_ready
from standins.demo.fleet import OPERATOR_TOKEN, Fleet, FleetPlan, send_request
from standins.demo.process import ROOT


@pytest.fixture(name="fleet", scope="module")
def start_fleet() -> Iterator[Fleet]:
    with Fleet(FleetPlan(daemons=2, engines=1, step_base_ms=2.0)) as fleet:
        assert fleet.patch_configuration(0, fleet.describe_configuration(CUSTOMERS)).status == 200
        for daemon in fleet.daemons:
            wait_ready(daemon.wait_listening())
        yield fleet


def run_cli(fleet: Fleet, *arguments: str, text: str = "") -> subprocess.CompletedProcess[str]:
    url = "http://" + fleet.daemons[0].wait_listening()
    command = [sys.executable, "-m", "goldcreststair.cli", *arguments]
    target = ["--url", url, "--token", OPERATOR_TOKEN]
    return subprocess.run(
        [*command, *target],
        cwd=ROOT,
        input=text,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_key_from_issue_to_withdrawal(fleet: Fleet) -> None:
    """A key is issued and withdrawn through one daemon.

    Another daemon must first accept and then refuse it.
    """
    issued = json.loads(run_cli(fleet, "key", "issue", "designers").stdout)
    waited = run_cli(fleet, "config", "wait", str(issued["version"]))
    assert waited.returncode == 0, waited.stderr
    other = fleet.daemons[1].wait_listening()
    headers = {"Authorization": f"Bearer {issued['key']}"}
    assert send_request(other, "GET", "/v1/models", headers=headers).status == 200
    withdrawn = run_cli(fleet, "key", "withdraw", issued["key_hash"])
    version = json.loads(withdrawn.stdout)["version"]
    assert run_cli(fleet, "config", "wait", str(version)).returncode == 0
    assert send_request(other, "GET", "/v1/models", headers=headers).status == 401
    history = json.loads(run_cli(fleet, "config", "history").stdout)["versions"]
    assert [entry["version"] for entry in history] == list(range(1, version + 1))


def test_bad_patch_names_the_field(fleet: Fleet, tmp_path: Path) -> None:
    current = json.loads(run_cli(fleet, "config", "get").stdout)
    file = tmp_path / "patch.json"
    file.write_text(json.dumps({"customers": {"designers": {"burst": -1}}}))
    refused = run_cli(fleet, "config", "patch", str(current["version"]), str(file))
    assert refused.returncode == 1
    assert "customers.designers.burst: must be a number above 0" in refused.stderr
    assert json.loads(run_cli(fleet, "config", "get").stdout) == current


def test_patch_from_standard_input(fleet: Fleet) -> None:
    """The `-` for standard input must not be parsed as an option."""
    current = json.loads(run_cli(fleet, "config", "get").stdout)["version"]
    patch = json.dumps({"customers": {"designers": {"weight": 2}}})
    patched = run_cli(fleet, "config", "patch", str(current), "-", text=patch)
    assert patched.returncode == 0, patched.stdout + patched.stderr
    assert json.loads(patched.stdout) == {"version": current + 1}


def test_stale_patch_is_refused_with_the_current_version(fleet: Fleet, tmp_path: Path) -> None:
    current = json.loads(run_cli(fleet, "config", "get").stdout)["version"]
    file = tmp_path / "patch.json"
    file.write_text("{}")
    refused = run_cli(fleet, "config", "patch", str(current - 1), str(file))
    assert refused.returncode == 1
    assert f"current version is {current}" in refused.stderr


def test_reports_work_without_traffic(fleet: Fleet, tmp_path: Path) -> None:
    chart = tmp_path / "burn.svg"
    burn = run_cli(fleet, "report", "burn", "--svg", str(chart))
    assert burn.returncode == 0, burn.stderr
    assert "<svg" in chart.read_text()
    assert len(json.loads(run_cli(fleet, "status").stdout)["members"]) == 2
    unknown = run_cli(fleet, "explain", "request", "nothing")
    assert unknown.returncode == 1
    assert "nothing known" in unknown.stdout

"""Commands of operators: configuration, keys, leaving, status, explanations, reports."""

import hashlib
import json
import secrets
import sys
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from io import BytesIO
from pathlib import Path
from typing import Annotated, Any, Final
from urllib.parse import quote

from cyclopts import App, Parameter
from result import Err

from goldcreststair.cli.burn import render_svg, render_text
from goldcreststair.cli.client import Call, Client, ClientError
from goldcreststair.cli.log_timeline import FIELDS, LogLine, build_timeline, read_lines
from goldcreststair.cli.target import (
    EXIT_FAILED,
    NO_OPERATOR_TARGET,
    OperatorTarget,
    fail,
    print_answer,
    unwrap_answer,
)

PATH_CONFIGURATION: Final = "/operator/configuration"
KEY_BYTES: Final = 32
STATUS_CONFLICT: Final = 409
PATCH_ATTEMPTS: Final = 8
POLL_S: Final = 0.25
PARALLEL_POLLS: Final = 32

config = App(name="config", help="The numbered configuration.")
key = App(name="key", help="Customers' keys.")
leave = App(name="leave", help="Take a VM or an upstream out of service, or back.")
report = App(name="report", help="Reports.")


@config.command
def get(*, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Print the current version and its document."""
    print_answer(_read_configuration(target.create_client()))


@config.command
def patch(
    version: int,
    file: Annotated[Path, Parameter(allow_leading_hyphen=True)],
    *,
    patch_id: Annotated[str, Parameter(help="The same id again is applied once.")] = "",
    target: OperatorTarget = NO_OPERATOR_TARGET,
) -> None:
    """Apply a JSON merge patch in FILE (- for standard input) to VERSION; a stale one is refused."""
    text = sys.stdin.read() if str(file) == "-" else file.read_text()
    try:
        body = json.loads(text)
    except ValueError as error:
        fail(ClientError(f"{file}: not JSON: {error}"))
    client = target.create_client()
    print_answer(_send_patch(client, version, patch_id or uuid.uuid4().hex, body))


@config.command
def history(
    *, after: int = 0, limit: int = 100, target: OperatorTarget = NO_OPERATOR_TARGET
) -> None:
    """Print the patches that made the versions after AFTER, oldest first."""
    path = f"{PATH_CONFIGURATION}/history?after={after}&limit={limit}"
    print_answer(target.create_client().send(Call("GET", path)))


@config.command
def wait(
    version: int, *, timeout_s: float = 30.0, target: OperatorTarget = NO_OPERATOR_TARGET
) -> None:
    """Wait until VERSION is in force on every member, and print how long it took."""
    begun = time.monotonic()
    client = target.create_client()
    while True:
        behind = _find_behind(client, version)
        elapsed_s = time.monotonic() - begun
        if not behind:
            print(json.dumps({"version": version, "waited_s": round(elapsed_s, 3)}))
            return
        if elapsed_s > timeout_s:
            fail(ClientError(f"not in force after {timeout_s:g} s on: {', '.join(behind)}"))
        time.sleep(POLL_S)


@key.command
def issue(customer: str, *, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Make a key for CUSTOMER and print it; it is shown only this once and kept only as a hash."""
    secret = secrets.token_urlsafe(KEY_BYTES)
    key_hash = hashlib.sha256(secret.encode()).hexdigest()
    answer = _patch_current(target.create_client(), lambda _: {"keys": {key_hash: customer}})
    print(json.dumps({"key": secret, "key_hash": key_hash, "version": answer["version"]}))


@key.command
def withdraw(key_hash: str, *, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Withdraw the key with this SHA-256; it stops within seconds, also while the store is down."""
    content = BytesIO(json.dumps({"key_hash": key_hash}).encode())
    call = Call("POST", "/operator/keys/withdraw", content=content)
    print_answer(target.create_client().send(call))


@leave.command
def vm(address: str, *, back: bool = False, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Let the VM at ADDRESS (IP number) leave, or with --back no longer."""
    _set_leaving("leaving_vms", address, back, target)


@leave.command
def upstream(name: str, *, back: bool = False, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Give the upstream NAME no new work, or with --back again."""
    _set_leaving("leaving_upstreams", name, back, target)


@report.command
def burn(
    *,
    svg: Annotated[Path | None, Parameter(help="Also write a picture here.")] = None,
    target: OperatorTarget = NO_OPERATOR_TARGET,
) -> None:
    """Print error budgets and burn rates, worst first."""
    answer = unwrap_answer(target.create_client().send(Call("GET", "/operator/burn")))
    print(render_text(answer))
    if svg is not None:
        svg.write_bytes(render_svg(answer))


def status(*, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Print the members, their loads and the configuration in force."""
    print_answer(target.create_client().send(Call("GET", "/operator/status")))


def explain(
    subject: str,
    subject_id: str,
    *,
    logs: Annotated[
        list[Path] | None,
        Parameter(
            help="Read these logs (- for standard input), and ask no daemon.",
            allow_leading_hyphen=True,
        ),
    ] = None,
    target: OperatorTarget = NO_OPERATOR_TARGET,
) -> None:
    """Print what the fleet decided about SUBJECT (request, job, item, upstream...) and why."""
    if logs:
        _explain_logs(subject, subject_id, logs)
        return
    path = f"/operator/explain/{quote(subject)}/{quote(subject_id, safe='')}"
    answer = unwrap_answer(target.create_client().send(Call("GET", path)))
    for step in answer["steps"]:
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(step["at_utc_s"]))
        seen = " ".join(f"{name}={value}" for name, value in step["seen"].items())
        print(f"{at} {step['vm']} {step['choice']}: {step['reason']} {seen}".rstrip())
    if answer["silent"]:
        print("no answer from: " + ", ".join(answer["silent"]))
    if not answer["steps"]:
        print("nothing known; journals keep the last events of running VMs only")
        sys.exit(EXIT_FAILED)


def _explain_logs(subject: str, subject_id: str, logs: list[Path]) -> None:
    if subject not in FIELDS:
        fail(ClientError(f"subject: must be one of {', '.join(FIELDS)}"))
    lines: list[LogLine] = []
    for log in logs:
        try:
            text = sys.stdin.read() if str(log) == "-" else log.read_text(errors="replace")
        except OSError as error:
            fail(ClientError(f"{log}: {error.strerror}"))
        lines += read_lines(text.splitlines())
    timeline = build_timeline(lines, subject, subject_id)
    for line in sorted((*timeline.context, *timeline.lines), key=lambda line: line.at_ms):
        mark = "|" if line in timeline.context else "*"
        print(f"{mark} {line.describe()}")
    print(f"cause: {timeline.describe_cause()}")
    if timeline.left_out:
        print(f"sampling left out {timeline.left_out} lines of these kinds before")
    if not timeline.lines:
        sys.exit(EXIT_FAILED)


def _read_configuration(client: Client) -> Any:
    return client.send(Call("GET", PATH_CONFIGURATION))


def _send_patch(client: Client, version: int, patch_id: str, body: Any) -> Any:
    request = {"base_version": version, "patch_id": patch_id, "patch": body}
    content = BytesIO(json.dumps(request).encode())
    return client.send(Call("PATCH", PATH_CONFIGURATION, content=content))


def _patch_current(client: Client, make_patch: Callable[[Any], Any]) -> Any:
    """Patch whatever version is current, again if another operator was faster."""
    for _ in range(PATCH_ATTEMPTS):
        current = unwrap_answer(_read_configuration(client))
        body = make_patch(current["document"])
        outcome = _send_patch(client, current["version"], uuid.uuid4().hex, body)
        if not isinstance(outcome, Err):
            return outcome.ok_value
        if outcome.err_value.status != STATUS_CONFLICT:
            fail(outcome.err_value)
    return fail(ClientError("other operators were faster each time"))


def _set_leaving(section: str, name: str, back: bool, target: OperatorTarget) -> None:
    patch_body = {section: {name: None if back else True}}
    print(json.dumps(_patch_current(target.create_client(), lambda _: patch_body)))


def _find_behind(client: Client, version: int) -> list[str]:
    answer = unwrap_answer(client.send(Call("GET", "/operator/status")))
    addresses = [f"{member['address']}:{member['http_port']}" for member in answer["members"]]
    with ThreadPoolExecutor(PARALLEL_POLLS) as pool:
        reached = pool.map(lambda address: _has_version(address, version), addresses)
        return [address for address, has in zip(addresses, reached, strict=True) if not has]


def _has_version(address: str, version: int) -> bool:
    answer = Client(f"http://{address}").send(Call("GET", "/health/ready"))
    return not isinstance(answer, Err) and answer.ok_value["configuration_version"] >= version

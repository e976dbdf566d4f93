"""Commands for operators: configuration, keys, leaving, status, explanations and reports."""

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
from goldcreststair.cli.log_timeline import (
    FIELDS,
    LogLine,
    build_timeline,
    describe_excluded,
    read_lines,
)
from goldcreststair.cli.target import (
    EXIT_FAILED,
    NO_OPERATOR_TARGET,
    OperatorTarget,
    fail,
    print_response,
    unwrap_response,
)

PATH_CONFIGURATION: Final = "/operator/configuration"
KEY_BYTES: Final = 32
STATUS_CONFLICT: Final = 409
PATCH_ATTEMPTS: Final = 8
POLL_S: Final = 0.25
PARALLEL_POLLS: Final = 32

config = App(name="config", help="The numbered configuration.")
key = App(name="key", help="Customers' keys.")
leave = App(name="leave", help="Take a VM or an upstream out of service, or put it back.")
report = App(name="report", help="Reports.")


@config.command
def get(*, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Print the current version and its document."""
    print_response(_read_configuration(target.create_client()))


@config.command
def patch(
    version: int,
    file: Annotated[Path, Parameter(allow_leading_hyphen=True)],
    *,
    patch_id: Annotated[
        str, Parameter(help="A patch sent again with the same id is applied only once.")
    ] = "",
    target: OperatorTarget = NO_OPERATOR_TARGET,
) -> None:
    """Apply a JSON merge patch from FILE (- for standard input) to VERSION, if it is current."""
    text = sys.stdin.read() if str(file) == "-" else file.read_text()
    try:
        body = json.loads(text)
    except ValueError as error:
        fail(ClientError(f"{file}: not JSON: {error}"))
    client = target.create_client()
    print_response(_send_patch(client, version, patch_id or uuid.uuid4().hex, body))


@config.command
def history(
    *, after: int = 0, limit: int = 100, target: OperatorTarget = NO_OPERATOR_TARGET
) -> None:
    """Print the patches that made the versions after AFTER, oldest first."""
    path = f"{PATH_CONFIGURATION}/history?after={after}&limit={limit}"
    print_response(target.create_client().send(Call("GET", path)))


@config.command
def wait(
    version: int, *, timeout_s: float = 30.0, target: OperatorTarget = NO_OPERATOR_TARGET
) -> None:
    """Wait until VERSION is in force on every member, and print how long it took."""
    started_at = time.monotonic()
    client = target.create_client()
    while True:
        outdated = _find_outdated(client, version)
        elapsed_s = time.monotonic() - started_at
        if not outdated:
            print(json.dumps({"version": version, "waited_s": round(elapsed_s, 3)}))
            return
        if elapsed_s > timeout_s:
            fail(ClientError(f"not in force after {timeout_s:g} s on: {', '.join(outdated)}"))
        time.sleep(POLL_S)


@key.command
def issue(customer: str, *, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Create a key for CUSTOMER and print it; only its hash is stored, so it is shown only once."""
    secret = secrets.token_urlsafe(KEY_BYTES)
    key_hash = hashlib.sha256(secret.encode()).hexdigest()
    response = _patch_current(target.create_client(), lambda _: {"keys": {key_hash: customer}})
    print(json.dumps({"key": secret, "key_hash": key_hash, "version": response["version"]}))


@key.command
def withdraw(key_hash: str, *, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Withdraw the key with this SHA-256 within seconds, even while the store is down."""
    content = BytesIO(json.dumps({"key_hash": key_hash}).encode())
    call = Call("POST", "/operator/keys/withdraw", content=content)
    print_response(target.create_client().send(call))


@leave.command
def vm(address: str, *, back: bool = False, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Let the VM at ADDRESS (an IP number) leave; with --back, keep it after all."""
    _set_leaving("leaving_vms", address, back, target)


@leave.command
def upstream(name: str, *, back: bool = False, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Send no new work to the upstream NAME; with --back, send it work again."""
    _set_leaving("leaving_upstreams", name, back, target)


@report.command
def burn(
    *,
    svg: Annotated[Path | None, Parameter(help="Also write a chart to this file.")] = None,
    target: OperatorTarget = NO_OPERATOR_TARGET,
) -> None:
    """Print error budgets and burn rates, worst first."""
    response = unwrap_response(target.create_client().send(Call("GET", "/operator/burn")))
    print(render_text(response))
    if svg is not None:
        svg.write_bytes(render_svg(response))


def status(*, target: OperatorTarget = NO_OPERATOR_TARGET) -> None:
    """Print the members, their loads and the configuration in force."""
    print_response(target.create_client().send(Call("GET", "/operator/status")))


def explain(
    subject: str,
    subject_id: str,
    *,
    logs: Annotated[
        list[Path] | None,
        Parameter(
            help="Read these logs (- for standard input) instead of querying a daemon.",
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
    response = unwrap_response(target.create_client().send(Call("GET", path)))
    for step in response["steps"]:
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(step["at_utc_s"]))
        seen = " ".join(f"{name}={value}" for name, value in step["seen"].items())
        print(f"{at} {step['vm']} {step['choice']}: {step['reason']} {seen}".rstrip())
    if response["silent"]:
        print("no response from: " + ", ".join(response["silent"]))
    if not response["steps"]:
        print("nothing known; journals only keep the last events of running VMs")
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
    if subject == "upstream":
        for description in describe_excluded(lines):
            print(f"upstream {description}")
    if timeline.left_out:
        print(f"sampling dropped {timeline.left_out} earlier lines of these kinds")
    if not timeline.lines:
        sys.exit(EXIT_FAILED)


def _read_configuration(client: Client) -> Any:
    return client.send(Call("GET", PATH_CONFIGURATION))


def _send_patch(client: Client, version: int, patch_id: str, body: Any) -> Any:
    request = {"base_version": version, "patch_id": patch_id, "patch": body}
    content = BytesIO(json.dumps(request).encode())
    return client.send(Call("PATCH", PATH_CONFIGURATION, content=content))


def _patch_current(client: Client, make_patch: Callable[[Any], Any]) -> Any:
    """Patch the current version; retries if another operator changed it meanwhile."""
    for _ in range(PATCH_ATTEMPTS):
        current = unwrap_response(_read_configuration(client))
        body = make_patch(current["document"])
        outcome = _send_patch(client, current["version"], uuid.uuid4().hex, body)
        if not isinstance(outcome, Err):
            return outcome.ok_value
        if outcome.err_value.status != STATUS_CONFLICT:
            fail(outcome.err_value)
    return fail(ClientError("every attempt conflicted with a patch of another operator"))


def _set_leaving(section: str, name: str, back: bool, target: OperatorTarget) -> None:
    patch_body = {section: {name: None if back else True}}
    print(json.dumps(_patch_current(target.create_client(), lambda _: patch_body)))


def _find_outdated(client: Client, version: int) -> list[str]:
    response = unwrap_response(client.send(Call("GET", "/operator/status")))
    addresses = [f"{member['address']}:{member['http_port']}" for member in response["members"]]
    with ThreadPoolExecutor(PARALLEL_POLLS) as pool:
        up_to_date = pool.map(lambda address: _is_up_to_date(address, version), addresses)
        return [
            address
            for address, is_current in zip(addresses, up_to_date, strict=True)
            if not is_current
        ]


def _is_up_to_date(address: str, version: int) -> bool:
    response = Client(f"http://{address}").send(Call("GET", "/health/ready"))
    return not isinstance(response, Err) and response.ok_value["configuration_version"] >= version

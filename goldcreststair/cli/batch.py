"""`goldcreststair batch`: submit, status, results, cancel."""

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final
from urllib.parse import urlencode

from cyclopts import App, Parameter
from result import Err, Result

from goldcreststair.cli.client import Call, Client, ClientError

EXIT_FAILED: Final = 1
BATCHES: Final = "/v1/batches"

app = App(name="batch", help="Submit and follow batch jobs.")


@Parameter(name="*")
@dataclass(frozen=True)
class Target:
    """Which daemon, and as whom."""

    url: Annotated[str, Parameter(help="Base URL; else GOLDCRESTSTAIR_URL.")] = ""
    key: Annotated[str, Parameter(help="Customer's key; else GOLDCRESTSTAIR_KEY.")] = ""


@Parameter(name="*")
@dataclass(frozen=True)
class JobOptions:
    """What a job says beside its lines."""

    endpoint: Annotated[str, Parameter(help="Path for lines without `url`.")] = ""
    model: Annotated[str, Parameter(help="Model for lines that name none.")] = ""
    due_in_s: Annotated[int, Parameter(help="Seconds until the job is due; 0 for a day.")] = 0
    idempotency_key: Annotated[str, Parameter(help="Same key, same job.")] = ""


NO_TARGET: Final = Target()
NO_OPTIONS: Final = JobOptions()


@app.command
def submit(file: Path, *, options: JobOptions = NO_OPTIONS, target: Target = NO_TARGET) -> None:
    """Submit a file of JSON lines and print the job."""
    query = {"endpoint": options.endpoint, "model": options.model}
    headers = {"Content-Type": "application/jsonl"}
    if options.idempotency_key:
        headers["Idempotency-Key"] = options.idempotency_key
    if options.due_in_s:
        headers["X-Due-In-S"] = str(options.due_in_s)
    path = f"{BATCHES}?{urlencode({name: text for name, text in query.items() if text})}"
    with file.open("rb") as content:
        _print(_make_client(target).send(Call("POST", path, headers, content)))


@app.command
def status(job: str = "", *, target: Target = NO_TARGET) -> None:
    """Print a job's progress, or all jobs."""
    path = f"{BATCHES}/{job}" if job else BATCHES
    _print(_make_client(target).send(Call("GET", path)))


@app.command
def results(job: str, *, target: Target = NO_TARGET) -> None:
    """Print all results as JSON lines."""
    for part in _make_client(target).stream(Call("GET", f"{BATCHES}/{job}/output")):
        if isinstance(part, Err):
            _fail(part.err_value)
        sys.stdout.write(part.unwrap().decode())


@app.command
def cancel(job: str, *, target: Target = NO_TARGET) -> None:
    """Cancel a job."""
    _print(_make_client(target).send(Call("POST", f"{BATCHES}/{job}/cancel")))


def _make_client(target: Target) -> Client:
    return Client(target.url, target.key)


def _print(outcome: Result[Any, ClientError]) -> None:
    if isinstance(outcome, Err):
        _fail(outcome.err_value)
    print(json.dumps(outcome.unwrap()))


def _fail(error: ClientError) -> None:
    message = f"goldcreststair: {error.message}"
    if error.not_run:
        message += " (not run)"
    if error.retry_after_s:
        message += f"; try again in {error.retry_after_s} s"
    print(message, file=sys.stderr)
    sys.exit(EXIT_FAILED)

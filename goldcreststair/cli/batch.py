"""The commands `goldcreststair batch submit`, `status`, `results` and `cancel`."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Final
from urllib.parse import urlencode

from cyclopts import App, Parameter
from result import Err

from goldcreststair.cli.client import Call
from goldcreststair.cli.target import NO_TARGET, Target, fail, print_response

BATCHES: Final = "/v1/batches"

app = App(name="batch", help="Submit and follow batch jobs.")


@Parameter(name="*")
@dataclass(frozen=True)
class JobOptions:
    """Options of a job that are not in its lines."""

    endpoint: Annotated[str, Parameter(help="Path for lines without `url`.")] = ""
    model: Annotated[str, Parameter(help="Model for lines that name none.")] = ""
    due_in_s: Annotated[int, Parameter(help="Seconds until the job is due; 0 for a day.")] = 0
    idempotency_key: Annotated[
        str, Parameter(help="Submitting again with the same key returns the same job.")
    ] = ""


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
        print_response(target.create_client().send(Call("POST", path, headers, content)))


@app.command
def status(job: str = "", *, target: Target = NO_TARGET) -> None:
    """Print the progress of JOB, or of all jobs."""
    path = f"{BATCHES}/{job}" if job else BATCHES
    print_response(target.create_client().send(Call("GET", path)))


@app.command
def results(job: str, *, target: Target = NO_TARGET) -> None:
    """Print all results of JOB as JSON lines."""
    for part in target.create_client().stream(Call("GET", f"{BATCHES}/{job}/output")):
        if isinstance(part, Err):
            fail(part.err_value)
        sys.stdout.write(part.unwrap().decode())


@app.command
def cancel(job: str, *, target: Target = NO_TARGET) -> None:
    """Cancel JOB."""
    print_response(target.create_client().send(Call("POST", f"{BATCHES}/{job}/cancel")))

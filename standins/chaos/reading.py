"""Reads all results after a run and builds the record that the checker examines."""

import re
import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Final

import orjson

from standins.chaos.caller import NO_ANSWER, STATUS_OK, choose_expected
from standins.chaos.faults import OPERATOR
from standins.chaos.observations import Attempt, Kind, Observations
from standins.chaos.traffic import list_expected_texts
from standins.checking.checker import Invariant, Limit, Violation
from standins.checking.record import Answer, ItemState, Record, RefusalRecord, Run
from standins.demo.fleet import Fleet, send_request

JOBS_TIMEOUT_S: Final = 120.0
WITHDRAWAL_GRACE_MS: Final = 10_000
BIN_MS: Final = 250
NOT_CUT_CODES: Final = ("ended", "no address", "TimeoutError")
"""Codes of requests that were not cut: an error event, no address, or a caller's time-out."""
ENGINE_RUN: Final = re.compile(rb"POST /v1/\S+\n(?:[^\n]+\n)*?X-Request-Id: (\S+)")
BOOKING: Final = re.compile(rb'X-Request-Id: (\S+)\n(?:[^\n]*\n)*?[^\n]*\{"booking":"(b\w+)"\}')


class ResultReader:
    """Reads results through available daemons, and the requests that upstreams received."""

    def __init__(self, fleet: Fleet, observed: Observations, addresses: list[str]) -> None:
        """Create a reader; `addresses` are those of the available daemons."""
        self._fleet = fleet
        self._observed = observed
        self._addresses = addresses

    def build_record(self) -> Record:
        """Return the record of what callers and upstreams observed."""
        record = Record(versions=self._observed.versions, keys=["key-designers", "key-fixtures"])
        for attempt in self._observed.attempts:
            _add_attempt(record, attempt)
        self._add_runs(record)
        for job, prompts in self._observed.jobs.items():
            record.accepted_items += [(job, prompt) for prompt in prompts]
            record.items += self._read_items(job)
        return record

    def find_lost_patches(self) -> Iterator[Violation]:
        """Return acknowledged patches that the history lacks or has under another version."""
        answer = self._get("/operator/configuration/history?after=0&limit=1000", OPERATOR)
        kept = {entry["patch_id"]: entry["version"] for entry in orjson.loads(answer)["versions"]}
        for patch_id, version in self._observed.patches:
            if kept.get(patch_id) != version:
                detail = f"patch {patch_id} of version {version} is {kept.get(patch_id)}"
                yield Violation(Invariant.VERSION_MONOTONIC, detail)

    def _add_runs(self, record: Record) -> None:
        for name, address in self._fleet.engines.items():
            received = send_request(address, "GET", "/faults").body
            record.received.append(received)
            record.runs += [
                Run(0, name, found.decode(), repeatable=True)
                for found in ENGINE_RUN.findall(received)
            ]
        state = send_request(self._fleet.service_address, "GET", "/faults").json()
        received = state["received"].encode()
        record.received.append(received)
        for request_id, booking in BOOKING.findall(received):
            record.runs.append(Run(0, "grounds", booking.decode(), repeatable=False))
            record.runs.append(Run(0, "grounds", request_id.decode(), repeatable=True))

    def _read_items(self, job: str) -> list[ItemState]:
        self._wait_finished(job)
        headers = {"Authorization": "Bearer key-designers"}
        lines = self._get(f"/v1/batches/{job}/output", headers).splitlines()
        return [_read_item(job, orjson.loads(line)) for line in lines]

    def _wait_finished(self, job: str) -> None:
        headers = {"Authorization": "Bearer key-designers"}
        deadline = time.monotonic() + JOBS_TIMEOUT_S
        while time.monotonic() < deadline:
            if orjson.loads(self._get(f"/v1/batches/{job}", headers)).get("state") == "finished":
                return
            time.sleep(0.3)

    def _get(self, path: str, headers: dict[str, str]) -> bytes:
        deadline = time.monotonic() + JOBS_TIMEOUT_S
        while True:
            for address in self._addresses:
                try:
                    answer = send_request(address, "GET", path, None, headers)
                except NO_ANSWER:
                    continue
                if answer.status == STATUS_OK:
                    return answer.body
            if time.monotonic() > deadline:
                return b"{}"
            time.sleep(0.5)


def _read_item(job: str, line: dict[str, object]) -> ItemState:
    response = line["response"]
    text = ""
    if isinstance(response, dict):
        text = str(response["body"]["choices"][0]["message"]["content"])
    name = str(line["custom_id"])
    return ItemState(
        job, name, str(line["state"]), text, choose_expected(list_expected_texts(name), text)
    )


def _add_attempt(record: Record, attempt: Attempt) -> None:
    if attempt.status == STATUS_OK and attempt.kind is not Kind.BOOKING:
        answer = Answer(attempt.request_id, attempt.customer, attempt.text, attempt.expected)
        record.answers.append(answer)
    elif attempt.status:
        record.refusals.append(RefusalRecord(attempt.request_id, attempt.not_run))


def find_broken_bookings(record: Record, observed: Observations) -> Iterator[Violation]:
    """Return bookings whose answers differ or contradict the service's runs."""
    runs = Counter(run.request for run in record.runs if not run.repeatable)
    by_booking: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in observed.attempts:
        if attempt.kind is Kind.BOOKING:
            by_booking[attempt.subject].append(attempt)
    for name, attempts in by_booking.items():
        answers = {attempt.text for attempt in attempts if attempt.status == STATUS_OK}
        if len(answers) > 1 or (answers and not runs[name]):
            detail = f"booking {name}: answers {answers}, {runs[name]} runs"
            yield Violation(Invariant.WHOLE_ANSWER, detail)
        if runs[name] and all(attempt.not_run for attempt in attempts):
            yield Violation(Invariant.NOT_RUN_TRUE, f"booking {name} ran")


def find_late_key_uses(observed: Observations) -> Iterator[Violation]:
    """Return answers to a key later than the grace time after its acknowledged withdrawal."""
    for attempt in observed.attempts:
        withdrawn_ms = observed.withdrawn_ms.get(attempt.customer)
        if withdrawn_ms is None or attempt.status != STATUS_OK:
            continue
        late_ms = attempt.sent_ms - withdrawn_ms
        if late_ms > WITHDRAWAL_GRACE_MS:
            detail = f"{attempt.request_id} at {attempt.address} began {late_ms} ms late"
            yield Violation(Invariant.WITHDRAWN_KEY_STOPS, detail)


def find_cut_requests(observed: Observations) -> Iterator[Violation]:
    """Return requests that a planned stop left without a complete answer."""
    for attempt in observed.attempts:
        if attempt.address in observed.planned_stops and not attempt.status:
            if attempt.code in NOT_CUT_CODES:
                continue
            detail = f"{attempt.kind} to {attempt.address}: {attempt.code}"
            yield Violation(Invariant.PLANNED_STOP_CUTS_NONE, detail)


def find_excess(observed: Observations, limits: dict[str, Limit]) -> Iterator[Violation]:
    """Return customers with more requests admitted than their limit in some interval.

    A request was admitted between its sending and its answer, so only those that lie wholly
    within an interval count; requests without an answer do not count.
    """
    for customer, limit in limits.items():
        spans = sorted(
            (attempt.sent_ms, attempt.ended_ms)
            for attempt in observed.attempts
            if attempt.customer == customer and attempt.status == STATUS_OK
        )
        excess = measure_span_excess(spans, limit)
        if excess > 0:
            detail = f"{customer}: {excess:.1f} over in some interval"
            yield Violation(Invariant.ADMITTED_WITHIN_LIMIT, detail)


def measure_span_excess(spans: list[tuple[int, int]], limit: Limit) -> float:
    """Return by how much the worst interval exceeds rate x time + burst.

    >>> measure_span_excess([(0, 10), (0, 10), (0, 1000)], Limit(1.0, 1))
    0.99
    """
    worst = 0.0
    starts = sorted({sent - sent % BIN_MS for sent, _ in spans})
    for start in starts:
        ends = sorted(ended for sent, ended in spans if sent >= start)
        for count, ended in enumerate(ends, 1):
            bound = limit.rate_per_s * (ended - start) / 1000 + limit.burst
            worst = max(worst, count - bound)
    return round(worst, 6)

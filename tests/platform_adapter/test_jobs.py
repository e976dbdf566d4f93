"""Batch jobs over HTTP: submission, results, cancellation and refusals."""

import asyncio
import base64
import copy
from typing import Any

import orjson
import pytest
from result import Ok
from users_platform.jobs import SubmissionBodies

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.placement.const import MIN_CONNECTIONS
from tests.platform_adapter.local import (
    CONFIG,
    OTHER_KEY,
    LocalGateway,
    async_read_answer,
    make_request,
    register,
    run_local,
)
from tests.platform_adapter.wire_engine import EngineFault

ITEM: dict[str, Any] = {
    "id": "i1",
    "path": "/batch/1/a",
    "headers": {"Model": "m", "Token-Count": "5,5", "X-Api-Key": "smuggled"},
    "body": base64.b64encode(b"\x00bytes").decode(),
    "tokens": 100,
}


def make_job(*items: dict[str, Any]) -> bytes:
    """Return a submission's body."""
    return orjson.dumps({"requests": list(items or (ITEM,))})


async def async_read_done(local: LocalGateway, job: str, count: int) -> Any:
    """Read a job until it has `count` results, and return that page."""
    for _ in range(100):
        answer = await local.async_call("GET", f"/-/lots/{job}?after=0")
        if answer.status == 200 and len(answer.read_json()["results"]) >= count:
            return answer.read_json()
        await asyncio.sleep(0.05)
    raise AssertionError("no results")


def test_a_job_is_accepted_run_and_read() -> None:
    async def scenario(local: LocalGateway) -> None:
        second = ITEM | {"id": "i2"}
        for _ in range(2):
            answer = await local.async_call(
                "POST", "/batch/job", make_job(ITEM, second), {"Request-Id": "j1"}
            )
            assert answer.status == 202
        page = await async_read_done(local, "j1", 2)
        assert (page["total"], page["next"]) == (2, 2)
        assert {result["id"] for result in page["results"]} == {"i1", "i2"}
        assert {result["state"] for result in page["results"]} == {"succeeded"}
        assert {result["text"] for result in page["results"]} == {"word1\nword2\nword3"}
        assert sorted(seen.headers["Request-Id"] for seen in local.engine.seen) == ["i1", "i2"]
        seen = local.engine.seen[0]
        assert seen.start_line == "POST /batch/1/a HTTP/1.1" and seen.body == b"\x00bytes"
        assert (seen.headers["Host"], seen.headers["Tenant"]) == ("host.example", "club")
        assert "X-Api-Key" not in seen.headers
        last = (await local.async_call("GET", "/-/lots/j1?after=1")).read_json()
        assert last["next"] == 2 and last["results"] == page["results"][1:]

    run_local(scenario)


@pytest.mark.parametrize(
    "fault", [f for f in EngineFault if f.name.startswith("HEAD_")] + [EngineFault.SHORT]
)
def test_an_item_whose_engine_closes_in_its_head_has_its_whole_text(fault: EngineFault) -> None:
    """Guards against an item that is done without its text, as a broken head counted as an answer."""

    async def scenario(local: LocalGateway) -> None:
        local.engine.faults = [fault]
        await local.async_call("POST", "/batch/job", make_job(ITEM), {"Request-Id": "j1"})
        page = await async_read_done(local, "j1", 1)
        assert [result["state"] for result in page["results"]] == ["succeeded"]
        assert [result["text"] for result in page["results"]] == ["word1\nword2\nword3"]

    run_local(scenario)


def change(**fields: Any) -> bytes:
    """Return a submission of one item with changed fields."""
    return make_job(copy.deepcopy(ITEM) | fields)


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b"{", "body"),
        (b"[]", "requests"),
        (orjson.dumps({"requests": []}), "requests"),
        (make_job(*[ITEM | {"id": str(n)} for n in range(201)]), "requests"),
        (make_job(ITEM, ITEM), "requests"),
        (orjson.dumps({"requests": [5]}), "requests[0]"),
        (change(id=5), "requests[0].id"),
        (change(path="x"), "requests[0].path"),
        (change(body="not base64!"), "requests[0].body"),
        (change(tokens="9"), "requests[0].tokens"),
        (change(headers=[]), "requests[0].headers"),
        (change(headers={"A": "b\r\nC: d"}), "requests[0].headers"),
        (change(headers={"A": "\u20ac"}), "requests[0].headers"),
        (change(path="/a b"), "requests[0].path"),
        (change(path="/a\r\nb"), "requests[0].path"),
        (change(path="/\u20ac"), "requests[0].path"),
        (change(id="\u20ac"), "requests[0].path"),
    ],
)
def test_the_refusal_of_a_malformed_job_names_the_field(body: bytes, field: str) -> None:
    async def scenario(local: LocalGateway) -> None:
        answer = await local.async_call("POST", "/batch/job", body, {"Request-Id": "j1"})
        assert answer.status == 400
        assert answer.read_json()["error"]["message"].startswith(f"{field}: ")
        assert (await local.async_call("GET", "/-/lots/j1?after=0")).status == 404

    run_local(scenario)


def test_a_job_beyond_the_customers_tokens_is_refused_with_a_time_to_retry() -> None:
    async def scenario(local: LocalGateway) -> None:
        answer = await local.async_call(
            "POST", "/batch/job", change(tokens=2_001), {"Request-Id": "j1"}
        )
        assert answer.status == 429 and float(answer.headers["Retry-After"]) > 0
        assert local.engine.seen == []

    run_local(scenario)


def test_other_customers_do_not_see_a_job() -> None:
    async def scenario(local: LocalGateway) -> None:
        await local.async_call("POST", "/batch/job", make_job(), {"Request-Id": "j1"})
        other = {"X-Api-Key": OTHER_KEY}
        assert (await local.async_call("GET", "/-/lots/j1?after=0", headers=other)).status == 404
        assert (await local.async_call("GET", "/-/items/j1?id=i1", headers=other)).status == 404
        assert (await local.async_call("DELETE", "/-/lots/j1", headers=other)).status == 404
        wrong = {"X-Api-Key": "wrong"}
        assert (await local.async_call("GET", "/-/lots/j1?after=0", headers=wrong)).status == 401

    run_local(scenario)


@pytest.mark.parametrize(
    "path", ["/-/lots/j1?after=x", "/-/lots/j1?after=-1", "/-/lots/j1?after=99999999"]
)
def test_a_malformed_position_is_refused(path: str) -> None:
    async def scenario(local: LocalGateway) -> None:
        assert (await local.async_call("GET", path)).status == 400

    run_local(scenario)


def test_a_cancelled_job_stops_and_stays_listed() -> None:
    async def scenario(local: LocalGateway) -> None:
        register_no_engine(local)
        await local.async_call("POST", "/batch/job", make_job(), {"Request-Id": "j1"})
        body = await local.async_call("GET", "/-/items/j1?id=i1")
        assert (body.status, body.body) == (200, b"\x00bytes")
        for _ in range(2):
            assert (await local.async_call("DELETE", "/-/lots/j1")).status == 200
        answer = await local.async_call("GET", "/-/lots/j1?after=0")
        assert answer.status == 200 and answer.read_json()["total"] == 1
        await asyncio.sleep(0.2)
        assert local.engine.seen == []
        assert (await local.async_call("DELETE", "/-/lots/other")).status == 404

    run_local(scenario)


def test_an_item_starts_on_an_idle_connection() -> None:
    """Guards against items that wait while slots are free, as idle connections use up the daemon's share."""
    config = copy.deepcopy(CONFIG)
    config["services"][0]["max_conns"] = 1

    async def scenario(local: LocalGateway) -> None:
        calls = (
            local.async_call("POST", "/stream/a", b"x", {"Request-Id": f"r{number}"})
            for number in range(5)
        )
        assert {answer.status for answer in await asyncio.gather(*calls)} == {200}
        pool = local.gateway.core.runner.pool
        assert pool.count_open(local.engine.address) >= MIN_CONNECTIONS
        answer = await local.async_call("POST", "/batch/job", make_job(), {"Request-Id": "j1"})
        assert answer.status == 202
        await async_read_done(local, "j1", 1)

    run_local(scenario, config)


def register_no_engine(local: LocalGateway) -> None:
    """Mark the engine as draining, so that it gets no work."""
    register(local.store, local.engine, state="draining")


def test_no_job_is_accepted_while_the_store_is_unavailable() -> None:
    """Guards against a job that is accepted and lost.

    A job that cannot be stored is refused as not run, with a time to retry.
    """

    async def scenario(local: LocalGateway) -> None:
        local.store.faults.status = 503
        answer = await local.async_call("POST", "/batch/job", make_job(), {"Request-Id": "j1"})
        assert answer.status == 503 and float(answer.headers["Retry-After"]) > 0
        assert (await local.async_call("GET", "/-/lots/j1?after=0")).status == 503
        local.store.faults.status = 0
        assert (await local.async_call("GET", "/-/lots/j1?after=0")).status == 404

    run_local(scenario)


def test_a_job_with_unknown_outcome_is_not_refused_as_not_run() -> None:
    """Guards against a job that runs twice: refused as "not run", it would be sent again under another id.

    The store applied the transaction, but its answers were lost.
    """

    async def scenario(local: LocalGateway) -> None:
        local.store.faults.reset_commits = True
        answer = await local.async_call("POST", "/batch/job", make_job(), {"Request-Id": "j1"})
        assert answer.status == 502
        local.store.faults.reset_commits = False
        answer = await local.async_call("POST", "/batch/job", make_job(), {"Request-Id": "j1"})
        assert answer.status == 202

    run_local(scenario, CONFIG)


@pytest.mark.parametrize(
    ("headers", "parts"),
    [
        ({"Prompt-Prefix": "5c1e07a2:800,91bd3f06:410"}, ("5c1e07a2", "91bd3f06")),
        ({"prompt-prefix": "a:1"}, ("a",)),
        ({}, ()),
    ],
)
def test_an_item_names_its_prompt_parts(headers: dict[str, str], parts: tuple[str, ...]) -> None:
    reader = SubmissionBodies()
    (item,) = reader.decode(make_job(ITEM | {"headers": headers})).unwrap()
    assert reader.read_prompt_parts(item) == parts


def test_a_results_read_that_waits_at_the_end_of_a_leave_gets_what_there_is() -> None:
    """Guards against a read that waits past the end of a planned shutdown, and is answered 502."""

    async def scenario(local: LocalGateway) -> None:
        local.engine.faults = [EngineFault.SILENT] * 10
        await local.async_call("POST", "/batch/job", make_job(ITEM), {"Request-Id": "j1"})
        reader, writer = await local.async_open()
        entry = local.gateway.core.get(ENTRY)
        entry.leave()
        await asyncio.sleep(0.4)
        writer.write(make_request("GET", "/-/lots/j1?after=0", headers={"Poll-Wait-Ms": "1000"}))
        answer = await async_read_answer(reader)
        assert answer.status == 200 and answer.whole
        assert answer.read_json() == {"total": 1, "next": 0, "results": []}
        await entry.async_wait()

    run_local(scenario)


@pytest.mark.parametrize(
    ("headers", "is_read"),
    [(60, True), (2_000, False)],
    ids=["the most items with many headers", "more values than a job needs"],
)
def test_a_submission_is_bounded_by_its_values(headers: int, is_read: bool) -> None:
    """Guards against a body of small values, which takes many times its size once decoded."""
    fields = {f"h{number}": "540,400" for number in range(headers)}
    item = {"path": "/batch/x", "headers": fields, "body": "YQ==", "tokens": 1}
    listed = [{"id": f"{number}", **item} for number in range(200)]
    decoded = SubmissionBodies().decode(orjson.dumps({"requests": listed}))
    assert isinstance(decoded, Ok) is is_read

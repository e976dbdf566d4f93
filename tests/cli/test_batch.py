"""Jobs over HTTP through the command line, against a daemon's routes in process."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from goldcreststair.cli.__main__ import app
from goldcreststair.cli.client import Call, Client
from goldcreststair.components import batch, configuration, keys, limits
from goldcreststair.components.batch.service import BATCH
from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.core import Core
from standins.engine.client import FakeUpstreams
from standins.engine.model import make_text
from standins.platform.store import FakePlatform
from tests.helpers.batch_fleet import make_lines
from tests.helpers.cores import make_configuration, make_core
from tests.helpers.ledgers import FakeLedger
from tests.helpers.peers import FakePeerNetwork


@dataclass
class Daemon:
    core: Core
    ledger: FakeLedger
    platform: FakePlatform
    url: str

    async def async_call(self, call: Call) -> object:
        return await asyncio.to_thread(Client(self.url, "key-acme").send, call)


@asynccontextmanager
async def start_daemon() -> AsyncIterator[Daemon]:
    clock = make_core().clock
    platform, upstreams = FakePlatform(clock), FakeUpstreams(clock)
    core = make_core(platform=platform, upstreams=upstreams, clock=clock)
    for address in ("127.0.0.1:9001", "127.0.0.1:9002"):
        upstreams.add_engine(address)
    ledger = FakeLedger(core.session_id)
    core.offer(LEDGER, ledger)
    core.offer(PEERS, FakePeerNetwork(clock).join(core.session_id))
    for component in (configuration, keys, limits):
        await component.async_setup(core)
    core.get(CONFIGURATION_FOLLOWER).apply(make_configuration())
    service = await batch.async_setup(core)
    server = HTTPServer(Application(core.routes))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    await service.async_start()
    yield Daemon(core, ledger, platform, f"http://127.0.0.1:{sockets[0].getsockname()[1]}")
    server.stop()
    await server.close_all_connections()
    await service.async_close()
    await upstreams.async_close()


def run_command(daemon: Daemon, *arguments: str) -> None:
    app([*arguments, "--url", daemon.url, "--key", "key-acme"], result_action="return_value")


def test_submit_status_results_cancel(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    source = tmp_path / "job.jsonl"
    source.write_bytes(b"\n".join(make_lines(5, tokens=3)))

    async def async_test() -> None:
        async with start_daemon() as daemon:

            async def async_run(*arguments: str) -> str:
                await asyncio.to_thread(run_command, daemon, *arguments)
                return capsys.readouterr().out

            submit = ("batch", "submit", str(source), "--endpoint", "/v1/completions")
            more = ("--model", "small", "--idempotency-key", "k", "--due-in-s", "60")
            job = json.loads(await async_run(*submit, *more))["id"]
            assert json.loads(await async_run(*submit, *more))["id"] == job
            state: dict[str, Any] = {}
            while state.get("state") != "finished":
                state = json.loads(await async_run("batch", "status", job))
                await asyncio.sleep(0.05)
            assert state["counts"]["done"] == 5
            lines = (await async_run("batch", "results", job)).splitlines()
            texts = [json.loads(x)["response"]["body"]["choices"][0]["text"] for x in lines]
            assert texts == [make_text(f"item {n}", 3) for n in range(5)]
            assert json.loads(await async_run("batch", "cancel", job))["cancelled"] is True
            assert len(json.loads(await async_run("batch", "status"))["data"]) == 1

    asyncio.run(asyncio.wait_for(async_test(), 30))


@pytest.mark.parametrize(
    ("content", "key", "status", "not_run", "part"),
    [
        (b"{}", "", 400, True, "line 1: custom_id"),
        (b"", "", 400, True, "no items"),
        (b"\n".join(make_lines(2, word="other")), "used", 422, True, "other content"),
    ],
)
def test_refusals(
    tmp_path: Path, content: bytes, key: str, status: int, not_run: bool, part: str
) -> None:
    async def async_test() -> None:
        async with start_daemon() as daemon:
            path = "/v1/batches?endpoint=/v1/completions&model=small"
            for number, body in enumerate((b"\n".join(make_lines(2)), content)):
                source = tmp_path / f"{number}"
                source.write_bytes(body)
                with source.open("rb") as opened:
                    headers = {"Idempotency-Key": "used" if number == 0 else key}
                    outcome = await daemon.async_call(Call("POST", path, headers, opened))
            error = outcome.err_value  # type: ignore[attr-defined]
            assert (error.status, error.not_run) == (status, not_run)
            assert part in error.message

    asyncio.run(asyncio.wait_for(async_test(), 30))


@pytest.mark.parametrize(("headers", "not_run"), [({}, True), ({"Idempotency-Key": "d"}, False)])
def test_job_is_refused_while_the_store_is_down(
    tmp_path: Path, headers: dict[str, str], not_run: bool
) -> None:
    """The store is down: the caller gets a refusal at once, with a time to retry.

    Under an idempotency key an earlier send may have been accepted although its response was
    lost. After "not run" the caller would submit the job anew and get each result twice.
    """
    source = tmp_path / "job"
    source.write_bytes(b"\n".join(make_lines(200)))

    async def async_test() -> None:
        async with start_daemon() as daemon:
            daemon.platform.faults.down = True
            path = "/v1/batches?endpoint=/v1/completions&model=small"
            with source.open("rb") as opened:
                outcome = await daemon.async_call(Call("POST", path, headers, opened))
            error = outcome.err_value  # type: ignore[attr-defined]
            assert (error.status, error.not_run, error.retry_after_s) == (503, not_run, 2)
            assert not daemon.core.get(BATCH).chunk_owner.chunks

    asyncio.run(asyncio.wait_for(async_test(), 30))

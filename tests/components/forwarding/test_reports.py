"""Tests of the metrics and log lines of failed runs."""

import asyncio
import logging

import pytest

from standins.gateways import GatewayFleet
from tests.helpers.gateways import async_send, run_fleet


def test_failed_request_is_counted_by_its_failure() -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        sending = asyncio.create_task(async_send(fleet, member, "/once/a"))
        await fleet.clock.async_sleep(200)
        engine.up = False
        answer = await sending
        assert answer.aborted
        page = member.core.meters.render().decode()
        assert 'goldcreststair_given_up_total{failure="lost"} 1.0' in page

    run_fleet(scenario)


def test_resumption_is_counted_by_its_software() -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a"))
        await fleet.clock.async_sleep(200)
        next(engine for engine in engines if engine.running).up = False
        assert (await sending).whole
        page = member.core.meters.render().decode()
        sample = 'goldcreststair_resumptions_total{resumed_by="daemon",software="same"} 1.0'
        assert sample in page

    run_fleet(scenario)


def test_log_gives_the_measured_silence(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a"))
        await fleet.clock.async_sleep(200)
        next(engine for engine in engines if engine.running).silent = True
        answer = await sending
        assert answer.whole

    with caplog.at_level(logging.INFO):
        run_fleet(scenario)
    (line,) = [r for r in caplog.records if r.getMessage() == "Request runs elsewhere"]
    reason = line.__dict__["reason"]
    assert reason.startswith("upstream fell silent: run ") and " of 600 ms" in reason

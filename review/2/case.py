"""Engines that crash one after the other make the part that all items share be refused for good."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.engine import Engine, make_text
from standins.fleet import Fleet, has_trouble, make_config, make_headers, read_job, run_case
from standins.web import call

ENGINES = 10
ITEMS = 180
EVENTS, EVENT_S = 203, 0.03
"""Events of an item, as on the sheet of the site, and the time that one takes."""
CRASHES = 5
FIRST_CRASH_S = 2.0
"""After the batch job was accepted; all slots for batch are taken by then."""
GAP_S, DOWN_S = 0.8, 0.7
"""Time between two crashes, and how long each engine is down: one of ten at a time."""
ENTRY_LEFT_S = 3.6
"""Three ping intervals, after which the entry of a crashed engine is removed."""
FINISH_S, CALM_S = 18.0, 5.0
JOB = "7c41e09b52d6a3f8"
SHARED_PART = "9c2e41"


async def scenario(fleet: Fleet) -> bool:
    def make_engine(name: str) -> Engine:
        engine = Engine(name, "engine", fleet.store)
        engine.events, engine.event_s = EVENTS, EVENT_S
        return engine

    engines = [make_engine(f"i-{number}") for number in range(ENGINES)]
    everyone = list(engines)
    await fleet.start(make_config(), engines, daemons=2)
    record, front = fleet.record, fleet.daemons[0].front

    def make_parts(own: int) -> str:
        return f"{SHARED_PART}:300,{own + 4096:x}:240"

    items = [
        {
            "id": f"item{number:012d}",
            "path": f"/batch/{number}",
            "headers": {
                "Model": "m",
                "Token-Count": "540,400",
                "Prompt-Prefix": make_parts(number),
            },
            "body": "q83vEjRWeJA=",
            "tokens": 940,
        }
        for number in range(ITEMS)
    ]
    body = json.dumps({"requests": items}).encode()
    answer = await call(front, "POST", "/batch/x", make_headers(JOB, 4000), body)
    record.add(f"batch job {JOB} of {ITEMS} items sent to daemon 0: answered {answer.status}")
    if answer.status != 202:
        raise RuntimeError("the batch job was not accepted")
    accepted_at = time.monotonic()

    async def crash(number: int) -> None:
        """Crash one engine; another start follows under a new id."""
        engine = engines[number]
        record.add(f"{engine.name} crashes with {engine.running} runs")
        await engine.crash()
        await asyncio.sleep(DOWN_S)
        engines[number] = after = make_engine(f"{engine.name}-again")
        everyone.append(after)
        await after.start()
        record.add(f"{after.name} is up")
        await asyncio.sleep(ENTRY_LEFT_S - DOWN_S)
        fleet.store.drop("servers", engine.name)

    await asyncio.sleep(FIRST_CRASH_S)
    crashes = []
    for number in range(CRASHES if has_trouble() else 0):
        crashes.append(asyncio.create_task(crash(number)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*crashes)
    last_crash_at = time.monotonic()

    results: list[dict[str, str]] = []
    while time.monotonic() < max(accepted_at, last_crash_at) + FINISH_S + CALM_S + 10:
        await asyncio.sleep(2.0)
        status, results = await read_job(fleet.daemons[1].front, JOB)
        record.add(
            f"read: {status}, {len(results)} of {ITEMS} listed; engines run "
            f"{[engine.running for engine in engines]}"
        )
        if len(results) == ITEMS:
            break
    fleet.engines = everyone
    for engine in everyone:
        for run in engine.runs:
            record.add(f"run {run}")
    for daemon in fleet.daemons:
        headers = make_headers(f"online{daemon.number}") | {"Prompt-Prefix": make_parts(1)}
        online = await call(daemon.front, "POST", "/stream/1", headers, b"x")
        record.add(f"an online request with that part: {online.status} {online.body[:150]!r}")

    listed = {result["id"] for result in results}
    lost = [item["id"] for item in items if item["id"] not in listed]
    wrong = [r for r in results if r["text"] != make_text(r["id"], EVENTS)]
    idle_s = time.monotonic() - max(run.ended_at for e in everyone for run in e.runs)
    record.add(f"{len(lost)} items neither succeeded nor dead_lettered, {len(wrong)} wrong results")
    record.add(f"no engine has had an item for {idle_s:.1f} s; {len(engines)} engines are up")
    return bool(lost) and idle_s > CALM_S


run_case(__file__, scenario)

"""One engine of seven fails part of its requests, after it began to work on them, with 503 and without `Not-Run`."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from engine import Engine
from fleet import CannotRun, Fleet, call, make_config, put_config, run
from platform_store import Store

ENGINES = 7
GREY = 1
"""`srv_grey`: a share of 0.15 of the servers, of seven one."""
FAILS = 0.4
"""`srv_grey`: x of its requests."""
WORKS_S = 0.1
REQUESTS = 150
EVERY_S = 0.08
LASTS_S = 5.0
"""`fleetbench kinds`: a disturbance lasts 5 s where nothing else is said."""
PROMISES = (408, 421, 429, 503)


async def main(record, trouble):
    store, fleet, rng = Store(), Fleet(record, 3), random.Random(1)
    began, answers = {}, {}

    def seen(event, **details):
        record(event, **details)

    async def fail(engine, request):
        loop = asyncio.get_running_loop()
        if not (starts <= loop.time() < starts + LASTS_S) or rng.random() >= FAILS:
            return None
        began[request] = engine.name
        record("began", request=request, engine=engine.name)
        await asyncio.sleep(WORKS_S)
        return ("status", 503)

    async def send(number):
        daemon = fleet.daemons[number % 3]
        request = f"{number:08x}"
        for attempt in range(2):
            headers = {
                "Host": "host.example",
                "X-Api-Key": "key-club",
                "Request-Id": f"{request}-{attempt}",
                "Deadline-Ms": "5000",
                "Model": "m",
                "Token-Count": "350,26",
                "Prompt-Prefix": f"aa:100,{number:x}:250",
            }
            record("sent", request=f"{request}-{attempt}", daemon=daemon.front)
            status, found, _ = await call(
                daemon.front, "POST", "/once/x", headers, b"book it %d" % number, 6.0
            )
            record(
                "answered",
                request=f"{request}-{attempt}",
                status=status,
                stamp=found.get("response-stamp", ""),
                not_run=found.get("not-run", ""),
            )
            answers[f"{request}-{attempt}"] = status
            # PROTOCOL.md: a client retries such a request only after a promise, on a new channel.
            if status not in PROMISES:
                return
            daemon = fleet.daemons[(number + 1) % 3]

    try:
        await store.start()
        put_config(store, record, make_config(7))
        starts = float("inf")
        for number in range(ENGINES):
            engine = Engine(store, f"i-{number}", "llm", seen, gap_s=0.02)
            if trouble and number < GREY:
                engine.before_run = lambda request, engine=engine: fail(engine, request)
            await engine.start()
        await fleet.start(store.address)
        await asyncio.sleep(3.0)
        starts = asyncio.get_running_loop().time() + 1.0
        sending = []
        for number in range(REQUESTS):
            sending.append(asyncio.create_task(send(number)))
            await asyncio.sleep(EVERY_S)
        await asyncio.gather(*sending)
        if trouble and not began:
            raise CannotRun("the engine failed no request")
        if not any(status == 200 for status in answers.values()):
            raise CannotRun("no request was answered")
        broken = [request for request in began if answers.get(request) in PROMISES]
        again = [request for request in broken if answers.get(request[:-1] + "1") == 200]
        refused = sorted({answers[request] for request in broken})
        record(
            "summary",
            began_and_failed=len(began),
            answered_with_a_promise=len(broken),
            run_again=len(again),
        )
        if broken:
            return f"{len(broken)} requests that ran, and may not run twice, were answered {refused}; {len(again)} of them ran again for the same caller"
        return ""
    finally:
        await fleet.stop()


run(main, Path(__file__).parent)

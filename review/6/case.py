"""A tenant leaves the configuration while its batch job runs, the job's owner is killed, and the tenant returns."""

import asyncio
import base64
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from engine import Engine
from fleet import CannotRun, Fleet, call, make_config, put_config, run
from platform_store import Store

ITEMS = 10
EVENTS = 176
GAP_S = 0.02
"""An item takes 3.5 s, as on zns-dielna."""
FINISH_S = 18.0
"""`finish_s` of zns-dielna."""
DOWN_S = 1.0
STAY = {"name": "stays", "api_keys": ["key-stays"], "rate_per_s": 0, "burst": 0, "priority": 0}
LEAVES = {"name": "club", "api_keys": ["key-club"], "rate_per_s": 0, "burst": 0, "priority": 0}
RETURNS = LEAVES | {"api_keys": ["key-club-2"]}


def make_job():
    items = [
        {
            "id": f"{item:016x}",
            "path": f"/batch/{item}",
            "headers": {
                "Model": "m",
                "Token-Count": f"350,{EVENTS}",
                "Prompt-Prefix": f"aa:100,{item:x}:250",
            },
            "body": base64.b64encode(b"brief").decode(),
            "tokens": 350 + EVENTS,
        }
        for item in range(ITEMS)
    ]
    return json.dumps({"requests": items}).encode()


async def main(record, trouble):
    store, fleet = Store(), Fleet(record, 3)
    ran_at = []

    def seen(event, **details):
        record(event, **details)
        if event in ("ran", "finished"):
            ran_at.append(time.monotonic())

    try:
        await store.start()
        put_config(store, record, make_config(7, tenants=[STAY, LEAVES]))
        for number in range(2):
            await Engine(store, f"i-{number}", "llm", seen, gap_s=GAP_S).start()
        await fleet.start(store.address)
        await asyncio.sleep(3.0)
        headers = {
            "Host": "host.example",
            "X-Api-Key": "key-club",
            "Request-Id": "0000000000000001",
            "Deadline-Ms": "4000",
        }
        owner = fleet.daemons[0]
        status, _, _ = await call(owner.front, "POST", "/batch/jobs", headers, make_job(), 6.0)
        record("submitted", daemon=owner.front, status=status)
        if status != 202:
            raise CannotRun(f"the job was answered {status}")
        await asyncio.sleep(1.0)
        if trouble:
            put_config(store, record, make_config(8, tenants=[STAY]))
        await asyncio.sleep(2.0)
        owner.send(signal.SIGKILL)
        await owner.process.wait()
        await asyncio.sleep(DOWN_S)
        await owner.start()
        await asyncio.sleep(FINISH_S)
        put_config(store, record, make_config(9, tenants=[STAY, RETURNS]))
        returned_at = time.monotonic()
        reading = {"Host": "host.example", "X-Api-Key": "key-club-2"}
        results, status = [], 0
        for _ in range(20):
            status, _, body = await call(
                fleet.daemons[1].front, "GET", "/-/lots/0000000000000001?after=0", reading, b"", 5.0
            )
            record("read", status=status)
            if status == 200:
                results = json.loads(body)["results"]
                break
            await asyncio.sleep(0.05)
        if status != 200:
            raise CannotRun(f"the job could not be read: {status}")
        idle_s = returned_at - max(ran_at)
        record("listed", results=len(results), of=ITEMS, engines_idle_s=round(idle_s, 1))
        if len(results) < ITEMS:
            return f"{ITEMS - len(results)} of {ITEMS} items are listed in no state; the engines had been idle for {idle_s:.1f} s"
        return ""
    finally:
        await fleet.stop()


run(main, Path(__file__).parent)

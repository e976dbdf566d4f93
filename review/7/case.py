"""A request that crashes each engine 1.3 s after it begins to run comes again and again, beside ordinary streams."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from engine import Engine
from fleet import CannotRun, Fleet, call, make_config, put_config, run
from platform_store import Store

ENGINES = 6
CRASH_AFTER_S = 1.3
"""From the request's first token to the crash; its whole stream takes 2 s."""
BACK_AFTER_S = 3.0
"""PROTOCOL.md: the engine is back after some seconds."""
EVERY_S = 1.5
"""Pause between two attempts; each goes to the next daemon."""
LASTS_S = 40.0
STABLE_S = 3.0
"""`stable_ms` of zns-dielna."""
ALLOWED = 3
BAD_BODY = b"the brief that crashes engines"


async def main(record, trouble):
    store, fleet = Store(), Fleet(record, 3)
    bad, reached, crashes = set(), [], []
    outcomes = {"ordinary": {}, "bad": {}}

    def seen(event, **details):
        record(event, **details)
        if event == "reached" and details["request"] in bad:
            reached.append(time.monotonic())

    async def bring(number, life):
        engine = Engine(store, f"i-{number}-{life}", "llm", seen)

        async def crash_later():
            await asyncio.sleep(CRASH_AFTER_S)
            if not engine.server.is_serving():
                return
            crashes.append(time.monotonic())
            record("crashed", engine=engine.name, running=engine.running)
            engine.crash()
            await asyncio.sleep(BACK_AFTER_S)
            store.drop("servers", "", engine.name)
            await bring(number, life + 1)

        async def before_run(request):
            if trouble and request in bad:
                crashing.append(asyncio.create_task(crash_later()))

        engine.before_run = before_run
        await engine.start()

    async def send(kind, request, path, body, number, daemon):
        headers = {
            "Host": "host.example",
            "X-Api-Key": "key-club",
            "Request-Id": request,
            "Deadline-Ms": "5000",
            "Model": "m",
            "Token-Count": "350,100",
            "Prompt-Prefix": f"aa:100,{number}:250",
        }
        record("sent", kind=kind, request=request, daemon=daemon.front)
        try:
            status, _, _ = await call(daemon.front, "POST", path, headers, body, 6.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        record("answered", kind=kind, request=request, status=status)
        outcomes[kind][status] = outcomes[kind].get(status, 0) + 1

    crashing, sending = [], []
    try:
        await store.start()
        put_config(store, record, make_config(7))
        for number in range(ENGINES):
            await bring(number, 0)
        await fleet.start(store.address)
        await asyncio.sleep(3.0)
        began = time.monotonic()
        ordinary = attempt = 0
        while (now := time.monotonic()) < began + LASTS_S:
            if now >= began + attempt * EVERY_S:
                request = f"bad{attempt:05x}"
                bad.add(request)
                sending.append(
                    asyncio.create_task(
                        send(
                            "bad",
                            request,
                            "/once/bad",
                            BAD_BODY,
                            "dead",
                            fleet.daemons[attempt % 3],
                        )
                    )
                )
                attempt += 1
            request = f"{ordinary:08x}"
            sending.append(
                asyncio.create_task(
                    send(
                        "ordinary",
                        request,
                        "/once/x",
                        b"brief %d" % ordinary,
                        f"{ordinary:x}",
                        fleet.daemons[ordinary % 3],
                    )
                )
            )
            ordinary += 1
            await asyncio.sleep(0.1)
        await asyncio.gather(*sending)
        record("outcomes", **outcomes)
        if not outcomes["ordinary"].get(200):
            raise CannotRun("no ordinary request was answered")
        if not trouble:
            return "engines crashed without the request" if crashes else ""
        if len(crashes) < 3:
            raise CannotRun("the request crashed fewer than three engines")
        late = [at for at in reached if at > crashes[2] + STABLE_S]
        if len(late) > ALLOWED:
            return f"{len(late)} retries reached engines later than {STABLE_S:g} s after the third crash; {ALLOWED} may; {len(crashes)} crashes; {outcomes}"
        return ""
    finally:
        for task in crashing:
            task.cancel()
        await fleet.stop()


run(main, Path(__file__).parent)

"""The keys of the only tenant are taken away; after that, requests with that key and with keys that never were."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from engine import Engine
from fleet import CannotRun, Fleet, call, make_config, put_config, run
from platform_store import Store

CONFIG_APPLY_S = 2.0
"""`config_apply_ms` of zns-dielna."""
ROUNDS = 5


async def main(record, trouble):
    store, fleet = Store(), Fleet(record, 3)
    ran, sent = {}, {}

    def seen(event, **details):
        record(event, **details)
        if event == "reached":
            ran[details["request"]] = details["tenant"]

    async def send(key, request, daemon):
        headers = {"Host": "host.example", "Request-Id": request, "Deadline-Ms": "4000", "Model": "m", "Token-Count": "350,5", "Prompt-Prefix": f"aa:100,{request}:250"}
        status, _, _ = await call(daemon.front, "POST", "/online/x", headers | {"X-Api-Key": key}, b"brief", 5.0)
        sent[request] = key
        record("answered", request=request, daemon=daemon.front, key=key, status=status)
        return status

    try:
        await store.start()
        put_config(store, record, make_config(7))
        await Engine(store, "i-0", "llm", seen).start()
        await fleet.start(store.address)
        await asyncio.sleep(3.0)
        first = [await send("key-club", f"before{number}", daemon) for number, daemon in enumerate(fleet.daemons)]
        unknown = [await send("key-of-nobody", f"unknown{number}", daemon) for number, daemon in enumerate(fleet.daemons)]
        if first != [200] * 3 or unknown != [401] * 3:
            raise CannotRun(f"before the change: {first} with the tenant's key, {unknown} with an unknown one")
        if trouble:
            put_config(store, record, make_config(8) | {"tenants": []})
        await asyncio.sleep(CONFIG_APPLY_S + 1.0)
        for turn in range(ROUNDS):
            for number, daemon in enumerate(fleet.daemons):
                await send("key-club", f"withdrawn{turn}{number}", daemon)
                await send("key-of-nobody", f"never{turn}{number}", daemon)
        never = [request for request in ran if request.startswith("never")]
        withdrawn = [request for request in ran if request.startswith("withdrawn")]
        record("ran", with_a_key_that_never_was=len(never), with_the_first_key=len(withdrawn), of=ROUNDS * 3)
        if never:
            tenants = sorted({ran[request] for request in never})
            return f"{len(never)} of {ROUNDS * 3} requests ran whose key no configuration ever held, as tenant {tenants}; {len(withdrawn)} with the withdrawn key"
        return ""
    finally:
        await fleet.stop()


run(main, Path(__file__).parent)

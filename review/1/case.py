"""A stream that its engine broke off within the first event reaches the client as a complete one."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.engine import Engine, Run, make_data
from standins.fleet import Fleet, has_trouble, make_config, make_headers, run_case
from standins.store import Store
from standins.web import Request, call

SECONDS = 60.0
CLIENTS = 12
ENGINES = 4
FAULTY = 1
"""Engines with the disruption: a share of 0.25."""
WINDOW_S, PAUSE_S = 5.0, 1.0
"""Length of one disruption (`for_s`), and the time between two."""
BROKEN_SHARE = 0.02
"""Share of the answers that are broken off (`x`)."""
EVENTS = 6
SEED = 1


class UnframedEngine(Engine):
    """Answers without a length if asked to, and breaks some answers off in the middle of an event."""

    def __init__(self, name: str, service: str, store: Store, faulty: bool) -> None:
        super().__init__(name, service, store)
        self.broken_off: set[str] = set()
        """Requests whose answer was broken off."""
        self.by_request: dict[str, list[Run]] = {}
        self._faulty = faulty
        self._random = random.Random(SEED)
        self._began_at = time.monotonic()

    def _breaks_off(self) -> bool:
        in_window = (time.monotonic() - self._began_at) % (WINDOW_S + PAUSE_S) < WINDOW_S
        return self._faulty and in_window and self._random.random() < BROKEN_SHARE

    async def answer(self, request: Request, run: Run) -> bool:
        run.status = 200
        self.by_request.setdefault(run.request, []).append(run)
        more = "Content-Type: text/event-stream\r\nConnection: close"
        request.writer.write(self.head(request, 200, more))
        breaks_off = self._breaks_off()
        for number in range(run.after + 1, EVENTS + 1):
            await asyncio.sleep(0.02)
            event = f"id: {number}\ndata: {make_data(run.request, number)}\n\n".encode()
            if breaks_off:
                self.broken_off.add(run.request)
                request.writer.write(event[: len(event) // 2])
                await request.writer.drain()
                return False
            request.writer.write(event)
        await request.writer.drain()
        run.whole = True
        return False


async def scenario(fleet: Fleet) -> bool:
    engines = [
        UnframedEngine(f"i-{number}", "engine", fleet.store, has_trouble() and number < FAULTY)
        for number in range(ENGINES)
    ]
    config = make_config()
    config["routes"][0] |= {"resumable": False, "max_attempts": 1}
    await fleet.start(config, engines, daemons=2)
    record = fleet.record
    ends_at = time.monotonic() + SECONDS
    counts: dict[str, int] = {}
    broken: list[str] = []

    async def run_client(client: int) -> None:
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            name = f"{client:04x}{number:012x}"
            front = fleet.daemons[number % len(fleet.daemons)].front
            answer = await call(front, "POST", "/stream/1", make_headers(name), b"x")
            whole = "".join(f"id: {n}\ndata: {make_data(name, n)}\n\n" for n in range(1, EVENTS + 1))
            kind = f"{answer.status} {'complete' if answer.whole else 'broken off'}"
            false = answer.status == 200 and answer.whole and answer.body != whole.encode()
            if false:
                kind += ", but not the whole stream"
                broken.append(name)
            counts[kind] = counts.get(kind, 0) + 1
            runs = [run for engine in engines for run in engine.by_request.get(name, ())]
            ran = ", ".join(f"{run.engine} ({'whole' if run.whole else 'broken off'})" for run in runs)
            events = answer.body.count(b"id: ")
            record.add(f"{name} to {front}: {kind}, {events} events; run by {ran}")
            if false or any(name in engine.broken_off for engine in engines):
                record.add(f"  headers {answer.headers}, body {answer.body!r}")
                for run in runs:
                    record.add(f"  {run}")

    await asyncio.gather(*(run_client(client) for client in range(CLIENTS)))
    for kind, count in sorted(counts.items()):
        record.add(f"answers: {kind}: {count}")
    record.add(f"engines broke off {sum(len(engine.broken_off) for engine in engines)} answers")
    record.add(f"{len(broken)} streams ended as complete before their last event")
    return bool(broken)


run_case(__file__, scenario)

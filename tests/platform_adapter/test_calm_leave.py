"""Requests that reach a daemon at every moment of a planned shutdown, while nothing else happens."""

import asyncio
import copy
import itertools
import math
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from tests.platform_adapter.leave_rule import LATE_SEND_S, CutRequest, is_lost
from tests.platform_adapter.leave_site import (
    READ_SLACK_S,
    LeaveSite,
    PacedEngine,
    Sent,
    async_open_leave_site,
    async_read,
)
from tests.platform_adapter.local import CONFIG, make_request, register
from tests.platform_adapter.soak.callers import async_open
from tests.platform_adapter.soak.engine import EVENTS_HEADER, PADDING_HEADER, PAUSE_HEADER
from tests.platform_adapter.soak.record import GRACE_S

LONG_S: Final = 20.0
"""Timeout of the routes, longer than the grace period."""
EVENTS: Final = 8
BEFORE_S: Final = 2.0
"""Time before SIGTERM from which requests are sent."""
UNTIL_S: Final = 7.9
STEP_S: Final = 0.8
BODY_BYTES: Final = 1_000
LONGEST_PAUSE_S: Final = 0.4
"""Longest time between two events of an upstream; a longer silence ends its run."""
PADDING: Final = 40_000
"""Bytes of an event that a slow reader gets."""
ENOUGH_SLOTS: Final = 400


@dataclass(frozen=True, slots=True)
class Case:
    """How a caller sends a request and reads its answer."""

    path: str
    deadline_s: float
    """The caller's deadline; more than the route's timeout leaves it to that."""
    run_share: float
    """Part of the time allowed that the upstream takes."""
    kept: bool = True
    body_s: float = 0.0
    """Time over which the body is sent."""
    read_s: float = 0.0
    """Pause behind the head of the answer, which then has padding."""

    @property
    def allowed_s(self) -> float:
        """Return the time from the request to the first timeout."""
        return min(self.deadline_s, LONG_S)


def list_cases() -> list[Case]:
    """Return all kinds of calls, with the shortest and longest run times that their timeouts allow."""
    paths = ("/once/x", "/stream/x", "/call/x", "/book/x", "/plain/x")
    times = ((2 * LONG_S, 0.95), (2 * LONG_S, 0.02), (4.0, 0.95), (2.0, 0.9), (0.6, 0.3))
    cases = [
        Case(path, deadline_s, share, kept)
        for path, (deadline_s, share), kept in itertools.product(paths, times, (True, False))
    ]
    for path in paths:
        cases.append(Case(path, 4.0, 0.3, body_s=1.5))
        cases.append(Case(path, 2 * LONG_S, 0.05, body_s=1.5))
        cases.append(Case(path, 4.0, 0.3, read_s=1.0))
    return cases


def make_config() -> dict[str, Any]:
    """Return a document with routes of all kinds whose timeouts are longer than the grace period."""
    config: dict[str, Any] = copy.deepcopy(CONFIG)
    call = next(each for each in config["routes"] if each["name"] == "r-call")
    config["routes"] += [
        call | {"name": "r-book", "prefix": "/book/", "kind": "non_idempotent"},
        call | {"name": "r-plain", "prefix": "/plain/", "service": "plain"},
    ]
    for route in config["routes"]:
        route["timeout_ms"] = round(LONG_S * 1_000)
    config["services"] += [{"name": "plain", "max_conns": 1_000}]
    config["services"][0]["max_conns"] = 1_000
    return config


@dataclass(slots=True)
class CalmLeave:
    """One shutdown of one daemon, and the requests around it."""

    site: LeaveSite
    sent: list[tuple[Case, Sent]]
    sigterm_at: float

    def list_lost(self) -> list[str]:
        """Return the requests that were cut although a shutdown may not cut them."""
        lost = []
        for case, sent in self.sent:
            if sent.whole:
                continue
            runs = self.site.list_runs(sent.request)
            body_sent_at = sent.sent_at + case.body_s
            if not runs and sent.ended_at < body_sent_at:
                continue
            cut = CutRequest(
                sent.sent_at if runs else body_sent_at,
                sent.ended_at,
                sent.sent_at + case.allowed_s,
                bool(runs),
                max((min(run.ended_at, sent.ended_at) for run in runs), default=float("-inf")),
            )
            if is_lost(cut, self.sigterm_at, GRACE_S):
                times = (sent.sent_at - self.sigterm_at, sent.ended_at - self.sigterm_at)
                lost.append(f"{case} sent {times[0]:.2f} cut {times[1]:.2f} runs {len(runs)}")
        return lost

    def print_table(self) -> None:
        """Print what became of the requests, by the second in which they were sent."""
        rows: dict[int, Counter[str]] = {}
        for _, sent in self.sent:
            passed_on = self.site.find_run(sent.request) is not None
            end = str(sent.status) if sent.whole else "cut"
            second = int((sent.sent_at - self.sigterm_at) // 1)
            rows.setdefault(second, Counter())[f"{end}{' passed on' if passed_on else ''}"] += 1
        for second, counts in sorted(rows.items()):
            print(second, dict(sorted(counts.items())))


async def async_send(writer: asyncio.StreamWriter, message: bytes, body_s: float) -> None:
    """Send a request, whose body takes `body_s`."""
    half = len(message) - BODY_BYTES // 2
    writer.write(message[: half - 1])
    await asyncio.sleep(body_s / 2)
    writer.write(message[half - 1 : -1])
    await asyncio.sleep(body_s / 2)
    writer.write(message[-1:])


async def async_call(
    site: LeaveSite,
    case: Case,
    at: float,
    opened: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None,
    request: str,
) -> tuple[Case, Sent] | None:
    """Send one request at a moment; None if the daemon accepts no connection any more."""
    daemon = site.daemons[-1]
    await asyncio.sleep(at - time.monotonic())
    if opened is None:
        try:
            opened = await async_open(daemon.plan.front)
        except OSError:
            return None
    reader, writer = opened
    run_s = case.run_share * case.allowed_s
    events = max(EVENTS, math.ceil(run_s / LONGEST_PAUSE_S))
    sent = Sent(request, daemon.name, time.monotonic())
    headers = {
        "Request-Id": request,
        "Deadline-Ms": str(round(case.deadline_s * 1_000)),
        EVENTS_HEADER: str(events),
        PAUSE_HEADER: str(round(run_s / events * 1_000)),
        PADDING_HEADER: str(PADDING) if case.read_s else "0",
    }
    message = make_request("POST", case.path, b"x" * BODY_BYTES, headers)
    sending = asyncio.create_task(async_send(writer, message, case.body_s))
    await async_read(reader, sent, LONG_S + READ_SLACK_S, case.read_s)
    sending.cancel()
    writer.close()
    return case, sent


async def async_play(site: LeaveSite) -> CalmLeave:
    """Shut one daemon down under requests of all cases."""
    front = site.daemons[-1].plan.front
    sigterm_at = time.monotonic() + BEFORE_S + 3.0
    moments = [
        sigterm_at - BEFORE_S + STEP_S * n for n in range(round((UNTIL_S + BEFORE_S) / STEP_S))
    ]
    calls = []
    for number, (case, at) in enumerate(itertools.product(list_cases(), moments)):
        shifted = at + STEP_S * (number % 7) / 7
        opened = await async_open(front) if case.kept else None
        calls.append(asyncio.create_task(async_call(site, case, shifted, opened, f"c{number}")))
    await asyncio.sleep(sigterm_at - time.monotonic())
    ended_at = await site.send_sigterm(site.daemons[-1])
    print(f"ended {ended_at - sigterm_at:.2f} s after SIGTERM")
    sent = [each for each in await asyncio.gather(*calls) if each is not None]
    return CalmLeave(site, sent, sigterm_at)


def test_requests_of_each_second_of_a_calm_leave_are_answered(tmp_path: Path) -> None:
    """Guards against requests that are passed on late in the grace period and cut at its end."""

    async def async_test() -> CalmLeave:
        async with async_open_leave_site(tmp_path, make_config(), ENOUGH_SLOTS) as site:
            plain = PacedEngine("p-0", pace=site.pace)
            await plain.async_start()
            site.engines.append(plain)
            register(site.store, plain, slots=ENOUGH_SLOTS, service="plain")
            return await async_play(site)

    leave = asyncio.run(async_test())
    leave.print_table()
    assert leave.list_lost() == []
    late = [sent for _, sent in leave.sent if sent.sent_at > leave.sigterm_at + LATE_SEND_S]
    assert {200, 503} <= {sent.status for sent in late if sent.whole}

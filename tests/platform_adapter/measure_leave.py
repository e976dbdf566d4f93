"""Measures what a planned shutdown costs callers, with daemons as processes, beside busy processes if asked.

`python -m tests.platform_adapter.measure_leave --seed 1 --slower 10 --slower-after-ms 2900` (with `PYTHONPATH=platform:.`) shuts
one of three daemons down three times under streams that may not be repeated. It prints how many were cut, how many were refused
that the daemon could have served, and when its process ended.
"""

import asyncio
import contextlib
import logging
import os
import random
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Final

import orjson
from cyclopts import App

from tests.platform_adapter.busy import async_start_busy
from tests.platform_adapter.leave_rule import CutRequest, is_lost
from tests.platform_adapter.leave_site import (
    DEADLINE_S,
    KeepingCaller,
    LeaveSite,
    Sent,
    async_open_leave_site,
    async_slow_down,
)
from tests.platform_adapter.soak.daemons import Daemon
from tests.platform_adapter.soak.record import GRACE_S

app = App(help=__doc__)

LEAVES: Final = 3
CALM_S: Final = 5.0
"""Time before each SIGTERM, in which the daemon learns how long streams take."""
OBJECTIVE_MS: Final = 300
"""Objective for the time to the first event."""
LEFT: Final = "Left"


@dataclass(frozen=True, slots=True)
class Leave:
    """One shutdown; times are in s of one monotonic clock."""

    daemon: str
    sigterm_at: float
    left_at: float
    """When the daemon logged that it had left; infinite if it did not."""
    ended_at: float

    def covers(self, sent: Sent) -> bool:
        """Return whether an attempt at this daemon ended during the shutdown or just after it."""
        return sent.daemon == self.daemon and self.sigterm_at <= sent.ended_at <= self.ended_at + 1


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that a leaving daemon refused, and what became of it elsewhere."""

    sent_after_s: float
    """Time from SIGTERM to the request."""
    served: bool
    """Whether its retry was served completely."""
    retried_ms: float
    """Time from the first attempt to the retry."""
    waited_ms: float
    """Time from the first attempt to the first event of the retry."""
    took_s: float
    """Time from the retry to the end of its answer."""

    def could_end_by(self, stop_s: float) -> bool:
        """Return whether the leaving daemon could have served it until `stop_s` after SIGTERM."""
        return self.served and self.sent_after_s + self.took_s <= stop_s


@dataclass(slots=True)
class Cut:
    """The requests of one shutdown that ended without a complete answer."""

    lost: list[Sent] = field(default_factory=list)
    """Those that may not be cut."""
    allowed: list[Sent] = field(default_factory=list)
    """Those that an upstream had begun, and that may be cut."""
    crossed: list[Sent] = field(default_factory=list)
    """Those that no upstream had begun, and that crossed the end of their connection."""


def list_cut(site: LeaveSite, leave: Leave) -> Cut:
    """Return the requests that were cut during a shutdown."""
    cut = Cut()
    for sent in site.sent:
        if sent.whole or not leave.covers(sent):
            continue
        run = site.find_run(sent.request)
        at_work_until = min(run.ended_at, sent.ended_at) if run is not None else float("-inf")
        ends_by = sent.sent_at + DEADLINE_S
        request = CutRequest(sent.sent_at, sent.ended_at, ends_by, run is not None, at_work_until)
        if is_lost(request, leave.sigterm_at, GRACE_S):
            cut.lost.append(sent)
        else:
            (cut.crossed if run is None else cut.allowed).append(sent)
    return cut


def list_refusals(site: LeaveSite, leave: Leave) -> list[Refusal]:
    """Return what became of the requests that a leaving daemon refused."""
    refusals = []
    for sent in site.sent:
        if not sent.refused or not leave.covers(sent):
            continue
        retry = sent.retry
        served = retry is not None and retry.whole and retry.status == 200
        if retry is None:
            retry = Sent("", "", float("inf"))
        refusal = Refusal(
            sent.sent_at - leave.sigterm_at,
            served,
            (retry.sent_at - sent.sent_at) * 1_000,
            (retry.first_event_at - sent.sent_at) * 1_000,
            retry.ended_at - retry.sent_at if served else float("inf"),
        )
        refusals.append(refusal)
    return refusals


def read_left_at(log: Path, since: float) -> float:
    """Return when a daemon logged that it had left, as a monotonic time; infinite if it did not."""
    offset = time.time() - time.monotonic()
    for line in log.read_text().splitlines():
        with contextlib.suppress(orjson.JSONDecodeError):
            entry = orjson.loads(line)
            at = datetime.fromisoformat(entry["time"]).timestamp() - offset
            if entry["event"] == LEFT and at >= since:
                return at
    return float("inf")


async def async_leave_once(
    site: LeaveSite, daemon: Daemon, slower: float, slower_after_s: float, store_silent: bool
) -> Leave:
    """Shut one daemon down and start it again."""
    sigterm_at = time.monotonic()
    ending = site.send_sigterm(daemon)
    site.store.faults.silent = store_silent
    slowing = asyncio.create_task(async_slow_down(site.pace, slower_after_s, slower))
    ended_at = await ending
    slowing.cancel()
    site.pace.factor, site.store.faults.silent = 1.0, False
    await site.async_restart(daemon)
    return Leave(daemon.name, sigterm_at, read_left_at(daemon.log, sigterm_at), ended_at)


async def async_measure(
    folder: Path,
    seed: int,
    callers: int,
    slower: float,
    slower_after_ms: int,
    store_silent: bool,
) -> tuple[LeaveSite, list[Leave]]:
    """Shut one daemon of a site down several times under load."""
    leaves: list[Leave] = []
    async with async_open_leave_site(folder) as site:
        ended = asyncio.Event()
        async with asyncio.TaskGroup() as tasks:
            for number in range(callers):
                caller = KeepingCaller(f"c{number}", site, random.Random(f"{seed}-{number}"))
                tasks.create_task(caller.async_run(ended))
            for _ in range(LEAVES):
                await asyncio.sleep(CALM_S)
                leave = await async_leave_once(
                    site, site.daemons[-1], slower, slower_after_ms / 1_000, store_silent
                )
                leaves.append(leave)
            ended.set()
    return site, leaves


def print_report(site: LeaveSite, leaves: Sequence[Leave], stop_s: float) -> None:
    """Print what the shutdowns cost callers in both directions, and how long they took."""
    statuses = Counter((sent.status, sent.whole) for sent in site.sent)
    print(f"{len(site.sent)} requests, by status and whole: {dict(statuses)}")
    total, refusals = Cut(), list[Refusal]()
    for leave in leaves:
        cut, refused = list_cut(site, leave), list_refusals(site, leave)
        total.lost += cut.lost
        total.allowed += cut.allowed
        total.crossed += cut.crossed
        refusals += refused
        print(
            f"ended {leave.ended_at - leave.sigterm_at:.3f} s after SIGTERM, "
            f"{(leave.ended_at - leave.left_at) * 1_000:.0f} ms after its log line; "
            f"cut {len(cut.lost)} against the rule, {len(cut.allowed)} otherwise; "
            f"refused {len(refused)}"
        )
        for sent in cut.lost:
            times = (sent.sent_at - leave.sigterm_at, sent.ended_at - leave.sigterm_at)
            print(f"  lost: {sent.request}, sent at {times[0]:.2f} s, ended at {times[1]:.2f} s")
    print(
        f"cut against the rule: {len(total.lost)}; cut and not counted: {len(total.allowed)}; "
        f"crossed the end of a connection: {len(total.crossed)}"
    )
    could = sum(refusal.could_end_by(stop_s) for refusal in refusals)
    served = [refusal for refusal in refusals if refusal.served]
    print(
        f"refused by the leaving daemon: {len(refusals)}; could have ended there by {stop_s} s: {could}; "
        f"served elsewhere: {len(served)}"
    )
    if served:
        waited = sorted(refusal.waited_ms for refusal in served)
        share = sum(each <= OBJECTIVE_MS for each in waited) / len(refusals)
        retried = statistics.median(refusal.retried_ms for refusal in served)
        print(
            f"sent elsewhere after (median) {retried:.0f} ms; "
            f"first event elsewhere: median {statistics.median(waited):.0f} ms, worst {waited[-1]:.0f} ms, "
            f"within {OBJECTIVE_MS} ms: {share:.3f} of the refused"
        )


async def async_main(
    seed: int,
    callers: int,
    slower: float,
    slower_after_ms: int,
    busy: int,
    store_silent: bool,
    stop_s: float,
) -> None:
    """Measure one seed beside busy processes and print the figures."""
    folder = Path(tempfile.mkdtemp(prefix=f"leave-{seed}-"))
    print(
        f"seed {seed}, {callers} callers, {slower} times slower {slower_after_ms} ms after SIGTERM, {busy} busy processes on "
        f"{os.cpu_count()} processors, store silent: {store_silent}, logs in {folder}"
    )
    hogs = await async_start_busy(busy)
    try:
        site, leaves = await async_measure(
            folder, seed, callers, slower, slower_after_ms, store_silent
        )
    finally:
        for hog in hogs:
            hog.kill()
    print_report(site, leaves, stop_s)


@app.default
def main(
    seed: int = 1,
    callers: int = 30,
    slower: float = 1.0,
    slower_after_ms: int = 2_900,
    busy: int = 0,
    store_silent: bool = False,
    stop_s: float = GRACE_S,
) -> None:
    """Print one measurement; `stop_s` is the time after SIGTERM until which a daemon could serve."""
    # The stand-in store's server would log every connection that a leaving daemon closes.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    asyncio.run(async_main(seed, callers, slower, slower_after_ms, busy, store_silent, stop_s))


if __name__ == "__main__":
    app()

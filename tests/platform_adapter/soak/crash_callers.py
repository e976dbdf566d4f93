"""Callers whose requests share a prompt part that crashes upstreams, and no two of which are alike."""

import asyncio
import contextlib
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from standins.crash_rules import SentRequest
from tests.platform_adapter.local import make_request
from tests.platform_adapter.soak.callers import (
    PATHS,
    WAIT_AFTER_DEADLINE_S,
    async_open,
    async_read_or_none,
    choose_first_part,
    make_parts,
)
from tests.platform_adapter.soak.daemons import Daemon
from tests.platform_adapter.soak.manners import DEADLINE_S
from tests.platform_adapter.soak.record import Record

CALM_S: Final = 3.0
"""Time before the first such request."""
PER_S: Final = 1.5
ATTEMPTS: Final = 2
REPEAT_S: Final = 0.1
CUSTOMER: Final = "club"
STATUS_OK: Final = 200


@dataclass(slots=True)
class CrashCaller:
    """Sends requests with one part, each on a new connection and, if it fails, once more elsewhere."""

    part: str
    daemons: Sequence[Daemon]
    record: Record
    chooser: random.Random

    async def async_run(self, ended: asyncio.Event) -> None:
        """Send requests until `ended` is set."""
        await self._async_pause(CALM_S, ended)
        number = 0
        async with asyncio.TaskGroup() as tasks:
            while not ended.is_set():
                number += 1
                tasks.create_task(self._async_send(f"{self.part}-{number}"))
                await self._async_pause(self.chooser.expovariate(PER_S), ended)

    async def _async_pause(self, seconds: float, ended: asyncio.Event) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await ended.wait()

    async def _async_send(self, name: str) -> None:
        first = choose_first_part(self.chooser)
        for attempt in range(ATTEMPTS):
            listed = [daemon for daemon in self.daemons if daemon.listed]
            try:
                daemon = self.chooser.choice(listed)
                reader, writer = await async_open(daemon.front.address)
            except (IndexError, OSError):
                continue
            request, at = f"{name}-{attempt}", time.monotonic()
            self.record.crash.sent.append(SentRequest(self.part, at, "stream", CUSTOMER, first))
            self.record.crash_senders[request] = daemon.name
            fields = {
                "Request-Id": request,
                "Deadline-Ms": str(int(DEADLINE_S * 1000)),
                "Prompt-Prefix": make_parts(first, self.part, name),
            }
            writer.write(make_request("POST", PATHS["stream"], name.encode(), fields))
            answer = await async_read_or_none(reader, DEADLINE_S + WAIT_AFTER_DEADLINE_S)
            writer.close()
            if answer is not None and answer.status == STATUS_OK and answer.whole:
                return
            await asyncio.sleep(REPEAT_S)

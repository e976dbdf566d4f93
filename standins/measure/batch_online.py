"""Online callers of the batch measurement, through each VM's real online components."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import orjson
from result import Err

from goldcreststair.clock import Clock, Millis
from goldcreststair.components import limits, online, quarantine, routing
from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.keys.protocols import KEYS
from goldcreststair.components.online.models import GenerateRequest
from goldcreststair.components.online.service import ONLINE
from goldcreststair.core import Component, Core
from goldcreststair.helpers.api_keys import hash_key
from goldcreststair.upstreams.models import StreamChunk
from tests.helpers.batch_fleet import ADDRESSES, BatchFleet
from tests.helpers.cores import make_configuration

BURST_EVERY_S: Final = 15
BURST_S: Final = 3
BASE_RATE: Final = 5.0
BURST_RATE: Final = 40.0
ONLINE_TOKENS: Final = 40
ONLINE_WORDS: Final = 100
DEADLINE_MS: Final = 60_000


def is_burst(elapsed_ms: int) -> bool:
    """Return whether a burst is on so long after the start."""
    return elapsed_ms % (BURST_EVERY_S * 1000) >= (BURST_EVERY_S - BURST_S) * 1000


class FirstTokenWait:
    """Measures one request's time to first token; implements `StreamSink`."""

    def __init__(self, clock: Clock) -> None:
        """Start to wait."""
        self._clock = clock
        self._start = clock.now()
        self.wait_ms = -1

    async def async_accept(self, chunk: StreamChunk) -> None:
        """Take a chunk."""
        if self.wait_ms < 0:
            self.wait_ms = self._clock.now() - self._start


@dataclass(slots=True)
class Online:
    """Online callers of one engine, spread over the VMs."""

    fleet: BatchFleet
    seed: int
    waits_ms: list[int] = field(default_factory=list)
    refused: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    components: list[Component] = field(default_factory=list)

    async def async_open(self) -> None:
        """Set up and start the online path of each VM, with one engine to use."""
        # The limits say that they hold on one VM only, which is meant here.
        logging.getLogger(limits.__name__).setLevel(logging.ERROR)
        for core in self.fleet.cores.values():
            core.get(CONFIGURATION_FOLLOWER).apply(
                make_configuration(
                    2,
                    customers={"acme": {"rate_per_s": 10_000, "burst": 10_000}},
                    keys={hash_key("key-acme"): "acme"},
                    upstreams={
                        "e1": {
                            "address": ADDRESSES["e1"],
                            "data_centre": "dc1",
                            "models": ["small"],
                        }
                    },
                )
            )
            for component in (limits, quarantine, routing, online):
                self.components.append(await component.async_setup(core))
        for started in self.components:
            await started.async_start()

    async def async_close(self) -> None:
        """End the online paths."""
        for component in reversed(self.components):
            await component.async_close()

    async def async_run(self, seconds: int, on_start: Callable[[Millis], None]) -> None:
        """Send requests at the base rate, and in bursts."""
        source = random.Random(self.seed)
        clock = self.fleet.clock
        start = clock.now()
        on_start(start)
        number = 0
        while (elapsed := clock.now() - start) < seconds * 1000:
            rate = BURST_RATE if is_burst(elapsed) else BASE_RATE
            await clock.async_sleep(max(1, round(source.expovariate(rate) * 1000)))
            number += 1
            core = self.fleet.cores[source.choice(sorted(self.fleet.cores))]
            task = asyncio.ensure_future(self._async_send(core, number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _async_send(self, core: Core, number: int) -> None:
        prompt = " ".join(f"w{number}x{word}" for word in range(ONLINE_WORDS))
        body = {"model": "small", "prompt": prompt, "max_tokens": ONLINE_TOKENS, "stream": True}
        request = GenerateRequest(
            f"online-{number}",
            core.get(KEYS).identify("key-acme").unwrap(),
            "/v1/completions",
            orjson.dumps(body),
            "small",
            True,
            deadline_ms=DEADLINE_MS,
        )
        wait = FirstTokenWait(self.fleet.clock)
        ended = await core.get(ONLINE).async_generate(request, wait)
        if isinstance(ended, Err):
            self.refused += 1
            return
        self.waits_ms.append(wait.wait_ms)

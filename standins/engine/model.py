"""Continuous batching with a first-come-first-served queue, bounded KV memory and a prefix
cache.
"""

import asyncio
import hashlib
import random
from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import Final

from goldcreststair.clock import Clock
from goldcreststair.upstreams.models import CacheEvent, LoadReport, Order
from standins.engine.kv import KvTransfers
from standins.engine.models import EngineFaults, EngineParameters, Generation, GenerationState
from standins.engine.served import ServedState

MAX_KNOWN_GENERATIONS: Final = 2000
MAX_EVENTS: Final = 5000
WORDS: Final = ("amber", "birch", "cedar", "delta", "ember", "fjord", "grove", "heron")


def make_token(seed: str, index: int) -> str:
    """Return token `index` of an answer; depends only on the arguments, so all engines agree."""
    return f"{WORDS[(int(seed[:8], 16) + index * 7) % len(WORDS)]}{index} "


def make_text(prompt: str, tokens: int, software: str = "") -> str:
    """Return the whole answer to a joined prompt, the same for every engine of a software version."""
    seed = make_seed(prompt.encode(), software)
    return "".join(make_token(seed, index) for index in range(tokens))


def make_seed(prompt: bytes, software: str = "") -> str:
    """Return the seed of an answer's tokens."""
    return hashlib.sha256(prompt + software.encode()).hexdigest()


class EngineModel:
    """One engine, used on a virtual clock and behind HTTP."""

    def __init__(
        self, clock: Clock, parameters: EngineParameters, models: tuple[str, ...], seed: int = 1
    ) -> None:
        """Create an idle engine; `async_run` decodes."""
        self.parameters = parameters
        self.software = ""
        """Version of its software, which decides the tokens of its answers; empty if it reports none."""
        self.faults = EngineFaults()
        self.served = ServedState(models)
        self.draining = False
        self.fencing = 0
        self.applied_orders: list[Order] = []
        self.crashes = 0
        self.steps = 0
        self.tokens_produced = 0
        self._clock = clock
        self._random = random.Random(seed)
        self._queue: deque[Generation] = deque()
        self._running: list[Generation] = []
        self._known: OrderedDict[str, Generation] = OrderedDict()
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[int, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._event_sequence = 0
        self._reports: deque[tuple[int, LoadReport]] = deque()
        self._report_sequence = 0
        self._work = asyncio.Event()
        self.kv = KvTransfers(clock, parameters)

    def submit(self, generation: Generation) -> Generation:
        """Queue a request, or return the known one of this id unless it was cancelled or lost."""
        known = self._known.get(generation.request_id)
        if known is not None and known.state not in (
            GenerationState.CANCELLED,
            GenerationState.LOST,
        ):
            return known
        generation.seed = make_seed(generation.prompt.encode(), self.software)
        self._known[generation.request_id] = generation
        while len(self._known) > MAX_KNOWN_GENERATIONS:
            self._known.popitem(last=False)
        self._queue.append(generation)
        self._work.set()
        return generation

    def find(self, request_id: str) -> Generation | None:
        """Return a request by id; finished ones are kept for a while."""
        return self._known.get(request_id)

    def cancel(self, request_id: str) -> None:
        """Stop a request and free its memory."""
        generation = self._known.get(request_id)
        if generation is None or generation.state is GenerationState.DONE:
            return
        self._end(generation, GenerationState.CANCELLED)

    def crash(self) -> None:
        """Lose all requests and the cache, as a restarted engine does."""
        self.crashes += 1
        for generation in tuple(self._known.values()):
            if generation.state in (GenerationState.WAITING, GenerationState.RUNNING):
                self._end(generation, GenerationState.LOST)
        self._known.clear()
        self.kv.clear()
        self._prefixes.clear()
        self._event_sequence += 1000

    def restart_empty(self) -> None:
        """Crash and restart without any model."""
        self.crash()
        self.served.clear()

    async def async_import_kv(self, request_id: str, state: bytes) -> None:
        """Import a request's state and cache its prompt's blocks without prefill."""
        prompt = await self.kv.async_import(request_id, state)
        for prefix in self._split_prefixes(prompt):
            self._prefixes[prefix] = None

    def read_report(self) -> LoadReport:
        """Return the load report of `report_lag_ms` ago."""
        horizon = self._clock.now() - self.parameters.report_lag_ms
        while len(self._reports) > 1 and self._reports[1][0] <= horizon:
            self._reports.popleft()
        if self._reports and self._reports[0][0] <= horizon:
            return self._reports[0][1]
        return self._make_report()

    def read_events(self, after_sequence: int) -> tuple[CacheEvent, ...]:
        """Return the published cache events after a sequence number."""
        horizon = self._clock.now() - self.parameters.event_lag_ms
        return tuple(
            event for at, event in self._events if at <= horizon and event.sequence > after_sequence
        )

    async def async_apply_order(self, order: Order) -> bool:
        """Apply an order; returns False if its fencing number is too old."""
        if self.parameters.checks_fencing and order.fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, order.fencing)
        await self._clock.async_sleep(self.parameters.order_ms)
        if self.parameters.checks_fencing and order.fencing < self.fencing:
            return False
        self.applied_orders.append(order)
        self.served.apply(order)
        self._drop_unserved()
        return True

    def _drop_unserved(self) -> None:
        """End the requests whose model is no longer loaded as lost."""
        for generation in (*self._queue, *self._running):
            if not self.served.serves(generation.model):
                self._end(generation, GenerationState.LOST)

    async def async_run(self) -> None:
        """Decode until cancelled."""
        while True:
            self._record_report()
            if self.faults.pause or not (self._queue or self._running):
                await self._async_idle()
                continue
            prefill_ms = self._admit()
            self.steps += 1
            parameters = self.parameters
            step_ms = parameters.step_base_ms + parameters.step_per_request_ms * len(self._running)
            await self._clock.async_sleep(max(1, round(step_ms + prefill_ms)))
            self._produce()

    async def _async_idle(self) -> None:
        self._work.clear()
        waiter = asyncio.ensure_future(self._work.wait())
        try:
            await asyncio.wait({waiter}, timeout=self.parameters.idle_poll_ms / 1000)
        finally:
            waiter.cancel()

    def _admit(self) -> float:
        """Move queued requests into the batch in order; returns their prefill time in ms."""
        prefill_ms = 0.0
        while self._queue and len(self._running) < self.parameters.max_running:
            first = self._queue[0]
            if self._count_kv() + first.max_kv_tokens > self.parameters.kv_tokens and self._running:
                break
            self._queue.popleft()
            if first.state is not GenerationState.WAITING:
                continue
            if first.produced >= first.target_tokens:
                # Resumed after its last token, so that only the end marker is still to be sent.
                self._end(first, GenerationState.DONE)
                continue
            first.state = GenerationState.RUNNING
            self._running.append(first)
            prefill_ms += self._prefill(first) * self.parameters.prefill_per_token_ms
        return prefill_ms

    def _prefill(self, generation: Generation) -> int:
        """Cache the prompt's blocks; returns the number of tokens to prefill."""
        missing = generation.prompt_tokens
        generation.first_index = generation.produced
        imported = self.kv.pop_imported_tokens(generation.request_id)
        size = self.parameters.prefix_block_tokens
        for prefix in self._split_prefixes(generation.prompt):
            if prefix in self._prefixes:
                self._prefixes.move_to_end(prefix)
                missing -= size
                continue
            self._prefixes[prefix] = None
            self._publish(prefix, stored=True)
            while len(self._prefixes) > self.parameters.prefix_blocks:
                evicted, _ = self._prefixes.popitem(last=False)
                self._publish(evicted, stored=False)
        return max(0, min(missing, generation.prompt_tokens - imported))

    def _split_prefixes(self, prompt: str) -> Iterator[str]:
        words = prompt.split()
        size = self.parameters.prefix_block_tokens
        digest = hashlib.sha256()
        for start in range(0, len(words) - size + 1, size):
            digest.update(" ".join(words[start : start + size]).encode())
            yield digest.hexdigest()[:16]

    def _publish(self, prefix: str, *, stored: bool) -> None:
        self._event_sequence += 1
        if self._random.random() >= self.parameters.event_loss:
            event = CacheEvent(self._event_sequence, prefix, stored)
            self._events.append((self._clock.now(), event))

    def _produce(self) -> None:
        for generation in tuple(self._running):
            if generation.state is not GenerationState.RUNNING:
                continue
            generation.produced += 1
            self.tokens_produced += 1
            if generation.produced >= generation.target_tokens:
                self._end(generation, GenerationState.DONE)
            else:
                generation.advanced.set()

    def _end(self, generation: Generation, state: GenerationState) -> None:
        generation.state = state
        if generation in self._running:
            self._running.remove(generation)
        generation.advanced.set()

    def _count_kv(self) -> int:
        return sum(generation.max_kv_tokens for generation in self._running)

    def _record_report(self) -> None:
        self._report_sequence += 1
        self._reports.append((self._clock.now(), self._make_report()))

    def _make_report(self) -> LoadReport:
        waiting = [g for g in self._queue if g.state is GenerationState.WAITING]
        return LoadReport(
            self._report_sequence,
            len(self._running),
            len(waiting),
            self._count_kv(),
            self.parameters.kv_tokens,
            self.draining,
            tuple(sorted(self.served.versions)),
            self.served.role,
            self.fencing,
            tuple(sorted(self.served.adapters)),
            dict(self.served.versions),
            tuple(sorted({g.model for g in (*waiting, *self._running)})),
            self.software,
        )

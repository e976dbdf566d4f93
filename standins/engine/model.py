"""Continuous batching with a first-come queue, bounded KV memory and a prefix cache."""

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

KEPT_GENERATIONS: Final = 2000
KEPT_EVENTS: Final = 5000
IDLE_POLL_MS: Final = 20
WORDS: Final = ("amber", "birch", "cedar", "delta", "ember", "fjord", "grove", "heron")


def make_token(seed: str, index: int) -> str:
    """Return token `index` of an answer; depends on nothing else, so any engine agrees."""
    return f"{WORDS[(int(seed[:8], 16) + index * 7) % len(WORDS)]}{index} "


def make_text(prompt: str, tokens: int) -> str:
    """Return the whole answer to a joined prompt, as every engine would give it."""
    seed = make_seed(prompt.encode())
    return "".join(make_token(seed, index) for index in range(tokens))


def make_seed(prompt: bytes) -> str:
    """Return what an answer's tokens are made from."""
    return hashlib.sha256(prompt).hexdigest()


class EngineModel:
    """One engine; the same on a virtual clock and behind HTTP."""

    def __init__(
        self, clock: Clock, parameters: EngineParameters, models: tuple[str, ...], seed: int = 1
    ) -> None:
        """Start with nothing running; `async_run` does the decoding."""
        self.parameters = parameters
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
        self._waiting: deque[Generation] = deque()
        self._running: list[Generation] = []
        self._known: OrderedDict[str, Generation] = OrderedDict()
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[int, CacheEvent]] = deque(maxlen=KEPT_EVENTS)
        self._event_sequence = 0
        self._reports: deque[tuple[int, LoadReport]] = deque()
        self._report_sequence = 0
        self._work = asyncio.Event()
        self.kv = KvTransfers(clock, parameters)

    def submit(self, generation: Generation) -> Generation:
        """Queue a request, or return the one already known by this id."""
        known = self._known.get(generation.request_id)
        if known is not None and known.state not in (
            GenerationState.CANCELLED,
            GenerationState.LOST,
        ):
            return known
        self._known[generation.request_id] = generation
        while len(self._known) > KEPT_GENERATIONS:
            self._known.popitem(last=False)
        self._waiting.append(generation)
        self._work.set()
        return generation

    def find(self, request_id: str) -> Generation | None:
        """Return a request by id, finished ones included for a while."""
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
        """Crash and come back without any model."""
        self.crash()
        self.served.clear()

    async def async_import_kv(self, request_id: str, state: bytes) -> None:
        """Take a request's state and its prompt's blocks in without prefilling them."""
        prompt = await self.kv.async_import(request_id, state)
        for prefix in self._split_prefixes(prompt):
            self._prefixes[prefix] = None

    def read_report(self) -> LoadReport:
        """Return the load as it stood a lag ago."""
        horizon = self._clock.now() - self.parameters.report_lag_ms
        while len(self._reports) > 1 and self._reports[1][0] <= horizon:
            self._reports.popleft()
        if self._reports and self._reports[0][0] <= horizon:
            return self._reports[0][1]
        return self._make_report()

    def read_events(self, after_sequence: int) -> tuple[CacheEvent, ...]:
        """Return published cache events after a sequence number."""
        horizon = self._clock.now() - self.parameters.event_lag_ms
        return tuple(
            event for at, event in self._events if at <= horizon and event.sequence > after_sequence
        )

    async def async_apply_order(self, order: Order) -> bool:
        """Carry an order out; returns False if its fencing number is too old."""
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
        """Lose the requests whose model was taken from under them."""
        for generation in (*self._waiting, *self._running):
            if not self.served.serves(generation.model):
                self._end(generation, GenerationState.LOST)

    async def async_run(self) -> None:
        """Decode until cancelled."""
        while True:
            self._record_report()
            if self.faults.pause or not (self._waiting or self._running):
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
            await asyncio.wait({waiter}, timeout=IDLE_POLL_MS / 1000)
        finally:
            waiter.cancel()

    def _admit(self) -> float:
        """Move queued requests into the batch in order; returns their prefill time in ms."""
        prefill_ms = 0.0
        while self._waiting and len(self._running) < self.parameters.max_running:
            head = self._waiting[0]
            if self._count_kv() + head.kv_need > self.parameters.kv_tokens and self._running:
                break
            self._waiting.popleft()
            if head.state is not GenerationState.WAITING:
                continue
            if head.produced >= head.wanted_tokens:
                # Resumed after its last token: only the end marker is left to send.
                self._end(head, GenerationState.DONE)
                continue
            head.state = GenerationState.RUNNING
            self._running.append(head)
            prefill_ms += self._prefill(head) * self.parameters.prefill_per_token_ms
        return prefill_ms

    def _prefill(self, generation: Generation) -> int:
        """Put the prompt's blocks into the cache; returns how many tokens were not there."""
        missing = generation.prompt_tokens
        generation.began_at = generation.produced
        imported = self.kv.take(generation.request_id)
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
            if generation.produced >= generation.wanted_tokens:
                self._end(generation, GenerationState.DONE)
            else:
                generation.advanced.set()

    def _end(self, generation: Generation, state: GenerationState) -> None:
        generation.state = state
        if generation in self._running:
            self._running.remove(generation)
        generation.advanced.set()

    def _count_kv(self) -> int:
        return sum(generation.kv_need for generation in self._running)

    def _record_report(self) -> None:
        self._report_sequence += 1
        self._reports.append((self._clock.now(), self._make_report()))

    def _make_report(self) -> LoadReport:
        waiting = [g for g in self._waiting if g.state is GenerationState.WAITING]
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
        )

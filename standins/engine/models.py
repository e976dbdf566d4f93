"""Parameters and requests of the engine's stand-in."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """What shapes an engine's speed and memory."""

    step_base_ms: float = 12.0
    """Time of one decoding step with nothing running, ms."""
    step_per_request_ms: float = 0.25
    """Added to a step by each running request, ms."""
    prefill_per_token_ms: float = 0.05
    """Added once for each prompt token that is not in the prefix cache, ms."""
    kv_tokens: int = 60_000
    """Tokens of KV memory; bounds what runs."""
    max_running: int = 64
    """Requests in one batch."""
    prefix_block_tokens: int = 32
    """Prompts are cached in blocks of so many tokens."""
    prefix_blocks: int = 1500
    """Blocks the prefix cache holds; the least recently used go first."""
    report_lag_ms: int = 1000
    """Age of a load report."""
    event_lag_ms: int = 500
    """Age of a cache event."""
    event_loss: float = 0.05
    """Fraction of cache events that are never published."""
    order_ms: int = 300
    """Time an order takes."""
    checks_fencing: bool = True
    """Whether an order with an old fencing number is refused."""
    kv_base_ms: float = 15.0
    """Time of one export or import of KV state, whatever its size, ms."""
    kv_transfer_per_token_ms: float = 0.01
    """Added to it by each token of the state, ms (320 KB a token at about 256 Gbit/s)."""


@dataclass(slots=True)
class EngineFaults:
    """Faults in force; tests change them at any time."""

    refuse: bool = False
    """Answer 503 with `X-Not-Run: true`."""
    crash_marker: str = ""
    """A request whose body holds this text crashes the engine."""
    silent: bool = False
    """Open streams stop sending, yet stay open; new connections work."""
    cross_answers: bool = False
    """Send the next answer under another request's id."""
    drop_end: bool = False
    """Close streams before their end marker."""
    pause: bool = False
    """Stop decoding for all."""
    refuse_kv: bool = False
    """Export no KV state."""
    lose_order_answers: int = 0
    """So many next orders take effect but their answers are lost."""


class GenerationState(StrEnum):
    """Where a generation stands."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    LOST = "lost"


@dataclass(slots=True)
class Generation:
    """One request inside the engine."""

    request_id: str
    prompt: str
    prompt_tokens: int
    wanted_tokens: int
    seed: str
    model: str = ""
    produced: int = 0
    """Tokens produced; the next one has this index."""
    began_at: int = 0
    """Index of the first token produced here; those before are part of `prompt_tokens`."""
    state: GenerationState = GenerationState.WAITING
    advanced: asyncio.Event = field(default_factory=asyncio.Event)
    """Set whenever a token was produced or the state changed."""

    @property
    def kv_need(self) -> int:
        """Tokens of KV memory it takes to its end."""
        return self.prompt_tokens + self.wanted_tokens

    @property
    def context_tokens(self) -> int:
        """Tokens of KV memory in use now."""
        return self.prompt_tokens + self.produced - self.began_at

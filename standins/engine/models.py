"""Parameters, faults and requests of the engine stand-in."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Parameters of an engine's speed and memory."""

    step_base_ms: float = 12.0
    """Time of one decoding step with nothing running, ms."""
    step_per_request_ms: float = 0.25
    """Added to a step by each running request, ms."""
    prefill_per_token_ms: float = 0.05
    """Added once for each prompt token that is not in the prefix cache, ms."""
    kv_tokens: int = 60_000
    """Tokens of KV memory; limits the running requests."""
    max_running: int = 64
    """Requests in one batch."""
    prefix_block_tokens: int = 32
    """Size of a block of the prefix cache, in tokens."""
    prefix_blocks: int = 1500
    """Capacity of the prefix cache in blocks; the least recently used are evicted first."""
    report_lag_ms: int = 1000
    """Age of a load report, ms."""
    event_lag_ms: int = 500
    """Delay of a cache event, ms."""
    event_loss: float = 0.05
    """Fraction of cache events that are never published."""
    order_ms: int = 300
    """Time to apply an order, ms."""
    checks_fencing: bool = True
    """Whether an order with an old fencing number is refused."""
    kv_base_ms: float = 15.0
    """Time of one export or import of KV state, whatever its size, ms."""
    kv_transfer_per_token_ms: float = 0.01
    """Added by each token of the state, ms (320 KB a token at about 256 Gbit/s)."""
    idle_poll_ms: int = 20
    """Longest time between two load reports of an idle engine, ms."""


@dataclass(slots=True)
class EngineFaults:
    """Faults in force; tests change them at any time."""

    refuse: bool = False
    """Answer 503 with `X-Not-Run: true`."""
    fail_status: int = 0
    """Answer requests with this status, and without `X-Not-Run`; 0 for none."""
    crash_marker: str = ""
    """A request whose body holds this text crashes the engine."""
    crash_after_tokens: int = 0
    """Tokens that a run of such a request returns before the crash."""
    crash_delay_ms: int = 0
    """Time from the start of such a request to the crash."""
    silent: bool = False
    """Open streams send nothing but stay open; new connections work."""
    cross_answers: bool = False
    """Send the next answer under another request's id."""
    drop_end: bool = False
    """Close streams before their end marker."""
    pause: bool = False
    """Stop decoding for all requests."""
    refuse_kv: bool = False
    """Export no KV state."""
    lose_order_answers: int = 0
    """Number of next orders that take effect but whose answers are lost."""


class GenerationState(StrEnum):
    """State of a generation."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    LOST = "lost"


@dataclass(slots=True)
class Generation:
    """One request in the engine."""

    request_id: str
    prompt: str
    prompt_tokens: int
    target_tokens: int
    seed: str
    model: str = ""
    produced: int = 0
    """Tokens produced; the next one has this index."""
    first_index: int = 0
    """Index of the first token produced here; earlier ones count in `prompt_tokens`."""
    state: GenerationState = GenerationState.WAITING
    advanced: asyncio.Event = field(default_factory=asyncio.Event)
    """Set whenever a token is produced or the state changes."""

    @property
    def max_kv_tokens(self) -> int:
        """Tokens of KV memory in use at its end."""
        return self.prompt_tokens + self.target_tokens

    @property
    def context_tokens(self) -> int:
        """Tokens of KV memory in use now."""
        return self.prompt_tokens + self.produced - self.first_index

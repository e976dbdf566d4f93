"""Export and import of KV state in the engine's stand-in."""

from collections import OrderedDict
from typing import Final

import orjson

from goldcreststair.clock import Clock
from standins.engine.models import EngineParameters, Generation, GenerationState

KEPT_IMPORTS: Final = 500


class KvTransfers:
    """States that came in, by request id; moving one costs time but no decoding step."""

    def __init__(self, clock: Clock, parameters: EngineParameters) -> None:
        """Start with none."""
        self._clock = clock
        self._parameters = parameters
        self._tokens: OrderedDict[str, int] = OrderedDict()

    async def async_export(self, generation: Generation | None) -> bytes | None:
        """Return a running request's state, or None if it does not run (any more)."""
        if generation is None or generation.state is not GenerationState.RUNNING:
            return None
        tokens = generation.context_tokens
        await self._async_transfer(tokens)
        if generation.state is not GenerationState.RUNNING:
            return None
        return orjson.dumps({"prompt": generation.prompt, "tokens": tokens})

    async def async_import(self, request_id: str, state: bytes) -> str:
        """Take a state in and return its prompt."""
        parsed = orjson.loads(state)
        await self._async_transfer(parsed["tokens"])
        self._tokens[request_id] = parsed["tokens"]
        while len(self._tokens) > KEPT_IMPORTS:
            self._tokens.popitem(last=False)
        prompt: str = parsed["prompt"]
        return prompt

    def take(self, request_id: str) -> int:
        """Return how many tokens of a request need no prefill; they are used up by it."""
        return self._tokens.pop(request_id, 0)

    def clear(self) -> None:
        """Lose all states."""
        self._tokens.clear()

    async def _async_transfer(self, tokens: int) -> None:
        parameters = self._parameters
        taken_ms = parameters.kv_base_ms + parameters.kv_transfer_per_token_ms * tokens
        await self._clock.async_sleep(max(1, round(taken_ms)))

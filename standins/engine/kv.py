"""Export and import of KV state in the engine stand-in."""

from collections import OrderedDict
from typing import Final

import orjson

from goldcreststair.clock import Clock
from standins.engine.models import EngineParameters, Generation, GenerationState

MAX_IMPORTS: Final = 500


class KvTransfers:
    """Imported states by request id; a transfer takes time but no decoding step."""

    def __init__(self, clock: Clock, parameters: EngineParameters) -> None:
        """Create an empty set of imported states."""
        self._clock = clock
        self._parameters = parameters
        self._tokens: OrderedDict[str, int] = OrderedDict()

    async def async_export(self, generation: Generation | None) -> bytes | None:
        """Return a request's state, or None if it is not running at the end of the transfer."""
        if generation is None or generation.state is not GenerationState.RUNNING:
            return None
        tokens = generation.context_tokens
        await self._async_transfer(tokens)
        if generation.state is not GenerationState.RUNNING:
            return None
        return orjson.dumps({"prompt": generation.prompt, "tokens": tokens})

    async def async_import(self, request_id: str, state: bytes) -> str:
        """Import a state and return its prompt."""
        parsed = orjson.loads(state)
        await self._async_transfer(parsed["tokens"])
        self._tokens[request_id] = parsed["tokens"]
        while len(self._tokens) > MAX_IMPORTS:
            self._tokens.popitem(last=False)
        prompt: str = parsed["prompt"]
        return prompt

    def pop_imported_tokens(self, request_id: str) -> int:
        """Remove a request's imported state; returns its tokens, which need no prefill."""
        return self._tokens.pop(request_id, 0)

    def clear(self) -> None:
        """Drop all imported states."""
        self._tokens.clear()

    async def _async_transfer(self, tokens: int) -> None:
        parameters = self._parameters
        duration_ms = parameters.kv_base_ms + parameters.kv_transfer_per_token_ms * tokens
        await self._clock.async_sleep(max(1, round(duration_ms)))

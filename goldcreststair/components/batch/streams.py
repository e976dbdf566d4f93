"""One batch item at an upstream, with the state needed to resume it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.batch.const import ITEM_TIMEOUT_MS
from goldcreststair.components.batch.parsing import PATHS
from goldcreststair.upstreams.models import GenerateCall, StreamChunk
from goldcreststair.wire.generated.batch.ttypes import LotItem

DATA_FIELD = b"data: "


@dataclass(slots=True, eq=False)
class ItemStream:
    """Stream of an item and its text so far; implements `StreamSink`."""

    item: LotItem
    clock: Clock
    started_at: Millis
    first_token_ms: int = -1
    """Wait from the start of the present run to its first token; -1 before it."""
    last_index: int = -1
    software_version: str | None = None
    """Software version that produced the text so far; None without text."""
    parts: list[str] = field(default_factory=list)
    finish_reason: str | None = None
    task: "asyncio.Task[None] | None" = None
    on_first_token: Callable[[int], None] | None = None

    async def async_accept(self, chunk: StreamChunk) -> None:
        """Append the text of one chunk."""
        if self.first_token_ms < 0:
            self.first_token_ms = self.clock.now() - self.started_at
            if self.on_first_token is not None:
                self.on_first_token(self.first_token_ms)
        for line in chunk.data.split(b"\n"):
            if line.startswith(DATA_FIELD) and line[len(DATA_FIELD) :].startswith(b"{"):
                self._append_text(orjson.loads(line[len(DATA_FIELD) :]))
        self.last_index = chunk.last_index
        self.software_version = chunk.software_version

    @property
    def left_ms(self) -> int:
        """Time in ms left for the present run."""
        return max(0, self.started_at + ITEM_TIMEOUT_MS - self.clock.now())

    @property
    def wrote_ms(self) -> int | None:
        """Time since the first token of the present run; None before it."""
        if self.first_token_ms < 0:
            return None
        return self.clock.now() - self.started_at - self.first_token_ms

    def begin(self) -> None:
        """Start the clock of a run, also of one resumed after a pause."""
        self.started_at = self.clock.now()
        self.first_token_ms = -1

    def start_over(self) -> None:
        """Drop the text so far, which the upstream's present software cannot continue."""
        self.last_index = -1
        self.software_version = self.finish_reason = None
        self.parts.clear()

    def make_call(self) -> GenerateCall:
        """Return the call that starts the item, or resumes it after the last received token."""
        return GenerateCall(
            request_id=self.item.request_id,
            path=self.item.path,
            body=self.item.body,
            stream=True,
            timeout_ms=max(1, self.left_ms),
            resume_after=self.last_index,
            prior="".join(self.parts) if self.last_index >= 0 else "",
            software_version=self.software_version,
        )

    def make_answer(self) -> bytes:
        """Return the response body that the engine would send unstreamed."""
        chat = self.item.path == PATHS[0]
        text = "".join(self.parts)
        choice: dict[str, Any] = {"index": 0, "finish_reason": self.finish_reason}
        if chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        answer = {
            "id": self.item.request_id,
            "object": "chat.completion" if chat else "text_completion",
            "model": orjson.loads(self.item.body)["model"],
            "choices": [choice],
            "usage": {"completion_tokens": self.last_index + 1},
        }
        return orjson.dumps(answer)

    def _append_text(self, event: dict[str, Any]) -> None:
        for choice in event.get("choices", ()):
            text = choice.get("text") or choice.get("delta", {}).get("content") or ""
            self.parts.append(text)
            self.finish_reason = choice.get("finish_reason") or self.finish_reason

"""OpenAI-compatible requests and answers, as an engine reads and writes them."""

from dataclasses import dataclass
from typing import Any, Final

import orjson

from standins.engine.model import make_seed
from standins.engine.models import Generation

DEFAULT_TOKENS: Final = 16
END_MARKER: Final = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A parsed request body."""

    model: str
    chat: bool
    stream: bool
    generation: Generation


def parse_request(path: str, request_id: str, body: bytes, prior: str = "") -> ParsedRequest:
    """Parse a body; raises `ValueError` or `KeyError` if it is invalid."""
    request: dict[str, Any] = orjson.loads(body)
    chat = path.endswith("/chat/completions")
    prompt = _join_messages(request["messages"]) if chat else str(request["prompt"])
    max_tokens = int(request.get("max_tokens") or DEFAULT_TOKENS)
    if max_tokens < 1:
        raise ValueError("max_tokens must be positive")
    generation = Generation(
        request_id=request_id,
        prompt=prompt,
        prompt_tokens=max(1, len(prompt.split()) + len(prior.split())),
        target_tokens=max_tokens,
        seed=make_seed(prompt.encode()),
        model=request["model"],
    )
    return ParsedRequest(request["model"], chat, bool(request.get("stream")), generation)


def _join_messages(messages: list[dict[str, Any]]) -> str:
    return " ".join(f"{message['role']}: {message['content']}" for message in messages)


def encode_event(request: ParsedRequest, index: int, text: str, *, last: bool) -> bytes:
    """Return one token as a server-sent event whose id is the token's index."""
    reason = "stop" if last else None
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if request.chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    event = {
        "id": request.generation.request_id,
        "object": "chat.completion.chunk" if request.chat else "text_completion",
        "model": request.model,
        "choices": [choice],
    }
    return b"id: %d\ndata: %s\n\n" % (index, orjson.dumps(event))


def encode_response(request: ParsedRequest, text: str) -> bytes:
    """Return the whole answer as JSON."""
    generation = request.generation
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if request.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.target_tokens,
        "total_tokens": generation.prompt_tokens + generation.target_tokens,
    }
    answer = {
        "id": generation.request_id,
        "object": "chat.completion" if request.chat else "text_completion",
        "model": request.model,
        "choices": [choice],
        "usage": usage,
    }
    return orjson.dumps(answer)

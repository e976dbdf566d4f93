"""Reads callers' requests; every error names the field."""

import hashlib
from dataclasses import dataclass
from typing import Any, Final

import orjson
from result import Err, Ok, Result

from goldcreststair.errors import GoldcreststairError

PATH_CHAT: Final = "/v1/chat/completions"
PREFIX_CHARACTERS: Final = 256


@dataclass(frozen=True, slots=True)
class BadField(GoldcreststairError):
    """A request that cannot be read."""

    field: str = ""


@dataclass(frozen=True, slots=True)
class ParsedBody:
    """What the system needs to know of a body; the rest is the engine's."""

    model: str
    stream: bool
    prefix: str
    """Digest of the prompt's beginning, for affinity."""


def parse_body(path: str, body: bytes) -> Result[ParsedBody, BadField]:
    """Read an OpenAI-format body.

    >>> parse_body("/v1/completions", b'{"prompt": "x"}').err_value.field
    'model'
    """
    try:
        request = orjson.loads(body)
    except ValueError as error:
        return Err(BadField(f"not JSON: {error}", "body"))
    if not isinstance(request, dict):
        return Err(BadField("must be a JSON object", "body"))
    model = request.get("model")
    if not isinstance(model, str) or not model:
        return Err(BadField("must be the name of a model", "model"))
    stream = request.get("stream") or False
    if not isinstance(stream, bool):
        return Err(BadField("must be true or false", "stream"))
    field = "messages" if path == PATH_CHAT else "prompt"
    prompt = request.get(field)
    if not prompt or not isinstance(prompt, list | str):
        return Err(BadField("must not be empty", field))
    return Ok(ParsedBody(model, stream, _digest_prefix(prompt)))


def _digest_prefix(prompt: Any) -> str:
    beginning = orjson.dumps(prompt)[:PREFIX_CHARACTERS]
    return hashlib.sha256(beginning).hexdigest()[:16]

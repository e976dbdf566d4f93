"""Parses callers' requests; every error names the invalid field."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import unquote

import orjson
from result import Err, Ok, Result

from goldcreststair.components.caller_api.const import (
    FORWARDED_HEADERS,
    HEADER_DEADLINE,
    IDENTIFYING_FIELDS,
)
from goldcreststair.components.online.const import DEFAULT_DEADLINE_MS, MAX_DEADLINE_MS
from goldcreststair.errors import GoldcreststairError
from goldcreststair.helpers.numbers import parse_unsigned

PATH_CHAT: Final = "/v1/chat/completions"
PREFIX_CHARACTERS: Final = 256


@dataclass(frozen=True, slots=True)
class BadField(GoldcreststairError):
    """A field of a request is invalid."""

    field: str = ""


@dataclass(frozen=True, slots=True)
class ParsedBody:
    """The fields of a body that are used here; the engine reads the others."""

    model: str
    stream: bool
    prefix: str
    """Digest of the beginning of the prompt, for affinity routing."""
    forwarded: bytes
    """Body for the engine: unchanged, unless a field contained the key."""


def parse_body(path: str, body: bytes, key: str = "") -> Result[ParsedBody, BadField]:
    """Parse an OpenAI-format body.

    >>> parse_body("/v1/completions", b'{"prompt": "x"}').err_value.field
    'model'
    """
    try:
        request = orjson.loads(body)
    except ValueError as error:
        return Err(BadField(f"not JSON: {error}", "body"))
    if not isinstance(request, dict):
        return Err(BadField("must be a JSON object", "body"))
    field = "messages" if path == PATH_CHAT else "prompt"
    bad = _find_bad_field(request, field)
    if bad is not None:
        return Err(bad)
    forwarded = _remove_key(request, body, key)
    if isinstance(forwarded, Err):
        return forwarded
    stream = bool(request.get("stream"))
    prefix = _digest_prefix(request[field])
    return Ok(ParsedBody(request["model"], stream, prefix, forwarded.ok_value))


def parse_deadline(headers: Mapping[str, str]) -> Result[int, BadField]:
    """Return the time in ms within which the response must be complete.

    >>> parse_deadline({"X-Deadline-Ms": "250"}), parse_deadline({})
    (Ok(250), Ok(60000))
    """
    text = headers.get(HEADER_DEADLINE, "")
    if not text:
        return Ok(DEFAULT_DEADLINE_MS)
    number = parse_unsigned(text)
    if number is None or not 1 <= number <= MAX_DEADLINE_MS:
        message = f"must be a whole number from 1 to {MAX_DEADLINE_MS}"
        return Err(BadField(message, HEADER_DEADLINE))
    return Ok(number)


def select_headers(headers: Mapping[str, str], key: str) -> dict[str, str]:
    """Return the headers to forward to a plain service."""
    found = {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
    return {name: value for name, value in found.items() if key not in value}


def holds_key(content: bytes | str, key: str) -> bool:
    """Return whether a body or query contains the key, escaped or not."""
    if isinstance(content, str):
        return key in content or key in unquote(content)
    if key.encode() in content or key.encode() in unquote(content.decode("latin-1")).encode():
        return True
    if b"\\" not in content:
        return False
    try:
        return key.encode() in orjson.dumps(orjson.loads(content))
    except ValueError:
        return False


def _find_bad_field(request: dict[str, Any], prompt_field: str) -> BadField | None:
    model = request.get("model")
    if not isinstance(model, str) or not model:
        return BadField("must be the name of a model", "model")
    if not isinstance(request.get("stream") or False, bool):
        return BadField("must be true or false", "stream")
    prompt = request.get(prompt_field)
    if not prompt or not isinstance(prompt, list | str):
        return BadField("must not be empty", prompt_field)
    if prompt_field == "messages" and not _are_messages(prompt):
        return BadField("must be a list of objects with a role", prompt_field)
    max_tokens = request.get("max_tokens")
    if max_tokens is not None and (type(max_tokens) is not int or max_tokens < 1):
        return BadField("must be a whole number above 0", "max_tokens")
    # Several choices would share token indices; a resumed stream could repeat or lose tokens.
    if request.get("n") not in (None, 1):
        return BadField("must be 1", "n")
    return None


def _are_messages(prompt: Any) -> bool:
    return isinstance(prompt, list) and all(
        isinstance(message, dict) and isinstance(message.get("role"), str) for message in prompt
    )


def _remove_key(request: dict[str, Any], body: bytes, key: str) -> Result[bytes, BadField]:
    # Some clients put the key into `user` or a prompt, from where it would get into upstream logs.
    if not key or not holds_key(body, key):
        return Ok(body)
    kept = {
        name: value
        for name, value in request.items()
        if name not in IDENTIFYING_FIELDS or key.encode() not in orjson.dumps(value)
    }
    cleaned = orjson.dumps(kept)
    if key.encode() in cleaned:
        return Err(BadField("must not hold the key", "body"))
    return Ok(cleaned)


def _digest_prefix(prompt: Any) -> str:
    beginning = orjson.dumps(prompt)[:PREFIX_CHARACTERS]
    return hashlib.sha256(beginning).hexdigest()[:16]

"""Reads the JSON lines of a submitted job."""

from dataclasses import dataclass
from typing import Any, Final

import orjson
from result import Err, Ok, Result

from goldcreststair.components.batch.const import MAX_LINE_BYTES
from goldcreststair.components.batch.errors import BatchError, BatchProblem
from goldcreststair.components.batch.models import Item

PATHS: Final = ("/v1/chat/completions", "/v1/completions")


@dataclass(frozen=True, slots=True)
class Defaults:
    """Defaults for fields that a line omits."""

    path: str = PATHS[0]
    model: str = ""


class LineSplitter:
    """Cuts a byte stream into lines; holds at most one unfinished line.

    >>> splitter = LineSplitter()
    >>> splitter.feed(b'one\\ntw'), splitter.feed(b'o\\n'), splitter.finish()
    ([b'one'], [b'two'], [])
    """

    def __init__(self) -> None:
        """Create with an empty buffer."""
        self._partial = b""

    @property
    def too_long(self) -> bool:
        """Whether the unfinished line is longer than any may be."""
        return len(self._partial) > MAX_LINE_BYTES

    def count_held(self) -> int:
        """Return the length of the unfinished line."""
        return len(self._partial)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that `data` completes."""
        *lines, self._partial = (self._partial + data).split(b"\n")
        return lines

    def finish(self) -> list[bytes]:
        """Return the last line if it lacks its line end."""
        rest, self._partial = self._partial, b""
        return [rest] if rest else []


def parse_line(line: bytes, number: int, defaults: Defaults) -> Result[Item, BatchError]:
    """Read one line; the error names the line and the field.

    >>> parse_line(b'{"custom_id": "a"}', 3, Defaults()).err_value.message
    'line 3: body: must be an object'
    """
    try:
        raw = orjson.loads(line)
    except ValueError as error:
        return _refuse(number, "line", f"not JSON: {error}")
    if not isinstance(raw, dict):
        return _refuse(number, "line", "must be an object")
    custom_id = raw.get("custom_id")
    if not isinstance(custom_id, str) or not custom_id:
        return _refuse(number, "custom_id", "must be a non-empty text")
    if raw.get("method", "POST") != "POST":
        return _refuse(number, "method", "must be POST")
    path = raw.get("url", defaults.path)
    if path not in PATHS:
        return _refuse(number, "url", f"must be one of {', '.join(PATHS)}")
    return _parse_body(raw.get("body"), number, custom_id, path, defaults)


def _parse_body(
    body: Any, number: int, custom_id: str, path: str, defaults: Defaults
) -> Result[Item, BatchError]:
    if not isinstance(body, dict):
        return _refuse(number, "body", "must be an object")
    model = body.get("model", defaults.model)
    if not isinstance(model, str) or not model:
        return _refuse(number, "body.model", "must be the name of a model")
    field = "messages" if path == PATHS[0] else "prompt"
    if not body.get(field):
        return _refuse(number, f"body.{field}", "must not be empty")
    # Streamed, so that a preempted run can resume from its last token.
    text = orjson.dumps({**body, "model": model, "stream": True}).decode()
    return Ok(Item(custom_id, path, model, text))


def _refuse(number: int, field: str, message: str) -> Err[BatchError]:
    return Err(BatchError(f"line {number}: {field}: {message}", BatchProblem.BAD_LINE))

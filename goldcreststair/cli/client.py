"""A small HTTP client for any daemon."""

import http.client
import json
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, BinaryIO, Final
from urllib.parse import urlsplit

from result import Err, Ok, Result

from goldcreststair.const import ENV_PREFIX
from goldcreststair.errors import GoldcreststairError

ENV_URL: Final = f"{ENV_PREFIX}URL"
ENV_KEY: Final = f"{ENV_PREFIX}KEY"
DEFAULT_URL: Final = "http://127.0.0.1:8080"
TIMEOUT_S: Final = 300.0
READ_BYTES: Final = 64 * 1024
STATUS_OK: Final = 200


@dataclass(frozen=True, slots=True)
class ClientError(GoldcreststairError):
    """A call failed."""

    status: int = 0
    """HTTP status, or 0 if no response arrived."""
    not_run: bool = False
    retry_after_s: int = 0


@dataclass(frozen=True, slots=True)
class Call:
    """One request; `content` is streamed as it is read."""

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    content: BinaryIO | None = None


class Client:
    """Sends requests to one daemon with one key or token."""

    def __init__(self, url: str = "", key: str = "") -> None:
        """Use the arguments, or the environment where they are empty."""
        self._url = urlsplit(url or os.environ.get(ENV_URL, DEFAULT_URL))
        self._key = key or os.environ.get(ENV_KEY, "")

    def send(self, call: Call) -> Result[Any, ClientError]:
        """Send one request and return its parsed JSON response."""
        parts = b""
        for part in self.stream(call):
            if isinstance(part, Err):
                return part
            parts += part.ok_value
        return Ok(json.loads(parts))

    def stream(self, call: Call) -> Iterator[Result[bytes, ClientError]]:
        """Send one request and yield its response as it arrives; ends after an error."""
        connection = self._open()
        try:
            headers = {"Authorization": f"Bearer {self._key}", **call.headers}
            chunked = call.content is not None
            connection.request(
                call.method, call.path, call.content, headers, encode_chunked=chunked
            )
            response = connection.getresponse()
            if response.status != STATUS_OK:
                yield Err(_read_error(response))
                return
            while part := response.read(READ_BYTES):
                yield Ok(part)
        except (OSError, http.client.HTTPException) as error:
            yield Err(ClientError(f"no complete response from {self._url.netloc}: {error}"))
        finally:
            connection.close()

    def _open(self) -> http.client.HTTPConnection:
        host = self._url.netloc
        if self._url.scheme == "https":
            return http.client.HTTPSConnection(host, timeout=TIMEOUT_S)
        return http.client.HTTPConnection(host, timeout=TIMEOUT_S)


def _read_error(response: http.client.HTTPResponse) -> ClientError:
    body = response.read()
    retry_after = response.getheader("Retry-After", "0")
    try:
        error = json.loads(body)["error"]
        message, not_run = _describe(error), bool(error.get("not_run"))
    except (ValueError, KeyError, TypeError):
        message, not_run = body.decode(errors="replace")[:200], False
    seconds = int(retry_after) if retry_after.isdecimal() else 0
    return ClientError(message, response.status, not_run, seconds)


def _describe(error: Mapping[str, Any]) -> str:
    """Return the message, preceded by the invalid field if the daemon names one."""
    field_name = error.get("field") or error.get("param")
    message = str(error["message"])
    return f"{field_name}: {message}" if field_name and field_name not in message else message

"""Tests of what callers may send, and what is forwarded to upstreams."""

import orjson
import pytest
from result import Err, Ok

from goldcreststair.components.caller_api.parsing import (
    holds_key,
    parse_body,
    parse_deadline,
    select_headers,
)

KEY = "key-secret"
PATH_CHAT = "/v1/chat/completions"
GOOD = {"model": "small", "messages": [{"role": "user", "content": "hi"}]}


@pytest.mark.parametrize(
    ("fields", "field"),
    [
        ({"model": ""}, "model"),
        ({"model": 3}, "model"),
        ({"messages": []}, "messages"),
        ({"messages": "hi"}, "messages"),
        ({"messages": [{"content": "hi"}]}, "messages"),
        ({"stream": "yes"}, "stream"),
        ({"max_tokens": 0}, "max_tokens"),
        ({"max_tokens": True}, "max_tokens"),
        ({"n": 2}, "n"),
        ({"messages": [{"role": "user", "content": f"my key is {KEY}"}]}, "body"),
    ],
)
def test_error_names_the_field(fields: dict[str, object], field: str) -> None:
    parsed = parse_body(PATH_CHAT, orjson.dumps(GOOD | fields), KEY)
    assert isinstance(parsed, Err)
    assert parsed.err_value.field == field


@pytest.mark.parametrize("fields", [{"user": KEY}, {"metadata": {"from": f"x {KEY}"}}])
def test_fields_with_the_key_are_dropped(fields: dict[str, object]) -> None:
    parsed = parse_body(PATH_CHAT, orjson.dumps(GOOD | fields), KEY)
    assert isinstance(parsed, Ok)
    assert orjson.loads(parsed.ok_value.forwarded) == GOOD


def test_unknown_fields_are_forwarded_unchanged() -> None:
    body = orjson.dumps(GOOD | {"temperature": 0.5, "user": "u1", "own": {"a": 1}})
    assert parse_body(PATH_CHAT, body, KEY).unwrap().forwarded == body


@pytest.mark.parametrize("content", [b'"\\u006bey-secret"', b"key%2Dsecret", "a=key%2dsecret"])
def test_escaped_key_is_found(content: bytes | str) -> None:
    assert holds_key(content, KEY)


@pytest.mark.parametrize("text", ["0", "-1", "1.5", "x", "600001", "١"])
def test_bad_deadline_is_refused(text: str) -> None:
    parsed = parse_deadline({"X-Deadline-Ms": text})
    assert isinstance(parsed, Err)
    assert parsed.err_value.field == "X-Deadline-Ms"


def test_only_allowed_headers_are_forwarded() -> None:
    headers = {"Accept": "a", "Authorization": KEY, "Cookie": "c", "Content-Type": f"x/{KEY}"}
    assert select_headers(headers, KEY) == {"Accept": "a"}

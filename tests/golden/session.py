"""Records the transcript of a session with real processes and compares it with a golden file."""

import dataclasses
import os
import re
from collections.abc import Mapping
from difflib import unified_diff
from pathlib import Path
from typing import Any, Final

import orjson

from goldcreststair.const import HEADER_IDEMPOTENCY_KEY
from standins.demo.fleet import Fleet, HttpResponse, send_request

GOLDEN: Final = Path(__file__).parent / "sessions"
UPDATE: Final = "GOLDEN_UPDATE"
SHOWN_HEADERS: Final = ("Content-Type", "Retry-After", "Connection", "X-Request-Id")
KEEP_ALIVE: Final = re.compile(rb": keep-alive\n\n")
TOKEN: Final = re.compile(r"id: (\d+)\ndata: .*\n\n")
PATTERNS: Final = (
    ("id", re.compile(r"\b(?:batch-|job-)?[0-9a-f]{32}\b")),
    ("address", re.compile(r"127\.0\.0\.1:\d+")),
    ("run", re.compile(r"\bbatch-[0-9a-f]{16}-\d+-\d+\b")),
    ("session", re.compile(r"\b[0-9a-f]{16}\b")),
    ("upstream", re.compile(r"\bengine\d+\b")),
    ("time", re.compile(r'(?<=_at": )\d+|(?<=_at":)\d+|(?<=utc_s":)[\d.]+|(?<=taken_ms":)\d+')),
    ("port", re.compile(r'(?<=_port":)\d+')),
)
"""Texts that differ between runs; each kind is numbered in the order of first appearance."""
UNNUMBERED_KINDS: Final = ("time", "port")


class Session:
    """One transcript; ids and addresses are numbered in the order of first appearance."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._lines: list[str] = []
        self._names: dict[str, str] = {}

    def note(self, text: str) -> None:
        """Add an event other than a call, such as a fault that is applied."""
        self._add(f"-- {text}")

    def call(
        self,
        who: str,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        daemon: int = 0,
    ) -> HttpResponse:
        """Send a request and add it and its answer to the transcript."""
        shown = "" if body is None else " " + _show(body)
        if HEADER_IDEMPOTENCY_KEY in (headers or {}):
            shown += f"  [{HEADER_IDEMPOTENCY_KEY}: {(headers or {})[HEADER_IDEMPOTENCY_KEY]}]"
        self._add(f"{who} > vm{daemon} {method} {path}{shown}")
        address = self.fleet.daemons[daemon].wait_listening()
        answer = send_request(address, method, path, body, headers)
        self.add_answer(who, answer)
        return answer

    def add_answer(self, who: str, answer: HttpResponse) -> None:
        """Add an answer to the transcript."""
        self._add(f"{who} < {answer.status}")
        for name in SHOWN_HEADERS:
            if name in answer.headers:
                self._add(f"    {name}: {answer.headers[name]}")
        text = KEEP_ALIVE.sub(b"", answer.body).decode()
        for line in text.splitlines():
            self._add(f"    {line}".rstrip())

    def add_cut_answer(self, who: str, answer: HttpResponse) -> None:
        """Add a streamed answer of any number of tokens, which must be complete and in order."""
        text = KEEP_ALIVE.sub(b"", answer.body).decode()
        indices = [int(index) for index in TOKEN.findall(text)]
        assert indices == list(range(len(indices)))
        shown = "<tokens from 0 on, each once>\n" + TOKEN.sub("", text)
        self.add_answer(who, dataclasses.replace(answer, body=shown.encode()))

    def compare(self, name: str) -> None:
        """Compare the transcript with its golden file; `GOLDEN_UPDATE=1` writes it instead."""
        path = GOLDEN / f"{name}.txt"
        transcript = "\n".join(self._lines) + "\n"
        if os.environ.get(UPDATE):
            path.write_text(transcript)
        golden = path.read_text()
        changes = unified_diff(golden.splitlines(), transcript.splitlines(), path.name, lineterm="")
        assert transcript == golden, "\n".join(changes)

    def _add(self, line: str) -> None:
        for kind, pattern in PATTERNS:
            line = pattern.sub(lambda match, kind=kind: self._name(kind, match[0]), line)  # type: ignore[misc]
        self._lines.append(line)

    def _name(self, kind: str, text: str) -> str:
        if kind in UNNUMBERED_KINDS:
            return f"<{kind}>"
        if text not in self._names:
            number = 1 + sum(1 for name in self._names.values() if name.startswith(f"<{kind} "))
            self._names[text] = f"<{kind} {number}>"
        return self._names[text]


def _show(body: Any) -> str:
    return body.decode() if isinstance(body, bytes) else orjson.dumps(body).decode()

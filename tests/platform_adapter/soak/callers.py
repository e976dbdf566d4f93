"""Callers that reuse their connection until it ends."""

import asyncio
import base64
import itertools
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Final

import orjson

from tests.platform_adapter.local import KEY, HttpAnswer, async_read_answer, make_request
from tests.platform_adapter.soak.daemons import Daemon
from tests.platform_adapter.soak.engine import (
    EVENTS_HEADER,
    PADDING_HEADER,
    PARTS_HEADER,
    PAUSE_HEADER,
    UNFRAMED_HEADER,
    make_text,
    split_software,
)
from tests.platform_adapter.soak.manners import (
    Manner,
    async_read_slowly,
    async_send,
    choose_manner,
)
from tests.platform_adapter.soak.record import Exchange, Item, Record

PATHS: Final = {"stream": "/stream/x", "once": "/once/x", "call": "/call/x", "batch": "/batch/x"}
ROUTES: Final = ("stream", "stream", "stream", "once", "once", "call", "batch")
PAUSES_MS: Final = (0, 10, 50, 100, 180)
"""Time between two events of an upstream, chosen for each request."""
WAIT_AFTER_DEADLINE_S: Final = 2.0
PAUSE_S: Final = 0.1
RECONNECT_S: Final = 0.1
JOB_ITEMS: Final = 3
STATUS_OK: Final = 200
TRIES: Final = 2
"""How often a caller takes up one stream."""
FIRST_PARTS: Final = ("s0", "s1", "s2")
UNFRAMED_SHARE: Final = 0.1
READ_PAUSE_S: Final = 0.2
READ_TIMEOUT_S: Final = 2.0


@dataclass(slots=True)
class Caller:
    """Sends one request after the other; opens a new connection when one ends."""

    name: str
    daemons: Sequence[Daemon]
    record: Record
    chooser: random.Random
    pauses_ms: Sequence[int] = PAUSES_MS
    manners: random.Random | None = None
    """Chooses how requests are sent and answers read; without it, all are plain."""
    home: Daemon | None = None
    """The daemon to which this caller returns as long as that accepts connections."""
    _numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    async def async_run(self, ended: asyncio.Event) -> None:
        """Send requests until `ended` is set."""
        while not ended.is_set():
            listed = [daemon for daemon in self.daemons if daemon.listed]
            try:
                daemon = self.home or self.chooser.choice(listed)
                reader, writer = await async_open(daemon.front.address)
            except (IndexError, OSError):
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                while self._may_send(reader) and await self._async_exchange(daemon, reader, writer):
                    if ended.is_set():
                        break
                    await asyncio.sleep(self.chooser.random() * 2 * PAUSE_S)
            finally:
                writer.close()
            await asyncio.sleep(RECONNECT_S)

    def _may_send(self, reader: asyncio.StreamReader) -> bool:
        """Return whether a connection that may have been idle for long is still open."""
        return self.manners is None or not (reader.at_eof() or reader.exception())

    async def _async_exchange(
        self, daemon: Daemon, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request and record the outcome; returns whether the connection can be reused."""
        request, route = f"{self.name}-{next(self._numbers)}", self.chooser.choice(ROUTES)
        headers, first_part = self._choose_work(), choose_first_part(self.chooser)
        headers[PARTS_HEADER] = make_parts(first_part, f"{self.name}-session", request)
        manner = choose_manner(self.manners) if self.manners is not None else Manner()
        body = make_job(request, headers) if route == "batch" else request.encode()
        # A stream that is taken up is sent with its first body.
        if route == "once":
            body += b"x" * manner.body_bytes
        if route in ("once", "stream") and manner.padding:
            headers[PADDING_HEADER] = str(manner.padding)
        deadline_ms = str(int(manner.deadline_s * 1000))
        fields = headers | {"Request-Id": request, "Deadline-Ms": deadline_ms}
        port = writer.get_extra_info("sockname")[1]
        sent_at = time.monotonic()
        body_sent_at = await async_send(writer, PATHS[route], body, fields, manner)
        wait_s = manner.deadline_s + WAIT_AFTER_DEADLINE_S
        async with async_read_slowly(writer, manner):
            answer = await async_read_or_none(reader, wait_s) or HttpAnswer(0, {}, b"", False)
        link = daemon.front.find_link(port)
        if link is None:
            return False
        exchange = Exchange(
            request,
            route,
            daemon.name,
            sent_at,
            time.monotonic(),
            sent_at + manner.deadline_s,
            answer.status,
            answer.whole,
            answer.body,
            make_text(request, int(headers[EVENTS_HEADER]), padding=_read_padding(headers)),
            link.was_disturbed(sent_at),
            first_part=first_part,
            body_sent_at=body_sent_at,
        )
        self.record.exchanges.append(exchange)
        if route == "stream" and not answer.whole:
            await self._async_take_up(exchange, headers)
        if route == "batch" and answer.status == 202 and answer.whole:
            self.record.accepted += list_items(request, headers)
        await asyncio.sleep(manner.idle_s)
        return answer.whole and answer.headers.get("Connection") != "close"

    async def _async_take_up(self, broken: Exchange, headers: dict[str, str]) -> None:
        """Take up a broken stream at any daemon, as often as its deadline and `TRIES` allow."""
        events, begun_as = int(headers[EVENTS_HEADER]), broken.request
        seen, software = _count_events(broken)
        for _ in range(TRIES):
            if not seen or time.monotonic() >= broken.deadline_at:
                return
            await asyncio.sleep(RECONNECT_S)
            listed = [daemon for daemon in self.daemons if daemon.listed]
            try:
                daemon = self.chooser.choice(listed)
                reader, writer = await async_open(daemon.front.address)
            except (IndexError, OSError):
                continue
            request, sent_at = f"{self.name}-{next(self._numbers)}", time.monotonic()
            left_ms = max(1, round((broken.deadline_at - sent_at) * 1000))
            fields = {"Request-Id": request, "Resumes": begun_as, "Last-Event-Id": str(seen)}
            port = writer.get_extra_info("sockname")[1]
            writer.write(
                make_request(
                    "POST",
                    PATHS["stream"],
                    begun_as.encode(),
                    headers | fields | {"Deadline-Ms": str(left_ms)},
                )
            )
            wait_s = left_ms / 1000 + WAIT_AFTER_DEADLINE_S
            answer = await async_read_or_none(reader, wait_s) or HttpAnswer(0, {}, b"", False)
            writer.close()
            link = daemon.front.find_link(port)
            exchange = Exchange(
                request,
                "stream",
                daemon.name,
                sent_at,
                time.monotonic(),
                broken.deadline_at,
                answer.status,
                answer.whole,
                answer.body,
                make_text(request, events, seen, _read_padding(headers)),
                link is None or link.was_disturbed(sent_at),
                begun_as,
                software,
            )
            self.record.exchanges.append(exchange)
            if answer.whole and answer.status == 200:
                return
            seen = max(seen, _count_events(exchange)[0])

    def _choose_work(self) -> dict[str, str]:
        events = self.chooser.choice((1, 5, 20))
        pause_ms = self.chooser.choice(self.pauses_ms)
        headers = {EVENTS_HEADER: str(events), PAUSE_HEADER: str(pause_ms)}
        if self.chooser.random() < UNFRAMED_SHARE:
            headers[UNFRAMED_HEADER] = "1"
        return headers


def choose_first_part(chooser: random.Random) -> str:
    """Return the first part of a prompt."""
    return chooser.choice(FIRST_PARTS)


def make_parts(*names: str) -> str:
    """Return the header that lists the parts of a prompt.

    >>> make_parts("s1", "own")
    's1:100,own:100'
    """
    return ",".join(f"{name}:100" for name in names)


def _read_padding(headers: dict[str, str]) -> int:
    return int(headers.get(PADDING_HEADER, "0"))


def _count_events(exchange: Exchange) -> tuple[int, str]:
    """Return the number of the last whole event of an answer, and the software that made it."""
    events = exchange.body.decode(errors="replace").split("\n\n")[:-1]
    if exchange.status != STATUS_OK or not events:
        return 0, ""
    text, versions = split_software(events[-1])
    return int(text.partition("\n")[0].removeprefix("id: ")), next(iter(versions), "")


def make_job(job: str, headers: dict[str, str]) -> bytes:
    """Return the body of a submission."""
    fields: dict[str, Any] = {"Model": "m", "Token-Count": "5,5"} | headers
    # Equal requests would be quarantined together, as the cause of the crashes beside which they ran.
    items = [
        {
            "id": f"{job}.{n}",
            "path": PATHS["batch"],
            "headers": fields,
            "body": base64.b64encode(f"{job}.{n}".encode()).decode(),
            "tokens": 1,
        }
        for n in range(JOB_ITEMS)
    ]
    return orjson.dumps({"requests": items})


def list_items(job: str, headers: dict[str, str]) -> list[Item]:
    """Return the items of a submission with their expected texts."""
    names = [f"{job}.{number}" for number in range(JOB_ITEMS)]
    events = int(headers[EVENTS_HEADER])
    texts = ["\n".join(f"{name} {n}" for n in range(1, events + 1)) for name in names]
    return [Item(job, name, text) for name, text in zip(names, texts, strict=True)]


async def async_open(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def async_read_or_none(reader: asyncio.StreamReader, wait_s: float) -> HttpAnswer | None:
    """Return the answer, or None if there is none within `wait_s` or it cannot be read."""
    try:
        # `asyncio.wait_for` drops a cancellation that comes as its task ends.
        async with asyncio.timeout(wait_s):
            return await async_read_answer(reader)
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError, ValueError):
        return None


async def async_read_jobs(
    daemons: Sequence[Daemon],
    record: Record,
    until: float,
    accepted: Sequence[Item],
    key: str = KEY,
) -> None:
    """Read each job of the accepted items until all are listed, or until the time `until`."""
    for job in sorted({item.job for item in accepted}):
        items: list[Item] = []
        for daemon in itertools.cycle(daemons):
            items = await _async_read_job(daemon, job, key) or items
            if len(items) >= JOB_ITEMS or time.monotonic() >= until:
                break
            await asyncio.sleep(READ_PAUSE_S)
        record.listed += items


async def _async_read_job(daemon: Daemon, job: str, key: str) -> list[Item]:
    try:
        reader, writer = await async_open(daemon.front.address)
    except OSError:
        return []
    headers = {"Request-Id": f"read-{job}", "X-Api-Key": key}
    writer.write(make_request("GET", f"/-/lots/{job}?after=0", headers=headers))
    answer = await async_read_or_none(reader, READ_TIMEOUT_S)
    writer.close()
    if answer is None or not answer.whole or answer.status != 200:
        return []
    results = answer.read_json()["results"]
    return [Item(job, row["id"], row["text"], row["state"] == "succeeded") for row in results]

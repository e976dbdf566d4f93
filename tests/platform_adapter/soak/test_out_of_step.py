"""Streams taken up at a daemon that is out of step while an upstream of a new version joins, as processes."""

import asyncio
import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.platform_adapter.local import HttpAnswer, async_read_answer, make_request
from tests.platform_adapter.soak import __main__ as soak
from tests.platform_adapter.soak.__main__ import Site, async_open_site
from tests.platform_adapter.soak.callers import PATHS, async_open, async_read_or_none
from tests.platform_adapter.soak.daemons import Daemon
from tests.platform_adapter.soak.engine import EVENTS_HEADER, PAUSE_HEADER, split_software
from tests.platform_adapter.soak.faults import STORE_PROXY
from tests.platform_adapter.soak.proxy import Proxy

STREAMS = 16
FIRST_ID = "early"
WORK = {EVENTS_HEADER: "30", PAUSE_HEADER: "30"}
READ_S = 6.0
KNOWN_S = 0.25
"""From the new upstream's entry until streams begin there."""


@dataclass(frozen=True, slots=True)
class Begun:
    """A stream whose first event has been read."""

    request: str
    software: str
    writer: asyncio.StreamWriter


def find_store_proxy(site: Site, daemon: Daemon) -> Proxy:
    """Return the proxy between a daemon and the store."""
    return next(each for each in site.proxies if each.name == f"{STORE_PROXY}{daemon.name}")


def stop(_: Site, daemon: Daemon) -> None:
    """Stop the process, as a machine that stands still."""
    daemon.send(signal.SIGSTOP)


def refuse_store(site: Site, daemon: Daemon) -> None:
    """Refuse the daemon's connections to the store."""
    find_store_proxy(site, daemon).refuse()


def silence_store(site: Site, daemon: Daemon) -> None:
    """Hold what the daemon's connections to the store carry; nothing tells the daemon."""
    for link in find_store_proxy(site, daemon).list_open():
        link.hold(to_far=True, to_near=True)


async def async_begin(daemon: Daemon, request: str) -> Begun:
    """Begin a stream and read its first event."""
    reader, writer = await async_open(daemon.plan.front)
    writer.write(make_request("POST", PATHS["stream"], b"x", WORK | {"Request-Id": request}))
    await reader.readuntil(b"\r\n\r\n")
    text = (await reader.readuntil(b"\n\n")).decode()
    return Begun(request, next(iter(split_software(text)[1])), writer)


async def async_send_take_up(
    daemon: Daemon, begun_as: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Write a request that takes up a stream after its first event; the daemon may not read it yet."""
    reader, writer = await async_open(daemon.plan.front)
    fields = {"Request-Id": f"{begun_as}-2", "Resumes": begun_as, "Last-Event-Id": "1"}
    writer.write(make_request("POST", PATHS["stream"], b"x", WORK | fields))
    await writer.drain()
    return reader, writer


def read_versions(answer: HttpAnswer | None) -> frozenset[str]:
    """Return the software versions of the events of an answer."""
    return split_software(answer.body.decode())[1] if answer is not None else frozenset()


@pytest.mark.parametrize(
    ("disturb", "disturbed_s"),
    [
        (stop, 0.0),
        (stop, 0.3),
        (stop, 1.5),
        (refuse_store, 0.1),
        (refuse_store, 3.5),
        (silence_store, 0.1),
    ],
)
def test_daemon_out_of_step_joins_no_versions(
    disturb: Callable[[Site, Daemon], None],
    disturbed_s: float,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stream of a version that joined while the daemon was stopped or cut off."""
    monkeypatch.setattr(soak, "STARTING_VERSIONS", 1)

    async def async_run() -> None:
        async with async_open_site(tmp_path, 3) as site:
            first, second, _ = site.daemons
            await asyncio.sleep(1.5)
            reader, writer = await async_send_take_up(second, FIRST_ID)
            early = await async_read_answer(reader)
            writer.close()
            assert early.whole and read_versions(early) == {"v1"}
            await asyncio.sleep(0.5)
            disturb(site, second)
            await asyncio.sleep(disturbed_s)
            monkeypatch.setattr(soak, "SOFTWARE_VERSIONS", ("v2",))
            await site._async_add_engine("i-new")
            await asyncio.sleep(KNOWN_S)
            names = [f"s{number}" for number in range(STREAMS)]
            begun = await asyncio.gather(*(async_begin(first, each) for each in names))
            assert "v2" in {each.software for each in begun}
            first.send(signal.SIGKILL)
            sent = [await async_send_take_up(second, each.request) for each in begun]
            second.send(signal.SIGCONT)
            answers = await asyncio.gather(*(async_read_or_none(r, READ_S) for r, _ in sent))
            found = [(b.software, read_versions(a)) for b, a in zip(begun, answers, strict=True)]
            assert all(versions <= {software} for software, versions in found), found
            assert all(a is not None and a.status in (200, 503) for a in answers)
            for writer in (*(each.writer for each in begun), *(each for _, each in sent)):
                writer.close()

    asyncio.run(async_run())

"""Crowds of clients at the ports of the project's own daemon."""

import asyncio
import contextlib
import functools
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import orjson
import pytest

from goldcreststair.client_limits.const import HELD_SHARE
from goldcreststair.components.membership.gossip import NUMBER_GOSSIP
from goldcreststair.const import BYTES_PER_MB
from goldcreststair.wire.codec import encode_struct
from goldcreststair.wire.generated.membership.ttypes import Gossip, LoadEntry
from goldcreststair.wire.generated.peers.ttypes import Envelope, FrameKind, Hello
from standins.demo.__main__ import CUSTOMERS, make_chat, make_headers, wait_ready
from standins.demo.fleet import Fleet, FleetPlan, send_request
from tests.client_limits.crowd import (
    ANSWER_TIMEOUT_S,
    DESCRIPTORS,
    IDLE,
    MEMORY_MB,
    RETURN_S,
    SETTLE_POLL_S,
    SETTLE_S,
    SPARE_DESCRIPTORS,
    TRIES,
    UNFINISHED_FRAMES,
    Crowd,
    Manner,
    make_frame,
    make_head,
    send_endless,
    send_unfinished_chunk,
    send_unfinished_chunks,
    send_unfinished_length,
)
from tests.client_limits.gateway_site import limit_descriptors
from tests.helpers.processes import count_descriptors, read_peak_mb

pytestmark = pytest.mark.crowd

BODY_BYTES: Final = 8 * 1024 * 1024
PATH: Final = "/v1/chat/completions"
JOB_LINES: Final = 120
"""Fewer lines of a job than are stored at a time."""
LINE_BYTES: Final = 60 * 1024
JOB_ITEMS: Final = 10_000
JOB_ITEM_BYTES: Final = 4 * 1024
JOB_HEAD: Final = make_head(
    "/v1/batches", "Authorization: Bearer key-designers", "Transfer-Encoding: chunked"
)


def make_job(lines: int, line_bytes: int) -> bytes:
    """Return the JSON lines of a job, each of about `line_bytes`."""
    padding = "x" * line_bytes
    parts = (
        {"custom_id": str(number), "body": make_chat(padding, stream=False)}
        for number in range(lines)
    )
    return b"\n".join(orjson.dumps(part) for part in parts)


KEYED_JOBS: Final = Manner(
    "jobs with a key that stop short",
    send_unfinished_chunk(JOB_HEAD, make_job(JOB_LINES, LINE_BYTES)),
)
GOSSIP_ENTRIES: Final = 8_000_000
"""Entries of a list, of a byte each; two such messages are within the limit on all clients."""


@functools.cache
def make_gossip() -> tuple[bytes, ...]:
    """Return the frames of a stranger: its Hello, and a message with many entries."""
    gossip = Gossip(1, 1, 1, loads=[LoadEntry()] * GOSSIP_ENTRIES)
    post = Envelope(FrameKind.POST, NUMBER_GOSSIP, None, encode_struct(gossip))
    return tuple(make_frame(encode_struct(each)) for each in (Hello("stranger", ""), post))


KEYLESS: Final = (
    Manner("chunks without end", send_endless(PATH)),
    Manner("chunks that stop short", send_unfinished_chunks(PATH, BODY_BYTES)),
    Manner("a length that stops short", send_unfinished_length(PATH, BODY_BYTES)),
    Manner("jobs that stop short", send_unfinished_length("/v1/batches", BODY_BYTES)),
    Manner("bodies for the readiness", send_endless("/health/ready", method="GET")),
    Manner("chunks of three bytes", send_endless(PATH, 3)),
)
CASES: Final = (
    *(("http", manner) for manner in KEYLESS),
    ("http", KEYED_JOBS),
    ("peer", UNFINISHED_FRAMES),
    ("peer", Manner("messages of many entries", make_gossip, clients=2)),
)


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the daemon under test; 0 stands for the default of each."""

    memory_mb: int = MEMORY_MB
    descriptors: int = 0


@dataclass(frozen=True, slots=True)
class DaemonSite:
    """One daemon of the demo's fleet."""

    http: str
    peer: str
    pid: int

    def is_served(self) -> bool:
        """Return whether an ordinary request is answered in one of `TRIES` attempts."""
        for _ in range(TRIES):
            try:
                body = make_chat("hello", stream=False)
                answer = send_request(
                    self.http,
                    "POST",
                    PATH,
                    body,
                    make_headers("designers"),
                    timeout_s=ANSWER_TIMEOUT_S,
                )
                if answer.status == 200:
                    return True
            except OSError:
                pass
            time.sleep(RETURN_S)
        return False


def find_peer_port(pid: int, http_port: str) -> str:
    """Return the other port at which a process listens."""
    links = set()
    for each in Path(f"/proc/{pid}/fd").iterdir():
        # A descriptor may be closed after it was listed.
        with contextlib.suppress(FileNotFoundError):
            links.add(str(each.readlink()))
    inodes = {link[len("socket:[") : -1] for link in links if link.startswith("socket:[")}
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    listening = {int(r[1].split(":")[1], 16) for r in rows if r[3] == "0A" and r[9] in inodes}
    (port,) = listening - {int(http_port)}
    return str(port)


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch, request: pytest.FixtureRequest) -> Iterator[DaemonSite]:
    """Start a fleet with one daemon whose memory is limited by its settings."""
    limits: Limits = getattr(request, "param", Limits())
    monkeypatch.setenv("GOLDCRESTSTAIR_MEMORY_MB", str(limits.memory_mb))
    fleet = Fleet(FleetPlan(daemons=1, engines=1, data_centres=("dc1",)))
    with limit_descriptors(limits.descriptors):
        fleet.start()
    with contextlib.closing(fleet):
        address = fleet.daemons[0].wait_listening()
        assert fleet.patch_configuration(0, fleet.describe_configuration(CUSTOMERS)).status == 200
        wait_ready(address)
        host, _, port = address.rpartition(":")
        pid = fleet.daemons[0].pid
        yield DaemonSite(address, f"{host}:{find_peer_port(pid, port)}", pid)


def run_crowd(address: str, manner: Manner) -> Crowd:
    """Let a crowd send until it is done; its connections stay open."""
    crowd = Crowd(address, manner)
    asyncio.run(crowd.async_run())
    return crowd


def count_left(site: DaemonSite, before: int) -> int:
    """Return how many more descriptors are open than before the crowd, once it has been noticed."""
    for _ in range(int(SETTLE_S / SETTLE_POLL_S)):
        if count_descriptors(site.pid) - before <= SPARE_DESCRIPTORS:
            break
        time.sleep(SETTLE_POLL_S)
    return count_descriptors(site.pid) - before


@pytest.mark.parametrize(("port", "manner"), CASES, ids=[str(manner) for _, manner in CASES])
def test_a_crowd_costs_neither_the_memory_nor_the_service(
    site: DaemonSite, port: str, manner: Manner
) -> None:
    """Guards against a daemon that keeps what clients without a key send until its memory is used up."""
    assert site.is_served()
    before = count_descriptors(site.pid)
    crowd = run_crowd(getattr(site, port), manner)
    peak_mb = read_peak_mb(site.pid)
    crowd.leave()
    served, left = site.is_served(), count_left(site, before)
    peak_mb = max(peak_mb, read_peak_mb(site.pid))
    print(f"{manner}: peak {peak_mb:.0f} MB, {left} descriptors more than before")
    assert served
    assert peak_mb <= MEMORY_MB
    assert left <= SPARE_DESCRIPTORS


@pytest.mark.parametrize("site", [Limits(memory_mb=0)], indirect=True)
@pytest.mark.parametrize("manner", KEYLESS, ids=str)
def test_a_crowd_without_keys_holds_little_whatever_the_memory(
    site: DaemonSite, manner: Manner
) -> None:
    """Guards against bodies that are read whole before a key is looked at, by a daemon with much memory."""
    crowd = run_crowd(site.http, manner)
    crowd.leave()
    assert site.is_served()
    assert read_peak_mb(site.pid) <= MEMORY_MB


def test_a_job_larger_than_what_clients_may_hold_is_accepted(site: DaemonSite) -> None:
    """Guards against jobs that are refused for their length although they are stored as they arrive."""
    job = make_job(JOB_ITEMS, JOB_ITEM_BYTES)
    answer = send_request(site.http, "POST", "/v1/batches", job, make_headers("designers"))
    assert answer.status == 200
    assert len(job) > MEMORY_MB * BYTES_PER_MB // HELD_SHARE
    assert read_peak_mb(site.pid) <= MEMORY_MB


@pytest.mark.parametrize("site", [Limits(descriptors=DESCRIPTORS)], indirect=True)
@pytest.mark.parametrize("port", ["http", "peer"])
def test_idle_connections_leave_descriptors_for_callers(site: DaemonSite, port: str) -> None:
    """Guards against a daemon whose idle connections use up its descriptors, so that it accepts no caller."""
    crowd = run_crowd(getattr(site, port), IDLE)
    assert count_descriptors(site.pid) <= DESCRIPTORS
    assert site.is_served()
    crowd.leave()
    assert site.is_served()

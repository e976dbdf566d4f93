"""Tests of links between daemons: requests that are answered, refused or fail."""

import asyncio
import socket
import struct
from dataclasses import dataclass
from typing import Any

import pytest
from result import Err, Ok

from goldcreststair.blackboard import SectionWriter
from goldcreststair.clock import LoopClock
from goldcreststair.components.membership.models import MEMBERS, Member, Members, MemberState
from goldcreststair.components.membership.probe import NUMBER_PROBE_REQUEST
from goldcreststair.components.peers.const import (
    IDLE_TIMEOUT_MS,
    MAX_NON_MEMBER_BYTES,
    SILENCE_TIMEOUT_MS,
)
from goldcreststair.components.peers.service import PeerService
from goldcreststair.core import Core
from goldcreststair.transport import MAX_FRAME_BYTES, PeerChannel, TcpTransport
from goldcreststair.wire.codec import encode_struct
from goldcreststair.wire.generated.membership.ttypes import ProbeAsk
from goldcreststair.wire.generated.online.ttypes import YieldHint
from goldcreststair.wire.generated.peers.ttypes import Envelope, FrameKind
from standins.budgets import make_budget
from standins.network import FakeNetwork
from tests.helpers.cores import make_core
from tests.helpers.virtual_time import run_virtual


@dataclass
class Node:
    core: Core
    peers: PeerService
    members: SectionWriter[Members]
    served: list[tuple[str, Any]]


async def async_make_node(
    name: str, address: str, network: FakeNetwork | None, delay_ms: int = 0
) -> Node:
    transport = network.join(address) if network else TcpTransport(make_budget(LoopClock()))
    core = make_core(transport=transport, session_id=name, address=address, peer_port=0)
    served: list[tuple[str, Any]] = []

    async def async_handle(session_id: str, message: Any) -> Any:
        served.append((session_id, message))
        await core.clock.async_sleep(delay_ms)
        return YieldHint(message.upstream, message.queue_ms + 1)

    peers = PeerService(core)
    peers.register(100, YieldHint, async_handle)
    members = core.blackboard.open_section(MEMBERS, Members(name))
    await peers.async_listen()
    return Node(core, peers, members, served)


def make_members(*nodes: Node) -> None:
    """Make nodes members of each other's fleet."""
    known = {
        node.core.session_id: Member(
            node.core.session_id,
            node.core.settings.address,
            1,
            node.core.peer_port,
            "dc1",
            "default",
            MemberState.SERVING,
        )
        for node in nodes
    }
    for node in nodes:
        node.members.write(Members(node.core.session_id, known))


async def async_make_pair(network: FakeNetwork, delay_ms: int = 0) -> tuple[Node, Node]:
    left = await async_make_node("a", "10.0.0.1", network)
    right = await async_make_node("b", "10.0.0.2", network, delay_ms)
    make_members(left, right)
    return left, right


async def async_send_request(
    node: Node, target: str, queue_ms: int = 1, timeout_ms: int = 1000
) -> Any:
    return await node.peers.async_request(target, YieldHint("e1", queue_ms), timeout_ms)


def test_request_is_answered_over_tcp() -> None:
    async def async_test() -> None:
        left = await async_make_node("a", "127.0.0.1", None)
        right = await async_make_node("b", "127.0.0.1", None)
        make_members(left, right)
        assert (await async_send_request(left, "b", 5, 10_000)).unwrap().queue_ms == 6
        assert (await async_send_request(right, "a", 7, 10_000)).unwrap().queue_ms == 8
        await left.peers.async_close()
        failed = await async_send_request(right, "a", 1, 10_000)
        assert isinstance(failed, Err)
        await right.peers.async_close()

    asyncio.run(async_test())


def test_oversized_length_closes_the_connection() -> None:
    """Guards against waiting for the four gigabytes that a sender out of frame alignment announces."""

    async def async_test() -> None:
        node = await async_make_node("a", "127.0.0.1", None)
        loop = asyncio.get_running_loop()
        with socket.create_connection(("127.0.0.1", node.core.peer_port)) as raw:
            raw.setblocking(False)
            await loop.sock_sendall(raw, b"\xff\xff\xff\xff")
            assert await asyncio.wait_for(loop.sock_recv(raw, 1), 10) == b""
        await node.peers.async_close()

    asyncio.run(async_test())


def test_frames_sent_before_a_reset_are_received() -> None:
    """Guards against messages of a daemon that are dropped because it closed the connection behind them."""

    async def async_test() -> None:
        transport = TcpTransport(make_budget(LoopClock()))
        accepted: asyncio.Queue[PeerChannel] = asyncio.Queue()
        port = await transport.async_listen("127.0.0.1", 0, accepted.put_nowait)
        with socket.create_connection(("127.0.0.1", port)) as raw:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raw.sendall(b"\0\0\0\1a" + b"\0\0\0\1b")
            channel = await accepted.get()
            assert await channel.async_receive() == b"a"
        await asyncio.sleep(0.05)
        assert await channel.async_receive() == b"b"
        assert await channel.async_receive() is None
        await transport.async_close()

    asyncio.run(async_test())


def test_silent_link_is_replaced() -> None:
    """Guards against requests without response although the other daemon runs.

    The path loses track of an open connection: nothing arrives on it any more and TCP does not
    notice. A new connection works, so missing heartbeats must close the link and the next request
    must open a new one.
    """

    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network)
        assert isinstance(await async_send_request(left, "b"), Ok)
        network.silence("10.0.0.1", "10.0.0.2")
        lost = await async_send_request(left, "b", timeout_ms=60_000)
        assert isinstance(lost, Err)
        assert not lost.err_value.not_sent
        assert left.core.clock.now() < 1_000_000 + 2 * SILENCE_TIMEOUT_MS
        assert isinstance(await async_send_request(left, "b"), Ok)
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


def test_messages_for_an_old_session_do_not_reach_the_new_one() -> None:
    """A VM is replaced and its address reused before the other daemons know of it.

    Messages for the old session must not run at the new one, and the sender may report that they
    were not sent.
    """

    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network)
        right.core.session_id = "c"
        refused = await async_send_request(left, "b")
        assert isinstance(refused, Err)
        assert refused.err_value.not_sent
        assert right.served == []
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


def test_request_of_non_member_is_refused_without_effect() -> None:
    """Guards against a daemon that resumes after its session expired and acts on other daemons."""

    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network)
        right.members.write(Members("b"))
        refused = await async_send_request(left, "b")
        assert isinstance(refused, Err)
        assert refused.err_value.not_sent
        assert right.served == []
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


@pytest.mark.parametrize(
    ("length", "served"), [(MAX_NON_MEMBER_BYTES // 2, 1), (MAX_NON_MEMBER_BYTES, 0)]
)
def test_a_long_message_of_a_non_member_is_not_decoded(length: int, served: int) -> None:
    """Guards against strangers whose messages of many entries take memory and time."""

    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network)
        decoded: list[Any] = []

        async def async_handle(_: str, message: Any) -> None:
            decoded.append(message)

        right.peers.register(NUMBER_PROBE_REQUEST, ProbeAsk, async_handle)
        right.members.write(Members("b"))
        left.peers.register(NUMBER_PROBE_REQUEST, ProbeAsk, None)
        left.peers.post("b", ProbeAsk("x" * length))
        await asyncio.sleep(1)
        assert len(decoded) == served
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


def test_late_and_misdirected_responses_are_dropped() -> None:
    """Responses arrive late, or with the correlation ids of other requests.

    The response to a request that has timed out must not be used for the next one.
    """

    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network, delay_ms=500)
        assert isinstance(await async_send_request(left, "b", 10, timeout_ms=100), Err)
        misdirected = encode_struct(Envelope(FrameKind.ANSWER, 100, 999, b""))
        for link in right.peers._all_links:
            link._channel.send(misdirected)
        answers = await asyncio.gather(
            async_send_request(left, "b", 20), async_send_request(left, "b", 30)
        )
        assert [response.unwrap().queue_ms for response in answers] == [21, 31]
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


@pytest.mark.parametrize("fault", ["cut", "unknown", "oversized"])
def test_not_sent_is_reported_when_certain(fault: str) -> None:
    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network)
        if fault == "cut":
            network.cut("10.0.0.1", "10.0.0.2")
        target = "nobody" if fault == "unknown" else "b"
        upstream = "x" * (MAX_FRAME_BYTES + 1) if fault == "oversized" else "e1"
        failed = await left.peers.async_request(target, YieldHint(upstream, 1), 1000)
        assert isinstance(failed, Err)
        assert failed.err_value.not_sent
        assert right.served == []
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


def test_link_lost_during_a_request_is_not_reported_as_not_sent() -> None:
    """The link breaks while the other side runs the request: it may have run."""

    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network, delay_ms=500)
        request = asyncio.create_task(async_send_request(left, "b", timeout_ms=5000))
        await asyncio.sleep(0.1)
        network.cut("10.0.0.1", "10.0.0.2")
        failed = await request
        assert isinstance(failed, Err)
        assert not failed.err_value.not_sent
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


def test_idle_links_are_closed() -> None:
    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network)
        assert isinstance(await async_send_request(left, "b"), Ok)
        assert left.peers.count_reachable() == 1
        await asyncio.sleep(2 * IDLE_TIMEOUT_MS / 1000)
        assert left.peers.count_reachable() == 0
        assert not left.peers._all_links
        assert not right.peers._all_links
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())

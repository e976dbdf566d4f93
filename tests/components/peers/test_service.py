"""Links between daemons: what is sent, answered, refused and given up."""

import asyncio
import socket
from dataclasses import dataclass
from typing import Any

import pytest
from result import Err, Ok

from goldcreststair.blackboard import SectionWriter
from goldcreststair.clock import LoopClock
from goldcreststair.components.membership.models import MEMBERS, Member, Members, MemberState
from goldcreststair.components.peers.const import IDLE_MS, SILENT_MS
from goldcreststair.components.peers.service import PeerService
from goldcreststair.core import Core
from goldcreststair.transport import MAX_FRAME_BYTES, TcpTransport
from goldcreststair.wire.codec import encode_struct
from goldcreststair.wire.generated.online.ttypes import YieldHint
from goldcreststair.wire.generated.peers.ttypes import Envelope, FrameKind
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
    transport = network.join(address) if network else TcpTransport()
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


def introduce(*nodes: Node) -> None:
    """Let nodes know each other."""
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
    introduce(left, right)
    return left, right


async def async_ask(node: Node, target: str, queue_ms: int = 1, timeout_ms: int = 1000) -> Any:
    return await node.peers.async_request(target, YieldHint("e1", queue_ms), timeout_ms)


def test_request_is_answered_over_tcp() -> None:
    async def async_test() -> None:
        left = await async_make_node("a", "127.0.0.1", None)
        right = await async_make_node("b", "127.0.0.1", None)
        introduce(left, right)
        assert (await async_ask(left, "b", 5, 10_000)).unwrap().queue_ms == 6
        assert (await async_ask(right, "a", 7, 10_000)).unwrap().queue_ms == 8
        await left.peers.async_close()
        failed = await async_ask(right, "a", 1, 10_000)
        assert isinstance(failed, Err)
        await right.peers.async_close()

    asyncio.run(async_test())


def test_oversized_length_closes_the_connection() -> None:
    """A sender out of step announces four gigabytes; the receiver must not wait for them."""

    async def async_test() -> None:
        node = await async_make_node("a", "127.0.0.1", None)
        loop = asyncio.get_running_loop()
        with socket.create_connection(("127.0.0.1", node.core.peer_port)) as raw:
            raw.setblocking(False)
            await loop.sock_sendall(raw, b"\xff\xff\xff\xff")
            assert await asyncio.wait_for(loop.sock_recv(raw, 1), 10) == b""
        await node.peers.async_close()

    asyncio.run(async_test())


def test_silent_link_is_left_for_a_new_one() -> None:
    """A request gets no answer although the other daemon runs.

    The path loses track of an open connection: nothing arrives on it any more and TCP does not
    notice. A new connection works, so heartbeats must tell and the next request must use one.
    """

    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network)
        assert isinstance(await async_ask(left, "b"), Ok)
        network.silence("10.0.0.1", "10.0.0.2")
        lost = await async_ask(left, "b", timeout_ms=60_000)
        assert isinstance(lost, Err)
        assert not lost.err_value.not_sent
        assert left.core.clock.now() < 1_000_000 + 2 * SILENT_MS
        assert isinstance(await async_ask(left, "b"), Ok)
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


def test_new_daemon_at_an_old_address_never_sees_messages_for_the_old_one() -> None:
    """A VM is replaced and its address reused before the others have heard of it.

    What was meant for the old session must not run at the new one, and the sender may say that
    it was not sent.
    """

    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network)
        right.core.session_id = "c"
        refused = await async_ask(left, "b")
        assert isinstance(refused, Err)
        assert refused.err_value.not_sent
        assert right.served == []
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


def test_session_that_is_no_member_is_refused_without_effect() -> None:
    """A daemon was paused, expired and wakes: it must not act on others before it is back."""

    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network)
        right.members.write(Members("b"))
        refused = await async_ask(left, "b")
        assert isinstance(refused, Err)
        assert refused.err_value.not_sent
        assert right.served == []
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


def test_late_and_crossed_answers_are_dropped() -> None:
    """Two requests run; their answers come late, or with numbers of other requests.

    A request that has timed out must not leave its answer to the next one.
    """

    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network, delay_ms=500)
        assert isinstance(await async_ask(left, "b", 10, timeout_ms=100), Err)
        crossed = encode_struct(Envelope(FrameKind.ANSWER, 100, 999, b""))
        for link in right.peers._all_links:
            link._channel.send(crossed)
        answers = await asyncio.gather(async_ask(left, "b", 20), async_ask(left, "b", 30))
        assert [answer.unwrap().queue_ms for answer in answers] == [21, 31]
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


@pytest.mark.parametrize("fault", ["cut", "unknown", "oversized"])
def test_not_sent_is_said_when_certain(fault: str) -> None:
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


def test_a_cut_under_way_is_not_called_not_sent() -> None:
    """The link breaks while the other side runs the request: nobody may claim it did not run."""

    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network, delay_ms=500)
        asking = asyncio.create_task(async_ask(left, "b", timeout_ms=5000))
        await asyncio.sleep(0.1)
        network.cut("10.0.0.1", "10.0.0.2")
        failed = await asking
        assert isinstance(failed, Err)
        assert not failed.err_value.not_sent
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())


def test_idle_links_are_closed() -> None:
    async def async_test() -> None:
        network = FakeNetwork(LoopClock())
        left, right = await async_make_pair(network)
        assert isinstance(await async_ask(left, "b"), Ok)
        assert left.peers.count_reachable() == 1
        await asyncio.sleep(2 * IDLE_MS / 1000)
        assert left.peers.count_reachable() == 0
        assert not left.peers._all_links
        assert not right.peers._all_links
        await asyncio.gather(left.peers.async_close(), right.peers.async_close())

    run_virtual(async_test())

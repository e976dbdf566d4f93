"""Ends the session of a crashed process early, if several members confirm that it is gone."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from result import Err, Ok

from goldcreststair.components.membership.const import (
    MIN_WITNESSES,
    PROBE_MS,
    PROBE_ROUNDS,
    PROBE_TIMEOUT_MS,
    RING_PARTNERS,
    WITNESSES,
)
from goldcreststair.components.membership.ring import find_successors
from goldcreststair.components.membership.rows import name_row
from goldcreststair.components.membership.session import is_renewed
from goldcreststair.components.membership.table import MemberTable
from goldcreststair.components.peers.protocols import ENDPOINT_LINKS, Endpoint, PeerMessage
from goldcreststair.core import Core
from goldcreststair.store.models import Row
from goldcreststair.wire.generated.membership.ttypes import ProbeAnswer, ProbeAsk

NUMBER_PROBE_REQUEST: Final = 4
NUMBER_PROBE_ANSWER: Final = 5


class ProcessProbe:
    """Probes the ring successors, to which gossip keeps links open anyway.

    A connection that is refused, or accepted by another session, shows that the process has ended.
    A missing response shows nothing, as a paused or cut-off VM does not respond either; its session
    expires by its row in the store.
    """

    def __init__(
        self,
        core: Core,
        table: MemberTable,
        async_expire: Callable[[str, Row], Awaitable[None]],
    ) -> None:
        """Register the message types; `async_expire` ends a session whose row has not changed."""
        self._core = core
        self._table = table
        self._async_expire = async_expire
        self._peers = core.get(ENDPOINT_LINKS)
        self._rounds: dict[str, int] = {}
        self._peers.register(NUMBER_PROBE_REQUEST, ProbeAsk, self._async_on_probe)
        self._peers.register(NUMBER_PROBE_ANSWER, ProbeAnswer, None)

    async def async_run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self._core.clock.async_sleep(PROBE_MS)
            await self.async_step()

    async def async_step(self) -> None:
        """Probe the ring successors once."""
        watched = find_successors(self._core.session_id, self._table.live, RING_PARTNERS)
        found = await asyncio.gather(*(self._async_probe(name) for name in watched))
        rounds, self._rounds = self._rounds, {}
        for session_id, gone in zip(watched, found, strict=True):
            self._rounds[session_id] = rounds.get(session_id, 0) + 1 if gone else 0
        for session_id in watched:
            if self._rounds[session_id] >= PROBE_ROUNDS:
                await self._async_end(session_id)

    async def _async_end(self, session_id: str) -> None:
        # A live VM behind a firewall that refuses its port takes a new session when this one is
        # ended. A renewed session is not ended early, or its partitions would move every few
        # seconds.
        if session_id not in self._table.live or is_renewed(session_id):
            return
        # The row is read before the witnesses probe, and deleted only if it has not changed since:
        # a process that still writes heartbeats keeps its session whatever they find.
        row = await self._core.platform.table.async_read(name_row(session_id))
        if isinstance(row, Err) or row.ok_value is None:
            return
        if await self._async_count_witnesses(session_id) >= MIN_WITNESSES:
            await self._async_expire(session_id, row.ok_value)

    async def _async_count_witnesses(self, session_id: str) -> int:
        others = sorted(self._table.live.keys() - {session_id, self._core.session_id})
        chosen = self._core.random.sample(others, min(WITNESSES, len(others)))
        found = await asyncio.gather(
            *(self._async_ask_witness(name, session_id) for name in chosen)
        )
        return sum(found)

    async def _async_ask_witness(self, witness: str, session_id: str) -> bool:
        request = ProbeAsk(session_id)
        response = await self._peers.async_request(witness, request, PROBE_TIMEOUT_MS)
        return isinstance(response, Ok) and response.ok_value.gone

    async def _async_on_probe(self, _sender: str, message: PeerMessage) -> PeerMessage:
        return ProbeAnswer(await self._async_probe(message.session_id))

    async def _async_probe(self, session_id: str) -> bool:
        member = self._table.live.get(session_id)
        if member is None:
            return self._table.is_gone(session_id)
        endpoint = Endpoint(member.address, member.peer_port, session_id)
        return await self._peers.async_is_gone(endpoint)

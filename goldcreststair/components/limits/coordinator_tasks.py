"""Carries out what a home needs of others: questions after a take-over, supporters in an outage."""

import asyncio
import hashlib
import logging
from collections import Counter
from collections.abc import Coroutine, Mapping
from typing import Any

from result import Ok

from goldcreststair.components.configuration.models import CONFIGURATION, Customer
from goldcreststair.components.ledger.protocols import Change, CommitRefused, Ledger, Partition
from goldcreststair.components.limits import messages
from goldcreststair.components.limits.const import (
    COMMIT_TIMEOUT_MS,
    QUESTION_INTERVAL_MS,
    QUESTION_TIMEOUT_MS,
    STORE_RIGHT_MS,
    SUPPORT_AFTER_MS,
    SUPPORT_INTERVAL_MS,
    SUPPORTERS,
    SUPPORTERS_RECORD,
)
from goldcreststair.components.limits.coordinators import Home, Homes, find_customer_index
from goldcreststair.components.membership.models import MEMBERS, MemberState
from goldcreststair.components.peers.protocols import PeerLinks, PeerMessage
from goldcreststair.core import Core
from goldcreststair.journal import Subject
from goldcreststair.wire.generated.limits import ttypes

_LOGGER = logging.getLogger(__name__)


class HomeTasks:
    """Asks members to renounce older epochs, and supporters to extend a home's right."""

    def __init__(self, core: Core, homes: Homes, ledger: Ledger, peers: PeerLinks) -> None:
        """Register the messages; nothing runs yet."""
        self._core = core
        self._clock = core.clock
        self._homes = homes
        self._ledger = ledger
        self._peers = peers
        self._tasks: set[asyncio.Task[None]] = set()
        peers.register(messages.NUMBER_RENOUNCE, ttypes.Renounce, self._async_on_renounce)
        peers.register(messages.NUMBER_RENOUNCED, ttypes.Renounced, None)
        peers.register(messages.NUMBER_SUPPORT_ASK, ttypes.SupportAsk, self._async_on_support)
        peers.register(messages.NUMBER_SUPPORTED, ttypes.Supported, None)

    def start(self) -> None:
        """Follow the ledger and look after the homes."""
        self._ledger.watch(self._on_gained, lambda index: None)
        self._spawn(self._async_look_after())

    async def async_close(self) -> None:
        """Stop everything."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _find_customers(self, index: int) -> list[Customer]:
        customers = self._core.blackboard.read(CONFIGURATION).customers.values()
        return [c for c in customers if find_customer_index(self._ledger, c.name) == index]

    def _on_gained(self, partition: Partition) -> None:
        home = self._homes.gain(partition, self._clock.now())
        if home.take_over is not None:
            self._spawn(self._async_take_over(home))

    async def _async_take_over(self, home: Home) -> None:
        answered: set[str] = set()
        while not home.is_ready(self._clock.now()) and home in self._homes.find_owned():
            take_over = home.take_over
            members = self._core.blackboard.read(MEMBERS).by_session
            targets = (set(members) | take_over.unheard if take_over else set()) - answered
            heard = await asyncio.gather(*(self._async_ask_one(home, s) for s in sorted(targets)))
            answered.update(session for session in heard if session)
            await self._clock.async_sleep(QUESTION_INTERVAL_MS)

    async def _async_ask_one(self, home: Home, session_id: str) -> str:
        index = home.partition.index
        message = ttypes.Renounce(index, home.epoch)
        if session_id == self._core.session_id:
            answer = await self._async_on_renounce(session_id, message)
        else:
            asked = await self._peers.async_request(session_id, message, QUESTION_TIMEOUT_MS)
            if not isinstance(asked, Ok):
                return ""
            answer = asked.ok_value
        now = self._clock.now()
        if home.take_over is not None:
            home.take_over.renounce(session_id, now)
        if answer.held_epoch == home.epoch - 1:
            held = messages.decode_held(answer)
            self._homes.restore(home, held, self._find_customers(index), now)
            reason = "the old home handed over its buckets"
            self._core.journal.record(Subject.PARTITION, str(index), "limits ready", reason)
        return session_id

    async def _async_on_renounce(self, sender: str, message: PeerMessage) -> PeerMessage:
        customers = self._find_customers(message.partition)
        now = self._clock.now()
        epoch, held = self._homes.renounce(message.partition, message.epoch, customers, now)
        return messages.encode_held(epoch, held)

    async def _async_on_support(self, sender: str, message: PeerMessage) -> PeerMessage:
        return ttypes.Supported(self._homes.may_support(message.partition, message.epoch))

    async def _async_look_after(self) -> None:
        while True:
            for home in self._homes.find_owned():
                if home.is_ready(self._clock.now()) and self._find_customers(home.partition.index):
                    self._look_after(home)
            await self._clock.async_sleep(SUPPORT_INTERVAL_MS)

    def _look_after(self, home: Home) -> None:
        age = self._clock.now() - home.partition.confirmed_at
        if age >= SUPPORT_AFTER_MS:
            for session_id in home.right.supporters:
                self._spawn(self._async_ask_support(home, session_id))
        supporters = home.right.wanted
        serving = self._find_serving()
        wanted = min(SUPPORTERS, len(serving))
        stale = len(supporters) < wanted or not supporters <= set(serving)
        if stale and wanted and age < STORE_RIGHT_MS and not home.writing:
            self._spawn(self._async_write_supporters(home, serving))

    def _find_serving(self) -> dict[str, str]:
        """Return the data centre of every other serving member."""
        members = self._core.blackboard.read(MEMBERS).by_session.items()
        return {
            session_id: member.data_centre
            for session_id, member in members
            if member.state is MemberState.SERVING and session_id != self._core.session_id
        }

    async def _async_ask_support(self, home: Home, session_id: str) -> None:
        asked_at = self._clock.now()
        message = ttypes.SupportAsk(home.partition.index, home.epoch)
        answer = await self._peers.async_request(session_id, message, QUESTION_TIMEOUT_MS)
        if isinstance(answer, Ok) and answer.ok_value.granted:
            home.right.support(session_id, asked_at)

    async def _async_write_supporters(self, home: Home, serving: Mapping[str, str]) -> None:
        index = home.partition.index
        chosen = choose_supporters(index, serving, self._core.settings.data_centre)
        home.writing = True
        home.right.begin_change(chosen)
        change = Change(SUPPORTERS_RECORD, " ".join(chosen).encode())
        try:
            written = await home.partition.async_commit([change], COMMIT_TIMEOUT_MS)
        finally:
            home.writing = False
        if isinstance(written, Ok):
            home.right.end_change(written=True)
        elif isinstance(written.err_value, CommitRefused):
            home.right.end_change(written=False)


def choose_supporters(index: int, members: Mapping[str, str], home_centre: str) -> tuple[str, ...]:
    """Return a few sessions, spread over data centres and stable as long as they are there.

    >>> choose_supporters(0, {"a": "x", "b": "y", "c": "z", "d": "x"}, "x")[:2] in (
    ...     ("b", "c"), ("c", "b"))
    True
    """

    def weigh(session_id: str) -> bytes:
        return hashlib.sha256(f"{index}/{session_id}".encode()).digest()

    # Losing a data centre must not take the home and the majority of its supporters at once.
    used = Counter({home_centre: 1})
    chosen: list[str] = []
    for _ in range(min(SUPPORTERS, len(members))):
        rest = [session_id for session_id in members if session_id not in chosen]
        best = min(rest, key=lambda session_id: (used[members[session_id]], weigh(session_id)))
        chosen.append(best)
        used[members[best]] += 1
    return tuple(chosen)

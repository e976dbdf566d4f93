"""Limits over the whole fleet: this VM's own tokens, its home buckets, and what it borrows."""

import asyncio
from itertools import count

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import CONFIGURATION, Customer
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.limits import messages
from goldcreststair.components.limits.borrower import Borrower, Waiter
from goldcreststair.components.limits.const import (
    ADMIT_WAIT_MS,
    ASK_INTERVAL_MS,
    ASK_TIMEOUT_MS,
    HOME_WAIT_MS,
    LOT_LIFETIME_MS,
    OWNER_READ_INTERVAL_MS,
    UNREACHABLE_RETRY_MS,
)
from goldcreststair.components.limits.homes import Homes, find_customer_index
from goldcreststair.components.limits.models import HomeAnswer
from goldcreststair.components.limits.protocols import LimitExceeded
from goldcreststair.components.limits.silence import AskSilence
from goldcreststair.components.limits.static_share import StaticShare
from goldcreststair.components.limits.takeover import HomeTasks
from goldcreststair.components.membership.models import MEMBERS
from goldcreststair.components.membership.protocols import MEMBERSHIP
from goldcreststair.components.peers.protocols import PEERS, PeerError, PeerMessage
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import Core
from goldcreststair.wire.generated.limits import ttypes


class FleetLimits:
    """Implements `Limits` over all VMs together."""

    def __init__(self, core: Core) -> None:
        """Register the messages; nothing runs yet."""
        self._core = core
        self._clock = core.clock
        self._ledger = core.get(LEDGER)
        self._peers = core.get(PEERS)
        self._homes = Homes(self._ledger)
        self._tasks = HomeTasks(core, self._homes, self._ledger, self._peers)
        self._borrowers: dict[str, Borrower] = {}
        self._shares: dict[str, StaticShare] = {}
        self._numbers = count(1)
        self._readings: set[asyncio.Task[str | None]] = set()
        self._peers.register(messages.NUMBER_TOKEN_ASK, ttypes.TokenAsk, self._async_on_ask)
        self._peers.register(messages.NUMBER_TOKEN_GRANT, ttypes.TokenGrant, None)

    async def async_start(self) -> None:
        """Begin to be home for the owned partitions."""
        self._tasks.start()

    async def async_close(self) -> None:
        """Stop asking; refuses all that wait."""
        await self._tasks.async_close()
        for reading in tuple(self._readings):
            reading.cancel()
        for borrower in self._borrowers.values():
            if borrower.task is not None:
                borrower.task.cancel()
            borrower.refuse_waiters(UNREACHABLE_RETRY_MS)

    async def async_admit(
        self, customer: Customer, deadline_at: Millis | None = None
    ) -> Result[None, LimitExceeded]:
        """Take one token, asking the customer's home VM for more if need be."""
        now = self._clock.now()
        if self._spend_static(customer, now):
            return Ok(None)
        answer = self._homes.spend(customer, now)
        if answer is not None:
            return Ok(None) if answer.granted else self._refuse(answer.retry_after_ms)
        borrower = self._borrowers.setdefault(customer.name, Borrower())
        borrower.bucket.note_demand(now)
        if borrower.count_waiting() == 0 and borrower.bucket.take(now):
            return Ok(None)
        if now < borrower.denied_until:
            return self._refuse(borrower.denied_until - now)
        return await self._async_wait(customer.name, borrower, deadline_at)

    def _spend_static(self, customer: Customer, now: Millis) -> bool:
        share = self._shares.setdefault(customer.name, StaticShare())
        return share.spend(customer, self._find_slot(), now)

    def _find_slot(self) -> int:
        membership = self._core.find(MEMBERSHIP)
        if membership is not None:
            return membership.find_slot()
        members = self._core.blackboard.read(MEMBERS)
        own = members.by_session.get(members.own_session_id)
        return own.slot if own else -1

    def _refuse(self, retry_after_ms: int) -> Result[None, LimitExceeded]:
        return Err(LimitExceeded("rate and burst are spent", max(1, retry_after_ms)))

    async def _async_wait(
        self, name: str, borrower: Borrower, deadline_at: Millis | None
    ) -> Result[None, LimitExceeded]:
        waiter = borrower.add_waiter()
        if borrower.task is None or borrower.task.done():
            borrower.task = asyncio.create_task(self._async_borrow(name, borrower))
        await self._async_wait_for(waiter, ADMIT_WAIT_MS, deadline_at)
        if not waiter.future.done() and self._may_answer(name, borrower):
            await self._async_wait_for(waiter, HOME_WAIT_MS - ADMIT_WAIT_MS, deadline_at)
        if waiter.future.cancel():
            return self._refuse(UNREACHABLE_RETRY_MS)
        retry_after_ms = waiter.future.result()
        return Ok(None) if retry_after_ms == 0 else self._refuse(retry_after_ms)

    async def _async_wait_for(
        self, waiter: Waiter, longest_ms: int, deadline_at: Millis | None
    ) -> None:
        if deadline_at is not None:
            longest_ms = max(0, min(longest_ms, deadline_at - self._clock.now()))
        await asyncio.wait({waiter.future}, timeout=longest_ms / MS_PER_SECOND)

    def _may_answer(self, name: str, borrower: Borrower) -> bool:
        """Return whether a request should wait on for the home."""
        # A home changes its VM within a second or so. Refused meanwhile, every customer of the
        # partition would see a planned stop of a VM that isn't theirs.
        if borrower.home_moving:
            return True
        # One late answer says nothing: a busy VM isn't a lost one. Held at a lost one, though,
        # every request would learn late that it has to come back.
        return borrower.silent_home is None or borrower.silent_home != self._find_owner(name)

    def _find_owner(self, name: str) -> str | None:
        return self._ledger.find_owner(find_customer_index(self._ledger, name))

    async def _async_borrow(self, name: str, borrower: Borrower) -> None:
        """Ask while requests wait; then report until the home knows all."""
        while True:
            now = self._clock.now()
            waiting = borrower.count_waiting()
            if waiting and self._serve_at_home(name, borrower, now):
                continue
            if not waiting and not borrower.bucket.has_news(now):
                return
            pause = borrower.asked_at + borrower.get_interval() - now
            if pause > 0:
                await self._clock.async_sleep(min(pause, ASK_INTERVAL_MS))
                continue
            await self._async_ask(name, borrower)

    def _serve_at_home(self, name: str, borrower: Borrower, now: Millis) -> bool:
        """Serve those who wait if this VM has become the home; returns whether it has."""
        customer = self._core.blackboard.read(CONFIGURATION).customers.get(name)
        if customer is None:
            return False
        while borrower.count_waiting():
            answer = self._homes.spend(customer, now)
            if answer is None:
                return False
            if not answer.granted:
                borrower.refuse_waiters(answer.retry_after_ms)
                break
            borrower.waiters.popleft().future.set_result(0)
        return True

    async def _async_ask(self, name: str, borrower: Borrower) -> None:
        now = borrower.asked_at = self._clock.now()
        number = next(self._numbers)
        asked = borrower.count_waiting()
        want = borrower.bucket.get_want(asked, now)
        reports = messages.encode_reports(borrower.bucket.ask(number, now))
        owner = self._find_owner(name)
        answer = await self._async_ask_owner(owner, ttypes.TokenAsk(name, number, want, reports))
        now = self._clock.now()
        borrower.silent_home = owner if isinstance(answer, Err) else None
        grant = answer.ok_value if isinstance(answer, Ok) else None
        borrower.note_home(found=grant is None or grant.home)
        if grant is None or not grant.home:
            borrower.bucket.give_up(number)
            self._find_home_again(name, borrower, now)
            if grant is None:
                # Another home may have taken over meanwhile: the next ask goes there.
                if owner == self._find_owner(name):
                    borrower.refuse_waiters(UNREACHABLE_RETRY_MS)
            elif grant.owner:
                self._ledger.record_owner(find_customer_index(self._ledger, name), grant.owner)
            return
        borrower.bucket.accept(number, grant.granted, now)
        borrower.serve_waiters(now)
        if grant.granted < asked:
            borrower.refuse_waiters(grant.retry_after_ms)
            borrower.denied_until = Millis(now + min(grant.retry_after_ms, ASK_INTERVAL_MS))

    def _find_home_again(self, name: str, borrower: Borrower, now: Millis) -> None:
        # A VM may believe in an old home for long, and would refuse all of the customer's requests:
        # the head row knows. Read beside the asks, since the store may be slow.
        if now - borrower.owner_read_at >= OWNER_READ_INTERVAL_MS:
            borrower.owner_read_at = now
            index = find_customer_index(self._ledger, name)
            reading = asyncio.create_task(self._ledger.async_read_owner(index))
            self._readings.add(reading)
            reading.add_done_callback(self._readings.discard)

    async def _async_ask_owner(
        self, owner: str | None, ask: PeerMessage
    ) -> Result[PeerMessage, PeerError]:
        if owner is None or owner == self._core.session_id:
            return Ok(ttypes.TokenGrant(False, 0, UNREACHABLE_RETRY_MS))
        # A lot that came later would have lapsed.
        request = self._peers.async_request(owner, ask, LOT_LIFETIME_MS)
        asking = asyncio.create_task(request)
        silence = AskSilence(self._clock.now())
        try:
            while pause_ms := silence.find_pause(self._clock.now()):
                await asyncio.wait({asking}, timeout=pause_ms / MS_PER_SECOND)
                if asking.done():
                    return asking.result()
            return Err(PeerError(f"no answer from {owner} in {ASK_TIMEOUT_MS} ms"))
        finally:
            asking.cancel()

    async def _async_on_ask(self, sender: str, message: PeerMessage) -> PeerMessage:
        customer = self._core.blackboard.read(CONFIGURATION).customers.get(message.customer)
        answer: HomeAnswer | None = None
        if customer is not None:
            reports = messages.decode_reports(message)
            now = self._clock.now()
            answer = self._homes.lend(customer, sender, message.number, message.want, reports, now)
        if answer is None:
            owner = self._find_owner(message.customer)
            other = owner if owner != self._core.session_id else None
            return ttypes.TokenGrant(False, 0, UNREACHABLE_RETRY_MS, other)
        return ttypes.TokenGrant(True, answer.granted, answer.retry_after_ms)

"""Limits over the whole fleet: static share, own coordinators' buckets and granted tokens."""

import asyncio
from itertools import count

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import CONFIGURATION, Customer
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.limits import messages
from goldcreststair.components.limits.const import (
    ADMIT_WAIT_MS,
    COORDINATOR_WAIT_MS,
    GRANT_LIFETIME_MS,
    OWNER_READ_INTERVAL_MS,
    REQUEST_INTERVAL_MS,
    REQUEST_TIMEOUT_MS,
    UNREACHABLE_RETRY_MS,
)
from goldcreststair.components.limits.coordinator_tasks import CoordinatorTasks
from goldcreststair.components.limits.coordinators import Coordinators, find_customer_index
from goldcreststair.components.limits.models import GrantResult
from goldcreststair.components.limits.protocols import LimitExceeded
from goldcreststair.components.limits.response_timer import ResponseTimer
from goldcreststair.components.limits.static_share import StaticShare
from goldcreststair.components.limits.token_requester import TokenRequester, Waiter
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
        self._coordinators = Coordinators(self._ledger)
        self._tasks = CoordinatorTasks(core, self._coordinators, self._ledger, self._peers)
        self._requesters: dict[str, TokenRequester] = {}
        self._shares: dict[str, StaticShare] = {}
        self._request_numbers = count(1)
        self._owner_reads: set[asyncio.Task[str | None]] = set()
        self._peers.register(
            messages.NUMBER_TOKEN_ASK, ttypes.TokenAsk, self._async_on_token_request
        )
        self._peers.register(messages.NUMBER_TOKEN_GRANT, ttypes.TokenGrant, None)

    async def async_start(self) -> None:
        """Begin to coordinate the customers of the owned partitions."""
        self._tasks.start()

    async def async_close(self) -> None:
        """Stop all tasks and refuse all waiting requests."""
        await self._tasks.async_close()
        for read_task in tuple(self._owner_reads):
            read_task.cancel()
        for requester in self._requesters.values():
            if requester.task is not None:
                requester.task.cancel()
            requester.refuse_waiters(UNREACHABLE_RETRY_MS)

    async def async_admit(
        self, customer: Customer, deadline_at: Millis | None = None
    ) -> Result[None, LimitExceeded]:
        """Spend one token, requesting more from the customer's coordinator if needed."""
        now = self._clock.now()
        if self._spend_static(customer, now):
            return Ok(None)
        answer = self._coordinators.spend(customer, now)
        if answer is not None:
            return Ok(None) if answer.granted else self._refuse(answer.retry_after_ms)
        requester = self._requesters.setdefault(customer.name, TokenRequester())
        requester.tokens.record_demand(now)
        if requester.count_waiting() == 0 and requester.tokens.spend(now):
            return Ok(None)
        if now < requester.denied_until:
            return self._refuse(requester.denied_until - now)
        return await self._async_wait(customer.name, requester, deadline_at)

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
        self, name: str, requester: TokenRequester, deadline_at: Millis | None
    ) -> Result[None, LimitExceeded]:
        waiter = requester.add_waiter()
        if requester.task is None or requester.task.done():
            requester.task = asyncio.create_task(self._async_request_tokens(name, requester))
        await self._async_wait_for(waiter, ADMIT_WAIT_MS, deadline_at)
        if not waiter.future.done() and self._is_response_expected(name, requester):
            await self._async_wait_for(waiter, COORDINATOR_WAIT_MS - ADMIT_WAIT_MS, deadline_at)
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

    def _is_response_expected(self, name: str, requester: TokenRequester) -> bool:
        """Return whether a request should go on waiting for the coordinator."""
        # A coordinator moves to another VM within about a second. If requests were refused
        # meanwhile, a planned stop of one VM would affect every customer of its partitions.
        if requester.coordinator_moving:
            return True
        # One late answer is not conclusive: the VM may be busy. Waiting for a lost VM, however,
        # would delay every refusal, with which callers learn that they have to retry.
        return (
            requester.unresponsive_session is None
            or requester.unresponsive_session != self._find_owner(name)
        )

    def _find_owner(self, name: str) -> str | None:
        return self._ledger.find_owner(find_customer_index(self._ledger, name))

    async def _async_request_tokens(self, name: str, requester: TokenRequester) -> None:
        """Request tokens while requests wait; then report until no grant is left to report."""
        while True:
            now = self._clock.now()
            waiting = requester.count_waiting()
            if waiting and self._serve_as_coordinator(name, requester, now):
                continue
            if not waiting and not requester.tokens.has_grants_to_report(now):
                return
            pause = requester.requested_at + requester.get_interval() - now
            if pause > 0:
                await self._clock.async_sleep(min(pause, REQUEST_INTERVAL_MS))
                continue
            await self._async_request_grant(name, requester)

    def _serve_as_coordinator(self, name: str, requester: TokenRequester, now: Millis) -> bool:
        """Serve waiting requests if this VM has become the coordinator; returns whether it has."""
        customer = self._core.blackboard.read(CONFIGURATION).customers.get(name)
        if customer is None:
            return False
        while requester.count_waiting():
            answer = self._coordinators.spend(customer, now)
            if answer is None:
                return False
            if not answer.granted:
                requester.refuse_waiters(answer.retry_after_ms)
                break
            requester.waiters.popleft().future.set_result(0)
        return True

    async def _async_request_grant(self, name: str, requester: TokenRequester) -> None:
        now = requester.requested_at = self._clock.now()
        number = next(self._request_numbers)
        waiting_count = requester.count_waiting()
        wanted = requester.tokens.count_wanted(waiting_count, now)
        reports = messages.encode_reports(requester.tokens.begin_request(number, now))
        owner = self._find_owner(name)
        answer = await self._async_request_owner(
            owner, ttypes.TokenAsk(name, number, wanted, reports)
        )
        now = self._clock.now()
        requester.unresponsive_session = owner if isinstance(answer, Err) else None
        grant = answer.ok_value if isinstance(answer, Ok) else None
        requester.record_coordinator(found=grant is None or grant.home)
        if grant is None or not grant.home:
            requester.tokens.give_up(number)
            self._refresh_owner(name, requester, now)
            if grant is None:
                # If another coordinator has taken over meanwhile, the next request goes there.
                if owner == self._find_owner(name):
                    requester.refuse_waiters(UNREACHABLE_RETRY_MS)
            elif grant.owner:
                self._ledger.record_owner(find_customer_index(self._ledger, name), grant.owner)
            return
        requester.tokens.accept(number, grant.granted, now)
        requester.serve_waiters(now)
        if grant.granted < waiting_count:
            requester.refuse_waiters(grant.retry_after_ms)
            requester.denied_until = Millis(now + min(grant.retry_after_ms, REQUEST_INTERVAL_MS))

    def _refresh_owner(self, name: str, requester: TokenRequester, now: Millis) -> None:
        # A VM with an outdated owner would refuse all of the customer's requests; the partition's
        # head row in the store names the current one. It is read in a task, as the store may be
        # slow.
        if now - requester.owner_read_at >= OWNER_READ_INTERVAL_MS:
            requester.owner_read_at = now
            index = find_customer_index(self._ledger, name)
            read_task = asyncio.create_task(self._ledger.async_read_owner(index))
            self._owner_reads.add(read_task)
            read_task.add_done_callback(self._owner_reads.discard)

    async def _async_request_owner(
        self, owner: str | None, message: PeerMessage
    ) -> Result[PeerMessage, PeerError]:
        if owner is None or owner == self._core.session_id:
            return Ok(ttypes.TokenGrant(False, 0, UNREACHABLE_RETRY_MS))
        # A grant that arrived later would have expired.
        request = self._peers.async_request(owner, message, GRANT_LIFETIME_MS)
        asking_task = asyncio.create_task(request)
        timer = ResponseTimer(self._clock.now())
        try:
            while pause_ms := timer.next_wait_ms(self._clock.now()):
                await asyncio.wait({asking_task}, timeout=pause_ms / MS_PER_SECOND)
                if asking_task.done():
                    return asking_task.result()
            return Err(PeerError(f"no answer from {owner} in {REQUEST_TIMEOUT_MS} ms"))
        finally:
            asking_task.cancel()

    async def _async_on_token_request(self, sender: str, message: PeerMessage) -> PeerMessage:
        customer = self._core.blackboard.read(CONFIGURATION).customers.get(message.customer)
        answer: GrantResult | None = None
        if customer is not None:
            reports = messages.decode_reports(message)
            now = self._clock.now()
            answer = self._coordinators.grant_tokens(
                customer, sender, message.number, message.want, reports, now
            )
        if answer is None:
            owner = self._find_owner(message.customer)
            other = owner if owner != self._core.session_id else None
            return ttypes.TokenGrant(False, 0, UNREACHABLE_RETRY_MS, other)
        return ttypes.TokenGrant(True, answer.granted, answer.retry_after_ms)

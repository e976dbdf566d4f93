"""Owner of claims: decides on claim messages and makes the decisions durable."""

import asyncio
from typing import Any

from result import Err

from goldcreststair.components.claims.codec import (
    decode_record,
    encode_record,
    from_wire,
    make_record_key,
    to_wire,
)
from goldcreststair.components.claims.const import KEY_TICK, RUNNER_CHECK_MS
from goldcreststair.components.claims.decisions import (
    Decision,
    decide_claim,
    decide_ending,
    decide_wait,
)
from goldcreststair.components.claims.models import AnswerCode, ClaimRecord, ClaimState, Ending
from goldcreststair.components.claims.released_requests import ReleasedRequests
from goldcreststair.components.ledger.protocols import (
    LEDGER,
    Change,
    CommitUnknown,
    LedgerError,
    Partition,
)
from goldcreststair.components.ledger.sessions import SessionTracker
from goldcreststair.core import Core
from goldcreststair.wire.generated.ledger.ttypes import (
    ClaimAnswer,
    ClaimMessage,
    SettleMessage,
    WaitMessage,
)


class ClaimOwner:
    """Answers claim messages for the partitions that this VM owns."""

    def __init__(self, core: Core) -> None:
        """Create the owner side; it follows the members of the fleet until it is closed."""
        self._core = core
        self._ledger = core.get(LEDGER)
        self._sessions = SessionTracker(core)
        self._change_events: dict[str, asyncio.Event] = {}
        self._released = ReleasedRequests(core.clock)

    def close(self) -> None:
        """Stop following the members."""
        self._sessions.close()

    async def async_claim(self, requester: str, message: ClaimMessage) -> ClaimAnswer:
        """Answer a claim: granted, joined to a run, finished or refused."""
        key = make_record_key(message.customer, message.key)
        partition = self._ledger.get_owned(self._ledger.find_index(key))
        if partition is None:
            return self._redirect(key)
        # The requester gave up, and its release arrived before this message, which was delayed in a
        # link that the requester has closed since. If it were granted now, nothing would run, and
        # every resend would join a run that does not end while the requester's session is active.
        if self._released.contains(requester, message.request_id):
            return _make_answer(AnswerCode.UNAVAILABLE, "released by its requester")
        new_record = ClaimRecord(
            message.fingerprint,
            message.request_id,
            message.repeatable,
            requester,
            f"{self._core.random.getrandbits(64):016x}",
            ClaimState.RUNNING,
            read_tick(partition),
        )
        found = _read_record(partition, key)
        decision = decide_claim(found, new_record, self._sessions.is_gone)
        return await self._async_apply(partition, key, decision, message.timeout_ms)

    async def async_end(self, requester: str, message: SettleMessage) -> ClaimAnswer:
        """End a claim: settled, released or abandoned."""
        key = make_record_key(message.customer, message.key)
        partition = self._ledger.get_owned(self._ledger.find_index(key))
        if partition is None:
            return self._redirect(key)
        holder = (requester, message.claim_id, message.request_id)
        outcome = from_wire(message.outcome)
        if message.ending == Ending.RELEASED:
            self._released.add(requester, message.request_id)
        found = _read_record(partition, key)
        decision = decide_ending(found, Ending(message.ending), holder, outcome)
        return await self._async_apply(partition, key, decision, message.timeout_ms)

    async def async_wait(self, _requester: str, message: WaitMessage) -> ClaimAnswer:
        """Wait until a run ends, for at most the message's timeout."""
        key = make_record_key(message.customer, message.key)
        deadline = self._core.clock.now() + message.timeout_ms
        while True:
            partition = self._ledger.get_owned(self._ledger.find_index(key))
            if partition is None:
                return self._redirect(key)
            found = _read_record(partition, key)
            decision = decide_wait(found, message.fingerprint, self._sessions.is_gone)
            remaining_ms = deadline - self._core.clock.now()
            if decision.code is not AnswerCode.WAITING or remaining_ms <= 0:
                return await self._async_apply(partition, key, decision, max(remaining_ms, 1000))
            await self._async_wait_for_change(key, min(remaining_ms, RUNNER_CHECK_MS))

    async def _async_wait_for_change(self, key: str, timeout_ms: int) -> None:
        change_event = self._change_events.setdefault(key, asyncio.Event())
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await change_event.wait()
        except TimeoutError:
            if self._change_events.get(key) is change_event:
                del self._change_events[key]
                change_event.set()

    async def _async_apply(
        self, partition: Partition, key: str, decision: Decision, timeout_ms: int
    ) -> ClaimAnswer:
        record = decision.write or _read_record(partition, key)
        changes: tuple[Change, ...] = ()
        if decision.remove:
            changes = (Change(key, None),)
        elif decision.write is not None:
            changes = (Change(key, encode_record(decision.write)),)
        # A commit without changes waits for the changes staged before it: the record that the
        # decision read may not be durable yet, and no answer may depend on a record that gets lost.
        committed = await partition.async_commit(changes, timeout_ms)
        if isinstance(committed, Err):
            return self._make_commit_error(partition, key, committed.err_value)
        change_event = self._change_events.pop(key, None)
        if change_event is not None:
            change_event.set()
        return _make_answer(decision.code, "", record)

    def _make_commit_error(self, partition: Partition, key: str, error: LedgerError) -> ClaimAnswer:
        if isinstance(error, CommitUnknown):
            return _make_answer(AnswerCode.UNCERTAIN, error.message)
        if self._ledger.get_owned(partition.index) is not partition:
            return self._redirect(key)
        return _make_answer(AnswerCode.UNAVAILABLE, error.message)

    def _redirect(self, key: str) -> ClaimAnswer:
        owner = self._ledger.find_owner(self._ledger.find_index(key)) or ""
        return ClaimAnswer(int(AnswerCode.NOT_OWNER), "not the owner", "", owner)


def read_tick(partition: Partition) -> int:
    """Return the tick by which a partition's claims age."""
    return int(partition.get(KEY_TICK) or b"0")


def _read_record(partition: Partition, key: str) -> ClaimRecord | None:
    content = partition.get(key)
    return decode_record(content) if content is not None else None


def _make_answer(code: AnswerCode, text: str, record: ClaimRecord | None = None) -> Any:
    if record is None:
        return ClaimAnswer(int(code), text, "", "")
    outcome = to_wire(record.outcome) if code is AnswerCode.FINISHED else None
    return ClaimAnswer(int(code), text, record.claim_id, record.runner, outcome)

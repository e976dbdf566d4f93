"""The owner's side: decides on claims and makes the decisions durable."""

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
from goldcreststair.components.claims.released import ReleasedRequests
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


class ClaimKeeper:
    """Answers claim messages for the partitions that this VM owns."""

    def __init__(self, core: Core) -> None:
        """Use the ledger."""
        self._core = core
        self._ledger = core.get(LEDGER)
        self._sessions = SessionTracker(core)
        self._changed: dict[str, asyncio.Event] = {}
        self._released = ReleasedRequests(core.clock)

    def close(self) -> None:
        """Stop following the members."""
        self._sessions.close()

    async def async_claim(self, asker: str, message: ClaimMessage) -> ClaimAnswer:
        """Grant, join or refuse."""
        key = make_record_key(message.customer, message.key)
        partition = self._ledger.get_owned(self._ledger.find_index(key))
        if partition is None:
            return self._refer(key)
        # The asker gave up and its release overtook this message, which had waited in a link that
        # the asker has closed since: granted now, nobody would run it, and every resend would join
        # a run that never ends for as long as the asker's session lives.
        if self._released.contains(asker, message.request_id):
            return _answer(AnswerCode.UNAVAILABLE, "released by its asker")
        wanted = ClaimRecord(
            message.fingerprint,
            message.request_id,
            message.repeatable,
            asker,
            f"{self._core.random.getrandbits(64):016x}",
            ClaimState.RUNNING,
            read_tick(partition),
        )
        found = _find(partition, key)
        decision = decide_claim(found, wanted, self._sessions.is_gone)
        return await self._async_carry_out(partition, key, decision, message.timeout_ms)

    async def async_end(self, asker: str, message: SettleMessage) -> ClaimAnswer:
        """Settle, release or abandon."""
        key = make_record_key(message.customer, message.key)
        partition = self._ledger.get_owned(self._ledger.find_index(key))
        if partition is None:
            return self._refer(key)
        holder = (asker, message.claim_id, message.request_id)
        outcome = from_wire(message.outcome)
        if message.ending == Ending.RELEASED:
            self._released.add(asker, message.request_id)
        found = _find(partition, key)
        decision = decide_ending(found, Ending(message.ending), holder, outcome)
        return await self._async_carry_out(partition, key, decision, message.timeout_ms)

    async def async_wait(self, _asker: str, message: WaitMessage) -> ClaimAnswer:
        """Wait until a run ends, at most the message's time."""
        key = make_record_key(message.customer, message.key)
        until = self._core.clock.now() + message.timeout_ms
        while True:
            partition = self._ledger.get_owned(self._ledger.find_index(key))
            if partition is None:
                return self._refer(key)
            found = _find(partition, key)
            decision = decide_wait(found, message.fingerprint, self._sessions.is_gone)
            left = until - self._core.clock.now()
            if decision.code is not AnswerCode.WAITING or left <= 0:
                return await self._async_carry_out(partition, key, decision, max(left, 1000))
            await self._async_await_change(key, min(left, RUNNER_CHECK_MS))

    async def _async_await_change(self, key: str, timeout_ms: int) -> None:
        changed = self._changed.setdefault(key, asyncio.Event())
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await changed.wait()
        except TimeoutError:
            if self._changed.get(key) is changed:
                del self._changed[key]
                changed.set()

    async def _async_carry_out(
        self, partition: Partition, key: str, decision: Decision, timeout_ms: int
    ) -> ClaimAnswer:
        record = decision.write or _find(partition, key)
        changes: tuple[Change, ...] = ()
        if decision.remove:
            changes = (Change(key, None),)
        elif decision.write is not None:
            changes = (Change(key, encode_record(decision.write)),)
        # Without changes of its own this waits for those staged before: what the decision read may
        # not be durable yet, and an answer that rests on it must not outlive it.
        committed = await partition.async_commit(changes, timeout_ms)
        if isinstance(committed, Err):
            return self._explain(partition, key, committed.err_value)
        changed = self._changed.pop(key, None)
        if changed is not None:
            changed.set()
        return _answer(decision.code, "", record)

    def _explain(self, partition: Partition, key: str, error: LedgerError) -> ClaimAnswer:
        if isinstance(error, CommitUnknown):
            return _answer(AnswerCode.UNCERTAIN, error.message)
        if self._ledger.get_owned(partition.index) is not partition:
            return self._refer(key)
        return _answer(AnswerCode.UNAVAILABLE, error.message)

    def _refer(self, key: str) -> ClaimAnswer:
        owner = self._ledger.find_owner(self._ledger.find_index(key)) or ""
        return ClaimAnswer(int(AnswerCode.NOT_OWNER), "not the owner", "", owner)


def read_tick(partition: Partition) -> int:
    """Return the age counter of a partition's claims."""
    return int(partition.get(KEY_TICK) or b"0")


def _find(partition: Partition, key: str) -> ClaimRecord | None:
    content = partition.get(key)
    return decode_record(content) if content is not None else None


def _answer(code: AnswerCode, text: str, record: ClaimRecord | None = None) -> Any:
    if record is None:
        return ClaimAnswer(int(code), text, "", "")
    outcome = to_wire(record.outcome) if code is AnswerCode.FINISHED else None
    return ClaimAnswer(int(code), text, record.claim_id, record.runner, outcome)

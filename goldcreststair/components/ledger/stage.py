"""Staged commits: visible in the records, but not yet durable."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from goldcreststair.clock import Clock, TimerHandle
from goldcreststair.components.ledger.protocols import (
    Change,
    CommitRefused,
    CommitUnknown,
    LedgerError,
)
from goldcreststair.components.ledger.records import Records, Undo

CommitResult = Result[None, LedgerError]


@dataclass(slots=True, eq=False)
class StagedCommit:
    """The changes of one caller."""

    changes: tuple[Change, ...]
    undo: Undo
    done: asyncio.Future[CommitResult]
    timer: TimerHandle | None = None

    def resolve(self, result: CommitResult) -> None:
        """Set the result for the caller, unless it has one or was cancelled."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.done.done():
            self.done.set_result(result)


class Stage:
    """Staged commits in order; the first `_sent` of them are part of the write in flight."""

    def __init__(self, clock: Clock, records: Records) -> None:
        """Create an empty stage for changes to `records`."""
        self._clock = clock
        self._records = records
        self._commits: list[StagedCommit] = []
        self._sent = 0

    def __len__(self) -> int:
        """Return the number of staged commits."""
        return len(self._commits)

    def add(self, changes: Sequence[Change], timeout_ms: int) -> asyncio.Future[CommitResult]:
        """Apply changes to the records and return the future of their result."""
        done: asyncio.Future[CommitResult] = asyncio.get_running_loop().create_future()
        commit = StagedCommit(tuple(changes), self._records.apply(changes), done)
        commit.timer = self._clock.call_later(timeout_ms, lambda: self._expire(commit))
        self._commits.append(commit)
        return done

    def start_group(self, max_bytes: int, estimate_bytes: Callable[[Change], int]) -> list[Change]:
        """Mark about `max_bytes` of the next commits as sent and return their changes."""
        size = self._sent = 0
        for commit in self._commits:
            if size >= max_bytes:
                break
            size += sum(map(estimate_bytes, commit.changes))
            self._sent += 1
        return [change for commit in self._commits[: self._sent] for change in commit.changes]

    def is_all_sent(self) -> bool:
        """Return whether every staged commit belongs to the group in flight."""
        return self._sent == len(self._commits)

    def reset_group(self) -> None:
        """Mark the group as not sent, after a write that had no effect."""
        self._sent = 0

    def resolve_group(self, result: CommitResult) -> None:
        """Set the result for the callers of the group in flight."""
        group = self._commits[: self._sent]
        self._commits = self._commits[self._sent :]
        self._sent = 0
        for commit in group:
            commit.resolve(result)

    def refuse_unsent(self, reason: str) -> None:
        """Roll back and refuse everything that was not sent."""
        self._roll_back(self._sent, reason)

    def _expire(self, commit: StagedCommit) -> None:
        if commit not in self._commits:
            return
        position = self._commits.index(commit)
        if position < self._sent:
            commit.resolve(Err(CommitUnknown("the write was still in flight at the timeout")))
        else:
            self._roll_back(position, "the store did not accept the change in time")

    def _roll_back(self, position: int, reason: str) -> None:
        # Later commits were staged on top of this one, and their callers may have based decisions
        # on its values, so all of them are refused as well. They are undone latest first, so that
        # each undo is applied to the records that it was made for.
        refused = self._commits[position:]
        del self._commits[position:]
        for commit in reversed(refused):
            self._records.apply(commit.undo)
        for commit in refused:
            commit.resolve(Err(CommitRefused(reason)))


OK_RESULT: CommitResult = Ok(None)

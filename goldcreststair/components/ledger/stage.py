"""Commits that are staged: visible in the records, not yet durable."""

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
    """One caller's changes."""

    changes: tuple[Change, ...]
    undo: Undo
    done: asyncio.Future[CommitResult]
    timer: TimerHandle | None = None

    def resolve(self, result: CommitResult) -> None:
        """Tell the caller, unless it was told or is gone."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.done.done():
            self.done.set_result(result)


class Stage:
    """Staged commits in order; the first `sent` of them are in the write under way."""

    def __init__(self, clock: Clock, records: Records) -> None:
        """Start empty."""
        self._clock = clock
        self._records = records
        self._commits: list[StagedCommit] = []
        self._sent = 0

    def __len__(self) -> int:
        """Return the number of staged commits."""
        return len(self._commits)

    def add(self, changes: Sequence[Change], timeout_ms: int) -> asyncio.Future[CommitResult]:
        """Apply changes to the records and return what will tell how they ended."""
        done: asyncio.Future[CommitResult] = asyncio.get_running_loop().create_future()
        commit = StagedCommit(tuple(changes), self._records.apply(changes), done)
        commit.timer = self._clock.call_later(timeout_ms, lambda: self._expire(commit))
        self._commits.append(commit)
        return done

    def take_group(self, max_bytes: int, weigh: Callable[[Change], int]) -> list[Change]:
        """Mark the next commits as sent, about `max_bytes` of them, and return their changes."""
        size = 0
        for commit in self._commits:
            if size >= max_bytes:
                break
            size += sum(map(weigh, commit.changes))
            self._sent += 1
        return [change for commit in self._commits[: self._sent] for change in commit.changes]

    def is_all_sent(self) -> bool:
        """Return whether nothing is staged beside the group under way."""
        return self._sent == len(self._commits)

    def return_group(self) -> None:
        """Mark the group as not sent, as its write certainly had no effect."""
        self._sent = 0

    def settle_group(self, result: CommitResult) -> None:
        """Tell the callers of the group under way."""
        group = self._commits[: self._sent]
        self._commits = self._commits[self._sent :]
        self._sent = 0
        for commit in group:
            commit.resolve(result)

    def refuse_all(self, reason: str) -> None:
        """Take back everything that was not sent."""
        self._take_back(self._sent, reason)

    def _expire(self, commit: StagedCommit) -> None:
        if commit not in self._commits:
            return
        position = self._commits.index(commit)
        if position < self._sent:
            commit.resolve(Err(CommitUnknown("the write was still under way at the timeout")))
        else:
            self._take_back(position, "the store did not take it in time")

    def _take_back(self, position: int, reason: str) -> None:
        # Later commits were staged over this one and their callers may have decided on what they
        # read from it, so all of them are refused with it, the latest first: each undo then meets
        # exactly the records that it was made for.
        refused = self._commits[position:]
        del self._commits[position:]
        for commit in reversed(refused):
            self._records.apply(commit.undo)
        for commit in refused:
            commit.resolve(Err(CommitRefused(reason)))


OK_RESULT: CommitResult = Ok(None)

"""A wait that other code may end early without cancelling the task that waits."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

T = TypeVar("T")


class AbortableWait:
    """Runs one awaitable at a time in the current task, until it completes or `abort` is called."""

    def __init__(self) -> None:
        """Start without a wait."""
        self._task: asyncio.Task[object] | None = None
        self._aborted = False

    def abort(self) -> None:
        """End the current wait; does nothing if there is none."""
        if self._task is not None and not self._aborted:
            self._aborted = True
            self._task.cancel()

    async def async_run(self, awaitable: Awaitable[T]) -> T | None:
        """Return the result of an awaitable, or None if it was aborted; it is cancelled then."""
        self._task, self._aborted = asyncio.current_task(), False
        try:
            return await awaitable
        except asyncio.CancelledError:
            # Another reason to cancel the task still counts.
            if self._task is None or not self._aborted or self._task.uncancel() > 0:
                raise
            return None
        finally:
            self._task = None

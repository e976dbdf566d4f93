"""Deletes superseded objects after a grace period."""

import asyncio
from collections.abc import Iterable

from result import Ok

from goldcreststair.components.ledger.const import GARBAGE_GRACE_MS
from goldcreststair.core import Core


class Garbage:
    """Objects that the head row of one partition no longer uses.

    Their names stay in the head row until they are deleted, so that the next owner deletes them if
    this one is killed before.
    """

    def __init__(self, core: Core, names: Iterable[str]) -> None:
        """Schedule the deletion of the objects that the head row lists as garbage."""
        self._core = core
        self._names: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.add(names)

    def list_undeleted(self) -> tuple[str, ...]:
        """Return the names of objects that are not known to be deleted."""
        return tuple(self._names)

    def add(self, names: Iterable[str]) -> None:
        """Schedule objects for deletion after the grace period; known names are ignored."""
        fresh = [name for name in names if name not in self._names]
        if not fresh:
            return
        self._names += fresh
        task = asyncio.ensure_future(self._async_delete(fresh))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the deletions; the next owner finds the remaining names in the head row."""
        for task in self._tasks:
            task.cancel()

    async def _async_delete(self, names: list[str]) -> None:
        # A VM that read the head row before the compaction may still be loading these objects. The
        # grace period is much longer than a load. A VM that is paused for longer gets
        # `ObjectMissing`, reads the head row again and finds a newer epoch.
        await self._core.clock.async_sleep(GARBAGE_GRACE_MS)
        for name in names:
            if isinstance(await self._core.platform.objects.async_delete(name), Ok):
                self._names.remove(name)

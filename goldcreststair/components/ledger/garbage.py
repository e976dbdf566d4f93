"""Deletes superseded objects after a grace time."""

import asyncio
from collections.abc import Iterable

from result import Ok

from goldcreststair.components.ledger.const import GARBAGE_GRACE_MS
from goldcreststair.core import Core


class Garbage:
    """Objects that the head row of one partition no longer uses.

    Their names stay in the head row until they are deleted, so that an owner that is killed before
    leaves no object behind for ever: the next one goes on.
    """

    def __init__(self, core: Core, names: Iterable[str]) -> None:
        """Begin with the names in the head row."""
        self._core = core
        self._names: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.add(names)

    def list_kept(self) -> tuple[str, ...]:
        """Return the names not known to be deleted."""
        return tuple(self._names)

    def add(self, names: Iterable[str]) -> None:
        """Delete objects after the grace time; known names are left alone."""
        fresh = [name for name in names if name not in self._names]
        if not fresh:
            return
        self._names += fresh
        task = asyncio.ensure_future(self._async_delete(fresh))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Leave the rest to the next owner, which finds the names in the head row."""
        for task in self._tasks:
            task.cancel()

    async def _async_delete(self, names: list[str]) -> None:
        # A loader that read the head row before the compaction may still read these objects; the
        # grace time is far above a load. One that is paused for longer meets `ObjectMissing`,
        # reads the head row again and finds the newer epoch.
        await self._core.clock.async_sleep(GARBAGE_GRACE_MS)
        for name in names:
            if isinstance(await self._core.platform.objects.async_delete(name), Ok):
                self._names.remove(name)

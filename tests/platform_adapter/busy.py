"""Processes that use up processor time beside a test."""

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator


async def async_start_busy(count: int) -> list[asyncio.subprocess.Process]:
    """Start processes that each use one processor; the caller kills them."""
    return [
        await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        for _ in range(count)
    ]


@contextlib.asynccontextmanager
async def async_keep_busy(count: int) -> AsyncIterator[None]:
    """Run such processes meanwhile."""
    processes = await async_start_busy(count)
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            await process.wait()

"""Waits for conditions that other tasks or processes make true."""

import asyncio
from collections.abc import Callable


async def async_wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; raises `TimeoutError` after 10 s."""
    for _ in range(1_000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise TimeoutError("condition does not hold")

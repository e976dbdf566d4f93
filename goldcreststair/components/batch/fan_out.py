"""Runs a call for many keys, a bounded number at a time."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

from goldcreststair.components.batch.const import FAN_OUT

K = TypeVar("K")
V = TypeVar("V")


async def async_map(call: Callable[[K], Awaitable[V]], keys: Iterable[K]) -> list[V]:
    """Return the answers in the order of the keys."""
    gate = asyncio.Semaphore(FAN_OUT)

    async def async_one(key: K) -> V:
        async with gate:
            return await call(key)

    return list(await asyncio.gather(*(async_one(key) for key in keys)))

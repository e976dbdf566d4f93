"""Turns of clients whose bytes cost much time for their number."""

import asyncio
from collections import deque
from dataclasses import dataclass

from goldcreststair.client_limits.models import Holding


@dataclass(frozen=True, slots=True, eq=False)
class Waiter:
    """A client that waits for its turn."""

    holding: Holding
    turns: int
    """Turns that it has had."""
    granted: "asyncio.Future[None]"


class Turns:
    """Grants one turn in each step of the event loop, so that other clients are served between them."""

    def __init__(self) -> None:
        """Start without waiting clients."""
        self._waiting: deque[Waiter] = deque()
        self._is_scheduled = False

    def count_waiting(self) -> int:
        """Return the number of clients that wait."""
        return len(self._waiting)

    def find_heaviest(self) -> Waiter:
        """Return the waiting client with the most turns; raises `ValueError` if none waits."""
        return max(self._waiting, key=lambda each: each.turns)

    async def async_wait(self, holding: Holding, turns: int) -> None:
        """Return when it is the client's turn, or once it has been removed."""
        granted = asyncio.get_running_loop().create_future()
        self._waiting.append(Waiter(holding, turns, granted))
        self._schedule()
        await granted

    def remove(self, holding: Holding) -> None:
        """Let a client whose connection is closed wait no longer."""
        for waiter in [each for each in self._waiting if each.holding is holding]:
            self._waiting.remove(waiter)
            _resolve(waiter)

    def _schedule(self) -> None:
        if not self._is_scheduled and self._waiting:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._grant)

    def _grant(self) -> None:
        self._is_scheduled = False
        if self._waiting:
            _resolve(self._waiting.popleft())
        self._schedule()


def _resolve(waiter: Waiter) -> None:
    if not waiter.granted.done():
        waiter.granted.set_result(None)

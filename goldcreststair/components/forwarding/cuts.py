"""Causes for which this daemon ends a request without a complete answer."""

import asyncio
from enum import StrEnum


class CutCause(StrEnum):
    """Reason for which the task of a request is cancelled; passed as the message of the cancellation."""

    CALLER = "caller disconnected"
    SHUTDOWN = "this VM shuts down"
    SLOW_READER = "slow reader"
    UNKNOWN = "cancelled"


def read_cause(error: asyncio.CancelledError) -> CutCause:
    """Return the reason of a cancellation.

    >>> read_cause(asyncio.CancelledError(CutCause.SHUTDOWN)).value
    'this VM shuts down'
    >>> read_cause(asyncio.CancelledError()).value
    'cancelled'
    """
    cause = error.args[0] if error.args else None
    return cause if isinstance(cause, CutCause) else CutCause.UNKNOWN

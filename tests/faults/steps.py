"""Steps of the paths: the effects of a daemon at which a fault is applied."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from goldcreststair.wire.codec import decode_struct
from goldcreststair.wire.generated.peers.ttypes import Envelope
from standins.gate import Effect

Matches = Callable[[Effect], bool]


@dataclass(frozen=True, slots=True)
class Step:
    """The n-th matching effect, counted from the start of the path's work."""

    name: str
    matches: Matches
    nth: int = 1


def match_call(name: str, *, done: bool = False) -> Matches:
    """Match a call by its name, before or after its effect."""
    return lambda effect: effect.name == name and effect.done == done


def match_write(marker: bytes, *, done: bool = False) -> Matches:
    """Match a write of rows whose key or value contains a text."""

    def matches(effect: Effect) -> bool:
        if effect.name != "async_write" or effect.done != done:
            return False
        return any(
            marker in (write.value or b"") or marker in write.key.encode()
            for write in effect.arguments[0]
        )

    return matches


def match_put(part: str, *, done: bool = False) -> Matches:
    """Match the write of an object by a part of its name."""

    def matches(effect: Effect) -> bool:
        return (
            effect.name == "async_put" and effect.done == done and part in str(effect.arguments[0])
        )

    return matches


def match_frame(number: int) -> Matches:
    """Match a message to another VM by its number."""

    def matches(effect: Effect) -> bool:
        if effect.name != "frame":
            return False
        envelope: Any = decode_struct(Envelope, effect.arguments[0]).unwrap()
        return bool(envelope.number == number)

    return matches

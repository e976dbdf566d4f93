"""Online load of each member, passed on newest first within a bound."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from goldcreststair.components.membership.const import MAX_LOAD_ENTRIES
from goldcreststair.components.membership.models import Member, MemberLoads


@dataclass(frozen=True, slots=True)
class Load:
    """Requests in flight at the member that holds a slot; a higher round is newer."""

    slot: int
    in_flight: int
    round: int


class LoadTable:
    """Loads by slot; a slot number is shorter on the wire than a session id."""

    def __init__(self) -> None:
        """Start empty."""
        self._by_slot: dict[int, Load] = {}
        self._sessions: dict[int, str] = {}
        self._news: dict[int, None] = {}

    def set_members(self, members: Mapping[str, Member]) -> None:
        """Follow who holds which slot; loads of former holders are dropped."""
        sessions = {m.slot: m.session_id for m in members.values() if m.slot >= 0}
        for slot in tuple(self._by_slot):
            # A new holder counts its rounds from 1: an old one's number would hide its loads.
            if sessions.get(slot) != self._sessions.get(slot):
                del self._by_slot[slot]
                self._news.pop(slot, None)
        self._sessions = sessions

    def set_own(self, slot: int, in_flight: int) -> None:
        """Note the own load, if it changed enough to matter."""
        known = self._by_slot.get(slot)
        if slot < 0 or slot not in self._sessions:
            return
        if known is not None and abs(known.in_flight - in_flight) * 4 <= known.in_flight:
            return
        self._take(Load(slot, in_flight, known.round + 1 if known else 1))

    def merge(self, loads: Iterable[Load]) -> None:
        """Take loads heard from others."""
        for load in loads:
            known = self._by_slot.get(load.slot)
            if load.slot in self._sessions and (known is None or known.round < load.round):
                self._take(load)

    def take_news(self) -> list[Load]:
        """Return the newest loads to pass on, each once to all who gossip is sent to."""
        newest = list(reversed(self._news))[:MAX_LOAD_ENTRIES]
        for slot in newest:
            del self._news[slot]
        return [self._by_slot[slot] for slot in newest]

    def describe(self) -> MemberLoads:
        """Return the loads by session."""
        return MemberLoads({self._sessions[s]: load.in_flight for s, load in self._by_slot.items()})

    def _take(self, load: Load) -> None:
        self._by_slot[load.slot] = load
        self._news.pop(load.slot, None)
        self._news[load.slot] = None

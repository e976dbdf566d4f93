"""Online load of each member, gossiped newest first up to a maximum per message."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from goldcreststair.components.membership.const import MAX_LOAD_ENTRIES
from goldcreststair.components.membership.models import Member, MemberLoads


@dataclass(frozen=True, slots=True)
class Load:
    """Requests in flight at the member that holds `slot`; a higher round is newer."""

    slot: int
    in_flight: int
    round: int


class LoadTable:
    """Loads by slot, as a slot number is shorter on the wire than a session id."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._by_slot: dict[int, Load] = {}
        self._sessions: dict[int, str] = {}
        self._changed: dict[int, None] = {}

    def set_members(self, members: Mapping[str, Member]) -> None:
        """Update the holders of the slots; loads of former holders are dropped."""
        sessions = {m.slot: m.session_id for m in members.values() if m.slot >= 0}
        for slot in tuple(self._by_slot):
            # A new holder counts its rounds from 1, so that a higher round of the former holder
            # would hide its loads.
            if sessions.get(slot) != self._sessions.get(slot):
                del self._by_slot[slot]
                self._changed.pop(slot, None)
        self._sessions = sessions

    def set_own(self, slot: int, in_flight: int) -> None:
        """Record this VM's load if it changed by more than a quarter."""
        known = self._by_slot.get(slot)
        if slot < 0 or slot not in self._sessions:
            return
        if known is not None and abs(known.in_flight - in_flight) * 4 <= known.in_flight:
            return
        self._apply(Load(slot, in_flight, known.round + 1 if known else 1))

    def merge(self, loads: Iterable[Load]) -> None:
        """Apply loads received from other VMs."""
        for load in loads:
            known = self._by_slot.get(load.slot)
            if load.slot in self._sessions and (known is None or known.round < load.round):
                self._apply(load)

    def pop_changed(self) -> list[Load]:
        """Return the newest changed loads; each is returned once, for one round of gossip."""
        newest = list(reversed(self._changed))[:MAX_LOAD_ENTRIES]
        for slot in newest:
            del self._changed[slot]
        return [self._by_slot[slot] for slot in newest]

    def describe(self) -> MemberLoads:
        """Return the loads by session id."""
        return MemberLoads({self._sessions[s]: load.in_flight for s, load in self._by_slot.items()})

    def _apply(self, load: Load) -> None:
        self._by_slot[load.slot] = load
        self._changed.pop(load.slot, None)
        self._changed[load.slot] = None

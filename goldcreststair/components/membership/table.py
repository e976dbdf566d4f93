"""All sessions known to this VM, and the rules by which updates are merged."""

from collections.abc import Iterable
from dataclasses import dataclass

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.membership.const import TOMBSTONE_MS
from goldcreststair.components.membership.models import Member
from goldcreststair.components.membership.ring import hash_text


@dataclass(frozen=True, slots=True)
class Record:
    """The state of one session; `member` is None if it has ended."""

    session_id: str
    version: int
    member: Member | None


class MemberTable:
    """Sessions by id; a session that has ended is never added again."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        self._live: dict[str, Record] = {}
        self._gone: dict[str, Millis] = {}
        self.digest = 0
        """Digest of all live sessions and their versions."""

    @property
    def live(self) -> dict[str, Member]:
        """Return the live members by session id."""
        return {key: record.member for key, record in self._live.items() if record.member}

    def merge(self, record: Record) -> bool:
        """Apply a record of one session; returns whether it changed anything."""
        known = self._live.get(record.session_id)
        if record.session_id in self._gone:
            return False
        if record.member is None:
            self._gone[record.session_id] = self._clock.now()
            self._replace(known, None)
            self._prune()
            return True
        if known is not None and known.version >= record.version:
            return False
        self._replace(known, record)
        return True

    def is_gone(self, session_id: str) -> bool:
        """Return whether a session is known to have ended."""
        return session_id in self._gone

    def list_records(self) -> list[Record]:
        """Return all known records, those of ended sessions included."""
        gone = [Record(session_id, 0, None) for session_id in self._gone]
        return [*self._live.values(), *gone]

    def find_missing(self, records: Iterable[Record]) -> list[Record]:
        """Return the known records that are missing or older in `records`."""
        theirs = {record.session_id: record for record in records}
        return [mine for mine in self.list_records() if _is_newer(mine, theirs)]

    def _replace(self, known: Record | None, record: Record | None) -> None:
        for changed in (known, record):
            if changed is not None:
                self.digest ^= hash_text(f"{changed.session_id}:{changed.version}")
        if known is not None:
            del self._live[known.session_id]
        if record is not None:
            self._live[record.session_id] = record

    def _prune(self) -> None:
        # A VM that was cut off for longer than this may add an ended session again. The watchers of
        # the session then find no row and end it again.
        horizon = self._clock.now() - TOMBSTONE_MS
        self._gone = {key: at for key, at in self._gone.items() if at >= horizon}


def _is_newer(mine: Record, theirs: dict[str, Record]) -> bool:
    other = theirs.get(mine.session_id)
    if other is None:
        return True
    if mine.member is None:
        return other.member is not None
    return other.member is not None and other.version < mine.version

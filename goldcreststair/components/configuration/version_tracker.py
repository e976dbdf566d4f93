"""Chooses the source of a newer version; no I/O."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class VersionTracker:
    """Version in force on this VM, and peers that report a newer one.

    >>> tracker = VersionTracker(in_force=3)
    >>> tracker.record_offer(2, "a"), tracker.choose_source()
    (None, None)
    >>> tracker.record_offer(4, "a")
    >>> tracker.choose_source(), tracker.choose_source(), tracker.choose_source()
    ('a', '', 'a')
    """

    in_force: int = 0
    _offers: dict[str, int] = field(default_factory=dict)
    _tried: set[str] = field(default_factory=set)

    def record_offer(self, version: int, session_id: str) -> None:
        """Record the version that a peer reports, if it is newer than the one in force."""
        if version > self.in_force:
            self._offers[session_id] = version

    def is_newer(self, version: int) -> bool:
        """Return whether a version is newer than the one in force, which it then may replace."""
        return version > self.in_force

    def advance(self, version: int) -> None:
        """Set the version that is in force now; only reports of newer ones are kept."""
        self.in_force = max(self.in_force, version)
        self._offers = {key: offered for key, offered in self._offers.items() if offered > version}
        self._tried.clear()

    def choose_source(self) -> str | None:
        """Return the next source to try: a session id, "" for the store, None if not behind.

        The peer with the highest version comes first, then the store, then the other peers.
        """
        if not self._offers:
            return None
        order = sorted(self._offers, key=lambda key: (-self._offers[key], key))
        sources = [order[0], "", *order[1:]]
        untried = [source for source in sources if source not in self._tried]
        if not untried:
            self._tried.clear()
            untried = sources
        self._tried.add(untried[0])
        return untried[0]

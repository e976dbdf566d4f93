"""Decides from whom to take a newer version."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Spread:
    """Which version is in force here, and who is said to have a newer one.

    >>> spread = Spread(in_force=3)
    >>> spread.hear(2, "a"), spread.choose()
    (None, None)
    >>> spread.hear(4, "a"), spread.choose(), spread.choose(), spread.choose()
    (None, 'a', '', 'a')
    """

    in_force: int = 0
    _heard: dict[str, int] = field(default_factory=dict)
    _tried: set[str] = field(default_factory=set)

    def hear(self, version: int, session_id: str) -> None:
        """Take what a peer says it has; an older version is no news."""
        if version > self.in_force:
            self._heard[session_id] = version

    def is_newer(self, version: int) -> bool:
        """Return whether a version may replace the one in force: never an older or equal one."""
        return version > self.in_force

    def advance(self, version: int) -> None:
        """Note a version that is in force now."""
        self.in_force = max(self.in_force, version)
        self._heard = {key: heard for key, heard in self._heard.items() if heard > version}
        self._tried.clear()

    def choose(self) -> str | None:
        """Return the next source to try: a session id, "" for the store, None if not behind.

        The peer with the highest version comes first, then the store, then the others.
        """
        if not self._heard:
            return None
        order = sorted(self._heard, key=lambda key: (-self._heard[key], key))
        sources = [order[0], "", *order[1:]]
        untried = [source for source in sources if source not in self._tried]
        if not untried:
            self._tried.clear()
            untried = sources
        self._tried.add(untried[0])
        return untried[0]

"""Decides which reported figures a daemon sends to the others; no I/O.

Designed for 34 daemons that each see an answer of one upstream every few seconds, so that the figures
of others matter most. A figure that the fleet already knows is not sent again by every daemon.
"""

from collections.abc import Callable
from dataclasses import dataclass

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.upstream_pace.const import (
    REPEAT_MS,
    SHARE_INTERVAL_MS,
    SHARED_AGE_MS,
    SHARED_DEVIATION,
    SHARED_PACES,
)
from goldcreststair.components.upstream_pace.models import SharedPace

USUAL_PERCENT = 100


@dataclass(frozen=True, slots=True)
class _Known:
    percent: int
    at: Millis


class PaceSharing:
    """Figures of this daemon's own answers, and those that the fleet already knows."""

    def __init__(self, clock: Clock) -> None:
        """Start without figures."""
        self._clock = clock
        self._own: dict[str, _Known] = {}
        self._sent: dict[str, _Known] = {}
        self._fleet: dict[str, _Known] = {}
        self._sent_at: Millis | None = None

    @property
    def has_figures(self) -> bool:
        """Whether any answer has reported a figure to this daemon."""
        return bool(self._own)

    def record_own(self, upstream: str, percent: int) -> None:
        """Record a figure from an answer to this daemon."""
        self._own[upstream] = _Known(percent, self._clock.now())

    def record_received(self, pace: SharedPace) -> bool:
        """Record a figure from another daemon; returns False if it is this daemon's own.

        Relays pass a daemon's own figures back to it. They seem younger than they are, and would
        replace a newer figure.
        """
        now = self._clock.now()
        self._fleet[pace.upstream] = _Known(pace.percent, Millis(now - pace.age_ms))
        sent = self._sent.get(pace.upstream)
        return sent is None or sent.percent != pace.percent or now - sent.at > SHARED_AGE_MS

    def forget(self, upstream: str) -> None:
        """Drop the figures of an upstream."""
        for figures in (self._own, self._sent, self._fleet):
            figures.pop(upstream, None)

    def take(self, may_send: Callable[[str], bool]) -> list[SharedPace]:
        """Return the figures for the next beacon, those furthest from 100 first."""
        now = self._clock.now()
        if self._sent_at is not None and now - self._sent_at < SHARE_INTERVAL_MS:
            return []
        news = [n for n, own in self._own.items() if self._is_news(n, own, now) and may_send(n)]
        news.sort(key=lambda name: -abs(self._own[name].percent - USUAL_PERCENT))
        shared = [
            SharedPace(name, self._own[name].percent, now - self._own[name].at)
            for name in news[:SHARED_PACES]
        ]
        for pace in shared:
            self._sent[pace.upstream] = _Known(pace.percent, now)
            self._fleet[pace.upstream] = self._own[pace.upstream]
        if shared:
            self._sent_at = now
        return shared

    def _is_news(self, name: str, own: _Known, now: Millis) -> bool:
        if abs(own.percent - USUAL_PERCENT) < SHARED_DEVIATION or now - own.at >= SHARED_AGE_MS:
            return False
        fleet = self._fleet.get(name)
        if fleet is None or now - fleet.at >= REPEAT_MS:
            return fleet is None or own.at > fleet.at
        return own.at > fleet.at and abs(own.percent - fleet.percent) >= SHARED_DEVIATION

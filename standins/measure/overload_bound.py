"""A bound on what any policy can earn from a load: slot time against what is owed in time; no I/O.

It assumes
- that everything to come is known, and no decision, connection or move between engines takes time;
- that work is divisible: it may run on many slots at once, stop and go on elsewhere, and a part of an
  answer earns its part of the worth;
- that a request is in time if its answer ends within the caller's deadline, whenever its first event
  comes;
- that late answers earn their share without any slot time;
- that VMs are never lost, and lost or slow engines lose nothing of what they had begun.
Each of them only helps, so that the bound lies at or above the best policy, by an unknown distance.
"""

import heapq
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import Final

from standins.measure.overload_figures import (
    ITEM_WORTH,
    LATE_ITEM_SHARE,
    LATE_SHARE,
    REQUEST_WORTH,
)
from standins.measure.overload_loads import FaultKind, Job, Record, Request
from standins.measure.overload_play import (
    DEADLINE_MS,
    DUE_MS,
    EVENT_MS,
    FIRST_MS,
    REQUEST_EVENTS,
    SLOWNESS,
)

SLOTS: Final = 8
"""Of each engine."""
REQUEST_MS: Final = FIRST_MS + REQUEST_EVENTS * EVENT_MS
"""Slot time of a request."""
END_MS: Final = 10**9


@dataclass(frozen=True, slots=True)
class Claim:
    """What asks for slot time."""

    from_ms: float
    until_ms: float
    slot_ms: float
    """Slot time that it takes."""
    worth: float
    """What is earned if it gets all of it in time, beyond what it earns late."""
    late_worth: float = 0.0

    @property
    def density(self) -> float:
        """Worth of a ms of slot time."""
        return self.worth / self.slot_ms


@dataclass(frozen=True, slots=True)
class Step:
    """From when on there are so many slots."""

    from_ms: float
    slots: float


def find_bound(record: Record, engines: int) -> float:
    """Return the share of the worth that no policy can exceed."""
    claims = [_claim_request(request) for request in record.requests]
    claims += [claim for job in record.jobs for claim in _claim_items(job)]
    owed = sum(claim.worth + claim.late_worth for claim in claims)
    late = sum(claim.late_worth for claim in claims)
    earned = late + find_most(claims, list_steps(record, engines))
    return min(1.0, earned / max(1.0, owed))


def find_most(claims: Sequence[Claim], steps: Sequence[Step]) -> float:
    """Return the most worth that slot time can earn.

    The slot times that claims can get together form a polymatroid, on which taking claims by density
    is best: each density adds what the slot time of all claims of at least that density allows.
    """
    densities = sorted({claim.density for claim in claims}, reverse=True)
    ordered = sorted(claims, key=lambda claim: claim.from_ms)
    worth = 0.0
    for density, following in pairwise([*densities, 0.0]):
        dense = [claim for claim in ordered if claim.density >= density]
        worth += (density - following) * serve(dense, steps)
    return worth


def serve(claims: Sequence[Claim], steps: Sequence[Step]) -> float:
    """Return the most slot time that claims in the order of their begin can get: earliest due first."""
    moments = sorted({claim.from_ms for claim in claims} | {step.from_ms for step in steps})
    slots, done, next_claim, next_step = 0.0, 0.0, 0, 0
    waiting: list[tuple[float, float]] = []
    for now, until in pairwise([*moments, END_MS]):
        while next_step < len(steps) and steps[next_step].from_ms <= now:
            slots, next_step = steps[next_step].slots, next_step + 1
        while next_claim < len(claims) and claims[next_claim].from_ms <= now:
            claim, next_claim = claims[next_claim], next_claim + 1
            heapq.heappush(waiting, (claim.until_ms, claim.slot_ms))
        done += _serve_until(waiting, now, until, slots)
    return done


def _serve_until(
    waiting: list[tuple[float, float]], now: float, until: float, slots: float
) -> float:
    """Serve what waits for a while with a fixed number of slots; returns the slot time given."""
    done = 0.0
    while waiting and now < until and slots > 0:
        due, left = heapq.heappop(waiting)
        given = max(0.0, min(left, (min(due, until) - now) * slots))
        now, done = now + given / slots, done + given
        if given < left and due > until:
            heapq.heappush(waiting, (due, left - given))
            return done
    return done


def list_steps(record: Record, engines: int) -> list[Step]:
    """Return the slots over time; a slow engine counts by its pace."""
    slots = float(engines * SLOTS)
    changes = {
        FaultKind.ENGINE_LOST: -float(SLOTS),
        FaultKind.ENGINE_SLOW: -SLOTS * (1 - 1 / SLOWNESS),
        FaultKind.ENGINE_QUICK: SLOTS * (1 - 1 / SLOWNESS),
    }
    steps = [Step(0, slots)]
    for fault in record.faults:
        if fault.kind in changes:
            slots += changes[fault.kind]
            steps.append(Step(fault.at_ms, slots))
    return steps


def _claim_request(request: Request) -> Claim:
    late_worth = REQUEST_WORTH * LATE_SHARE
    until_ms, worth = request.at_ms + DEADLINE_MS, REQUEST_WORTH - late_worth
    return Claim(request.at_ms, until_ms, REQUEST_MS, worth, late_worth)


def _claim_items(job: Job) -> Iterator[Claim]:
    late_worth = ITEM_WORTH * LATE_ITEM_SHARE
    for events in job.events:
        slot_ms = FIRST_MS + events * EVENT_MS
        worth = ITEM_WORTH - late_worth
        yield Claim(job.at_ms, job.at_ms + DUE_MS, slot_ms, worth, late_worth)

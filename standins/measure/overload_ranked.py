"""Measures who is served in time when customers of several ranks compete for slots.

Each load is run twice with the same requests, with and without a feature. The credit of a request is 1
if its first event came within the objective, `RETURN_CREDIT` if it was refused at once and its retry
was in time, `LATE_SHARE` if its answer came late, and 0 without an answer.
"""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from typing import Final

from cyclopts import App

from goldcreststair.features import Feature
from standins.measure.overload_figures import LATE_SHARE, Figures, Outcome
from standins.measure.overload_loads import LOADS, Customer, Load, draw_record
from standins.measure.overload_play import OBJECTIVE_MS, measure
from standins.measure.overload_policies import ALL_MECHANISMS
from standins.measure.paired import compare

app = App(help=__doc__)

RETURN_CREDIT: Final = 0.5
AT_ONCE_MS: Final = 50
"""A refusal that takes longer than this did not come at once."""
URGENT: Final = "urgent"
GREEDY: Final = "greedy"
OTHERS: Final = "others"
ALL: Final = "all"
CLASSES: Final = (ALL, URGENT, OTHERS, GREEDY)
CUSTOMERS: Final = (
    *(Customer(f"{URGENT}{number}", 0, 1.0) for number in range(2)),
    *(Customer(f"{OTHERS}{number}", 1, 1.0) for number in range(12)),
    Customer(GREEDY, 1, 7.5),
)
"""Two of the first rank, and one that sends 7.5 times as much as each of the others."""
RANKED_LOADS: Final = (
    *(load for load in LOADS if load.name == "bursts beyond capacity"),
    Load("34 VMs beyond capacity", 120.0, 1.2, engines=20, vms=34, seconds=18),
    Load("80 VMs beyond capacity", 170.0, 1.6, engines=28, vms=80, seconds=12),
)
"""The second and third load have fleet views that are up to 300 ms old."""


@dataclass(slots=True)
class Tally:
    """What became of the requests of one class of customers."""

    requests: int = 0
    in_time: int = 0
    returned: int = 0
    """Refused at once, and in time when they returned."""
    late: int = 0
    refused: int = 0
    """First attempts that were refused."""
    credit: float = 0.0

    @property
    def mean_credit(self) -> float:
        """Credit of one request."""
        return self.credit / max(1, self.requests)


def select_loads(name: str) -> list[Load]:
    """Return the loads whose names contain `name`, with customers of several ranks."""
    return [replace(load, customers=CUSTOMERS) for load in RANKED_LOADS if name in load.name]


def tally(load: Load, seed: int, figures: Figures) -> dict[str, Tally]:
    """Return the tally of each class of customers."""
    attempts: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in figures.outcomes:
        attempts[outcome.request_id.partition(".")[0]].append(outcome)
    tallies = {name: Tally() for name in CLASSES}
    for request in draw_record(load, seed).requests:
        for name in (ALL, request.customer.rstrip("0123456789")):
            _count(tallies[name], sorted(attempts[request.name], key=lambda each: each.asked_at))
    return tallies


def _count(into: Tally, attempts: Sequence[Outcome]) -> None:
    into.requests += 1
    if not attempts:
        return
    first, last = attempts[0], attempts[-1]
    into.refused += first.answer == "overloaded"
    if last.answer != "whole":
        return
    at_once = len(attempts) == 1 or first.ended_at - first.asked_at <= AT_ONCE_MS
    if not at_once or last.event_times[0] - last.asked_at > OBJECTIVE_MS:
        into.late += 1
        into.credit += LATE_SHARE
    elif len(attempts) == 1:
        into.in_time += 1
        into.credit += 1.0
    else:
        into.returned += 1
        into.credit += RETURN_CREDIT


@dataclass(frozen=True, slots=True)
class RankedPlan:
    """One run, so that it can be passed to another process."""

    load: Load
    seed: int
    features: str


def play_plan(plan: RankedPlan) -> tuple[dict[str, Tally], Figures]:
    """Run a plan and return its tallies and figures."""
    figures = measure(plan.load, plan.seed, replace(ALL_MECHANISMS, features=plan.features))
    return tally(plan.load, plan.seed, figures), figures


def format_rows(runs: Sequence[dict[str, Tally]]) -> Iterator[str]:
    """Yield a row for each class with the sums over the seeds."""
    for name in CLASSES:
        rows = [tallies[name] for tallies in runs]
        count = max(1, sum(row.requests for row in rows))
        parts = [
            f"{sum(getattr(row, part) for row in rows) / count:9.1%}"
            for part in ("in_time", "returned", "late", "refused")
        ]
        credit = sum(row.credit for row in rows) / count
        yield f"  {name:8s} {count:6d} {' '.join(parts)} {credit:7.3f}"


@app.default
def main(
    seeds: int = 3,
    load: str = "beyond",
    feature: Feature = Feature.WAITING_QUEUE,
    first_seed: int = 1,
    processes: int = 1,
) -> None:
    """Print what became of the requests of each class of customers, without and with a feature."""
    seed_range = range(first_seed, first_seed + seeds)
    with ProcessPoolExecutor(processes) as pool:
        for candidate in select_loads(load):
            credits, batch = [], []
            for features in ("", feature.value):
                plans = [RankedPlan(candidate, seed, features) for seed in seed_range]
                results = list(pool.map(play_plan, plans))
                print(f"\n{candidate.name}: {features or 'without'}")
                print("  class    requests in time  returned      late   refused  credit")
                print("\n".join(format_rows([tallies for tallies, _ in results])), flush=True)
                credits.append([tallies[ALL].mean_credit for tallies, _ in results])
                batch.append([figures.batch_worth for _, figures in results])
            gain = compare(credits[1], credits[0])
            print(f"  credit gained {gain.mean:+.3f} [{gain.low:+.3f}, {gain.high:+.3f}]")
            change = compare(batch[1], batch[0])
            print(
                f"  batch worth gained {change.mean:+.3f} [{change.low:+.3f}, {change.high:+.3f}]"
            )


if __name__ == "__main__":
    app()

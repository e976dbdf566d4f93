"""Measures how a fleet decides under its worst loads, and what each mechanism is worth there.

Real gateway daemons on virtual time, before engines with slots and a first-come queue. Callers count an
answer as good if its first event comes within 300 ms, have five seconds, and come back once, when they
were told to. Jobs of some ten items are due after 18 s. A policy turns mechanisms off; all policies of a
seed meet the same callers, items and faults.
"""

from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import pygal
from cyclopts import App

from standins.measure.overload_bound import find_bound
from standins.measure.overload_figures import Figures
from standins.measure.overload_loads import LOADS, Load, draw_record
from standins.measure.overload_play import measure
from standins.measure.overload_policies import ALL_MECHANISMS, POLICIES, Policy
from standins.measure.paired import compare

app = App(help=__doc__)


@dataclass(frozen=True, slots=True)
class Plan:
    """One play, by names, so that another process can make it."""

    policy: str
    load: str
    seed: int


def play_plan(plan: Plan) -> Figures:
    """Play what a plan names."""
    load = next(load for load in LOADS if load.name == plan.load)
    policy = next(policy for policy in POLICIES if policy.name == plan.policy)
    return measure(load, plan.seed, policy)


def print_figures(name: str, found: Sequence[Figures], whole: Sequence[Figures]) -> None:
    """Print one row: the means over all seeds, and what the policy loses against all mechanisms."""

    def mean(read: Callable[[Figures], float]) -> float:
        return sum(read(each) for each in found) / len(found)

    print(
        f"{name:41s} {mean(lambda f: f.worth):6.3f} {mean(lambda f: f.online_worth):6.3f} "
        f"{mean(lambda f: f.batch_worth):6.3f} {mean(lambda f: f.wasted):7.1%} "
        f"{mean(lambda f: f.read_first_ms(0.5)):6.0f} {mean(lambda f: f.read_first_ms(0.99)):6.0f}"
        f"  {describe_loss(found, whole) if found is not whole else ''}".rstrip(),
        flush=True,
    )


def describe_loss(found: Sequence[Figures], whole: Sequence[Figures]) -> str:
    """Return how much more worth all mechanisms earned on the same seeds, with its interval."""
    loss = compare([f.worth for f in whole], [f.worth for f in found])
    mark = " *" if loss.is_clear else ""
    return f"{loss.mean:+.3f} [{loss.low:+.3f}, {loss.high:+.3f}]{mark}"


def print_bound(load: Load, seeds: Sequence[int]) -> float:
    """Print the row of the bound; returns it."""
    bounds = [find_bound(draw_record(load, seed), load.engines) for seed in seeds]
    bound = sum(bounds) / len(bounds)
    print(f"{'no policy can exceed':41s} {bound:6.3f}", flush=True)
    return bound


def draw(rows: dict[str, list[float]], loads: Sequence[Load], path: Path) -> None:
    """Write a picture (SVG) of the worth by load, for each policy."""
    chart = pygal.Bar(title="Share of the worth that was earned", x_label_rotation=30)
    chart.x_labels = [load.name for load in loads]
    for name, worths in rows.items():
        chart.add(name, worths)
    path.write_bytes(chart.render())


def print_load(
    load: Load, policies: Sequence[Policy], seeds: Sequence[int], pool: ProcessPoolExecutor
) -> dict[str, float]:
    """Play a load by each policy and print it; returns the mean worths."""
    print(f"\n{load.name}\n{'policy':41s}  worth online  batch  wasted p50 ms p99 ms  loss [95%]")
    plans = [Plan(policy.name, load.name, seed) for policy in policies for seed in seeds]
    played = pool.map(play_plan, plans)
    worths: dict[str, float] = {}
    whole: list[Figures] = []
    for policy in policies:
        found = [next(played) for _ in seeds]
        whole = whole or found
        print_figures(policy.name, found, whole)
        worths[policy.name] = sum(figures.worth for figures in found) / len(found)
    worths["bound"] = print_bound(load, seeds)
    return worths


@app.default
def main(
    seeds: int = 2,
    load: str = "",
    ablation: bool = False,
    first_seed: int = 1,
    processes: int = 1,
    plot: Path | None = None,
) -> None:
    """Print worth by load and policy.

    `--load` keeps loads whose names hold it. `--ablation` also turns off one mechanism after the other
    and plays first come, first served: `loss` is what all mechanisms earned more, in the mean of the
    seeds, with a 95% interval by bootstrap; an asterisk marks those that leave out zero. The last row
    is a bound, see `overload_bound`.
    """
    chosen = [each for each in LOADS if load in each.name]
    policies = POLICIES if ablation else (ALL_MECHANISMS,)
    numbers = range(first_seed, first_seed + seeds)
    rows: dict[str, list[float]] = {}
    with ProcessPoolExecutor(processes) as pool:
        for each in chosen:
            for name, worth in print_load(each, policies, numbers, pool).items():
                rows.setdefault(name, []).append(worth)
    if plot is not None:
        draw(rows, chosen, plot)


if __name__ == "__main__":
    app()

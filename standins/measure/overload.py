"""Measures the worth that a fleet earns under overload, and what each mechanism contributes to it.

Real gateway daemons run in virtual time with simulated engines that have slots and a first-come
queue. Callers count an answer as good if its first event arrives within 300 ms, wait up to five
seconds and retry once, after the delay that a refusal gives. Jobs of about ten items are due after
18 s. A policy turns mechanisms off; with the same seed all policies get the same callers, items and
faults.
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
    """One run, given by names, so that it can be passed to another process."""

    policy: str
    load: str
    seed: int


def play_plan(plan: Plan) -> Figures:
    """Run the load of a plan with its policy and seed."""
    load = next(load for load in LOADS if load.name == plan.load)
    policy = next(policy for policy in POLICIES if policy.name == plan.policy)
    return measure(load, plan.seed, policy)


def print_figures(name: str, runs: Sequence[Figures], baseline: Sequence[Figures]) -> None:
    """Print the means over all seeds and the policy's loss compared with all mechanisms."""

    def mean(read: Callable[[Figures], float]) -> float:
        return sum(read(figures) for figures in runs) / len(runs)

    print(
        f"{name:41s} {mean(lambda f: f.worth):6.3f} {mean(lambda f: f.online_worth):6.3f} "
        f"{mean(lambda f: f.batch_worth):6.3f} {mean(lambda f: f.wasted):7.1%} "
        f"{mean(lambda f: f.read_first_ms(0.5)):6.0f} {mean(lambda f: f.read_first_ms(0.99)):6.0f}"
        f"  {describe_loss(runs, baseline) if runs is not baseline else ''}".rstrip(),
        flush=True,
    )


def describe_loss(runs: Sequence[Figures], baseline: Sequence[Figures]) -> str:
    """Return how much more worth all mechanisms earned on the same seeds, with its 95% interval."""
    loss = compare([f.worth for f in baseline], [f.worth for f in runs])
    mark = " *" if loss.is_clear else ""
    return f"{loss.mean:+.3f} [{loss.low:+.3f}, {loss.high:+.3f}]{mark}"


def print_bound(load: Load, seeds: Sequence[int]) -> float:
    """Print the row of the bound and return its mean over the seeds."""
    bounds = [find_bound(draw_record(load, seed), load.engines) for seed in seeds]
    bound = sum(bounds) / len(bounds)
    print(f"{'no policy can exceed':41s} {bound:6.3f}", flush=True)
    return bound


def draw(rows: dict[str, list[float]], loads: Sequence[Load], path: Path) -> None:
    """Write an SVG bar chart of the worth by load, for each policy."""
    chart = pygal.Bar(title="Share of the worth that was earned", x_label_rotation=30)
    chart.x_labels = [load.name for load in loads]
    for name, worths in rows.items():
        chart.add(name, worths)
    path.write_bytes(chart.render())


def print_load(
    load: Load, policies: Sequence[Policy], seeds: Sequence[int], pool: ProcessPoolExecutor
) -> dict[str, float]:
    """Run a load with each policy and print a row for each; return the mean worths by policy."""
    print(f"\n{load.name}\n{'policy':41s}  worth online  batch  wasted p50 ms p99 ms  loss [95%]")
    plans = [Plan(policy.name, load.name, seed) for policy in policies for seed in seeds]
    results = pool.map(play_plan, plans)
    worths: dict[str, float] = {}
    baseline: list[Figures] = []
    for policy in policies:
        runs = [next(results) for _ in seeds]
        baseline = baseline or runs
        print_figures(policy.name, runs, baseline)
        worths[policy.name] = sum(figures.worth for figures in runs) / len(runs)
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

    `--load` selects the loads whose names contain it. `--ablation` also measures policies with one
    mechanism turned off, and first come, first served. `loss` is how much more worth all mechanisms
    earned, as the mean over the seeds with a 95% bootstrap interval; an asterisk marks intervals
    that exclude zero. The last row is an upper bound, see `overload_bound`.
    """
    selected = [candidate for candidate in LOADS if load in candidate.name]
    policies = POLICIES if ablation else (ALL_MECHANISMS,)
    seed_range = range(first_seed, first_seed + seeds)
    rows: dict[str, list[float]] = {}
    with ProcessPoolExecutor(processes) as pool:
        for candidate in selected:
            for name, worth in print_load(candidate, policies, seed_range, pool).items():
                rows.setdefault(name, []).append(worth)
    if plot is not None:
        draw(rows, selected, plot)


if __name__ == "__main__":
    app()

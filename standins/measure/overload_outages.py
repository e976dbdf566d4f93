"""Compares jobs through outages of the store with the feature `outage-jobs` on and off.

The loads are those of the overload measurement, with an outage while jobs run and arrive.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from operator import attrgetter
from typing import Final

from cyclopts import App

from goldcreststair.features import Feature
from standins.measure.overload_figures import Figures
from standins.measure.overload_loads import PERIOD_MS, Fault, FaultKind, Load
from standins.measure.overload_play import measure
from standins.measure.overload_policies import Policy

app = App(help=__doc__)

OUTAGE_AT_MS: Final = PERIOD_MS + 2_000
OWNERS_LOST_AT_MS: Final = OUTAGE_AT_MS + 7_000
SHORT_MS: Final = 4_500
LONG_MS: Final = 9_000
OFF: Final = Policy("off")
ON: Final = Policy("on", features=Feature.OUTAGE_JOBS.value)


def make_outage(name: str, kind: FaultKind, length_ms: int, numbers: Iterable[int] = (0,)) -> Load:
    """Return a load with an outage of the store; `numbers` are the VMs that it refuses."""
    faults = [Fault(OUTAGE_AT_MS, kind, number) for number in numbers]
    back = Fault(OUTAGE_AT_MS + length_ms, FaultKind.STORE_BACK)
    return Load(name, engines=5, jobs_per_s=0.6, seconds=30, faults=(*faults, back))


def lose_owners(load: Load) -> Load:
    """Return a load in which two VMs are lost late in the outage, with all that they hold."""
    lost = [Fault(OWNERS_LOST_AT_MS, FaultKind.VM_LOST, number) for number in range(2)]
    return replace(load, faults=tuple(sorted((*load.faults, *lost), key=attrgetter("at_ms"))))


OUTAGES: Final = (
    make_outage("refuses all, 4.5 s", FaultKind.STORE_DOWN, SHORT_MS),
    make_outage("refuses all, 9 s", FaultKind.STORE_DOWN, LONG_MS),
    make_outage("silent, 4.5 s", FaultKind.STORE_SILENT, SHORT_MS),
    make_outage("silent, 9 s", FaultKind.STORE_SILENT, LONG_MS),
    make_outage("refuses three of six VMs, 9 s", FaultKind.STORE_CUT, LONG_MS, range(3)),
    lose_owners(make_outage("refuses all, 9 s, two VMs lost", FaultKind.STORE_DOWN, LONG_MS)),
)


@dataclass(frozen=True, slots=True)
class JobFigures:
    """What became of the items of one play."""

    items: int
    """Items that began to run; those of jobs that were not accepted in the outage are left out."""
    in_time: int
    late: int
    runs_cut: int
    """Runs beyond one for each item."""
    repeated: int
    """Events that were computed more than once."""
    online: float
    """Earned share of the worth of all requests."""

    @property
    def cut_per_item(self) -> float:
        """Runs cut short for each item."""
        return self.runs_cut / max(1, self.items)


def read_jobs(figures: Figures) -> JobFigures:
    """Return the figures of a play's jobs."""
    runs = [run for ran in figures.ran.values() for run in ran if run.startswith("job")]
    begun = len({run.split()[0] for run in runs})
    return JobFigures(
        begun,
        figures.items_in_time,
        figures.items_late,
        len(runs) - begun,
        figures.events_repeated,
        figures.online_worth,
    )


@app.default
def run(*, seeds: int = 4, first: int = 1) -> None:
    """Print the figures of each outage, summed over the seeds, with the feature off and on."""
    print(f"{'outage':32s} {'feature':8s} items in time  late cut/item repeated online")
    for load in OUTAGES:
        for policy in (OFF, ON):
            played = [
                read_jobs(measure(load, seed, policy)) for seed in range(first, first + seeds)
            ]
            items = sum(each.items for each in played)
            print(
                f"{load.name:32s} {policy.name:8s} {items:5d} "
                f"{sum(each.in_time for each in played):7d} "
                f"{sum(each.late for each in played):5d} "
                f"{sum(each.runs_cut for each in played) / items:8.2f} "
                f"{sum(each.repeated for each in played):8d} "
                f"{sum(each.online for each in played) / seeds:6.3f}",
                flush=True,
            )


if __name__ == "__main__":
    app()

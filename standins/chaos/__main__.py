"""`python -m standins.chaos --seed N --seconds S`: exit status 1 if an invariant was broken."""

import random
import signal
import sys
import threading
import time
from typing import Final

from cyclopts import App

from standins.chaos.caller import NO_ANSWER, Caller
from standins.chaos.faults import SHORT, Saboteur
from standins.chaos.observations import Observations, read_ms
from standins.chaos.reading import (
    Reader,
    find_broken_bookings,
    find_cut_requests,
    find_excess,
    find_late_keys,
)
from standins.chaos.report import print_report
from standins.chaos.traffic import Body, Traffic
from standins.checking.checker import Limit, Violation, find_violations
from standins.demo.__main__ import wait_ready
from standins.demo.fleet import Fleet, FleetPlan, send_request

app = App(help="A fleet of real processes under a seeded schedule of faults.")

CUSTOMERS: Final = {
    "designers": {"rate_per_s": 60, "burst": 60},
    "fixtures": {"rate_per_s": 60, "burst": 60},
    "surging": {"rate_per_s": 4, "burst": 8},
    "visitors": {"rate_per_s": 20, "burst": 20},
}
PLAN: Final = FleetPlan(daemons=4, engines=4, step_base_ms=4.0, daemon_flags={"drain-ms": "60000"})
LONG_RUN_S: Final = 90
SETTLE_S: Final = 5.0
LOOPS: Final[tuple[tuple[str, Body, float, int], ...]] = (
    ("designers", Traffic.send_online, 0.3, 3),
    ("fixtures", Traffic.send_online, 0.3, 3),
    ("surging", Traffic.send_online, 0.08, 2),
    ("fixtures", Traffic.send_booking, 0.3, 2),
    ("designers", Traffic.submit_job, 4.0, 1),
    ("fixtures", Traffic.send_poison, 12.0, 1),
    ("visitors", Traffic.send_visitor, 0.5, 1),
)
"""Customer, what it sends, its mean pause in seconds, and how many callers do so."""


def run(seed: int, seconds: int) -> tuple[Observations, list[Violation]]:
    """Run one schedule and return what was seen and what was broken."""
    chooser = random.Random(seed)
    seen = Observations()
    with Fleet(PLAN) as fleet:
        assert fleet.patch_configuration(0, fleet.describe_configuration(CUSTOMERS)).status == 200
        for daemon in fleet.daemons:
            wait_ready(daemon.wait_listening())
        factor = 1.0 if seconds >= LONG_RUN_S else SHORT
        saboteur = Saboteur(fleet, seen, chooser, factor)
        for name in fleet.engines:
            saboteur.set_poison(name)
        _run_traffic(saboteur, seen, chooser, seconds)
        usable = saboteur.list_usable()
        for address in usable:
            wait_ready(address)
        violations = _find_all(Reader(fleet, seen, usable), seen)
        # All is read: nothing is learned from another drain.
        for daemon in fleet.daemons:
            daemon.send_signal(signal.SIGKILL)
        return seen, violations


def _run_traffic(
    saboteur: Saboteur, seen: Observations, chooser: random.Random, seconds: int
) -> None:
    traffic = Traffic(seen)
    for customer, body, pause_s, callers in LOOPS:
        for number in range(callers):
            own = random.Random(chooser.getrandbits(32))
            caller = Caller(customer, saboteur.list_usable, seen, own)
            traffic.start(f"{customer}-{number}", caller, body, pause_s)
    stopped = threading.Event()
    watching = threading.Thread(target=_watch_versions, args=(saboteur, seen, stopped), daemon=True)
    watching.start()
    until_ms = read_ms() + seconds * 1000
    lanes = [
        threading.Thread(target=saboteur.run, args=(faults, until_ms), daemon=True)
        for faults in (saboteur.list_vm_faults(), saboteur.list_other_faults())
    ]
    for lane in lanes:
        lane.start()
    time.sleep(seconds)
    saboteur.stop()
    for lane in lanes:
        lane.join(120)
    # An engine that a lane has killed and not yet started again takes no call.
    saboteur.heal()
    time.sleep(SETTLE_S)
    traffic.stop()
    stopped.set()
    watching.join(10)


def _watch_versions(saboteur: Saboteur, seen: Observations, stopped: threading.Event) -> None:
    while not stopped.wait(0.5):
        for address in saboteur.list_usable():
            try:
                answer = send_request(address, "GET", "/health/ready", timeout_s=1.0)
            except NO_ANSWER:
                continue
            version = int(answer.json()["configuration_version"])
            seen.versions.setdefault(address, []).append(version)


def _find_all(reader: Reader, seen: Observations) -> list[Violation]:
    record = reader.build_record()
    limits = {
        name: Limit(float(customer["rate_per_s"]), customer["burst"])
        for name, customer in CUSTOMERS.items()
    }
    return [
        *find_violations(record),
        *find_broken_bookings(record, seen),
        *find_late_keys(seen),
        *find_cut_requests(seen),
        *find_excess(seen, limits),
        *reader.find_lost_patches(),
    ]


@app.default
def main(seed: int = 1, seconds: int = 120) -> None:
    """Run a schedule, print what was seen, and end with status 1 if an invariant was broken."""
    seen, violations = run(seed, seconds)
    print(f"seed {seed}, {seconds} s")
    print_report(seen, violations)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    app()

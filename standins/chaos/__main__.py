"""Chaos run: `python -m standins.chaos --seed N --seconds S`; exit status 1 on a violation."""

import random
import signal
import sys
import threading
import time
from typing import Final

from cyclopts import App

from standins.chaos.caller import NO_ANSWER, Caller
from standins.chaos.faults import SHORT_RUN_FACTOR, FaultInjector
from standins.chaos.observations import Observations, read_ms
from standins.chaos.reading import (
    ResultReader,
    find_broken_bookings,
    find_cut_requests,
    find_excess,
    find_late_key_uses,
)
from standins.chaos.report import print_report
from standins.chaos.traffic import SOFTWARE, SendAction, Traffic
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
PLAN: Final = FleetPlan(
    daemons=4,
    engines=4,
    software=SOFTWARE,
    step_base_ms=4.0,
    daemon_flags={"drain-ms": "60000"},
)
LONG_RUN_S: Final = 90
SETTLE_S: Final = 5.0
CALLER_LOOPS: Final[tuple[tuple[str, SendAction, float, int], ...]] = (
    ("designers", Traffic.send_online, 0.3, 3),
    ("fixtures", Traffic.send_online, 0.3, 3),
    ("surging", Traffic.send_online, 0.08, 2),
    ("fixtures", Traffic.send_booking, 0.3, 2),
    ("designers", Traffic.submit_job, 4.0, 1),
    ("fixtures", Traffic.send_poison, 12.0, 1),
    ("visitors", Traffic.send_visitor, 0.5, 1),
)
"""Customer, what it sends, the mean pause in seconds, and the number of callers."""


def run(seed: int, seconds: int) -> tuple[Observations, list[Violation]]:
    """Run one schedule; returns the observations and the violations found."""
    rng = random.Random(seed)
    observed = Observations()
    with Fleet(PLAN) as fleet:
        assert fleet.patch_configuration(0, fleet.describe_configuration(CUSTOMERS)).status == 200
        for daemon in fleet.daemons:
            wait_ready(daemon.wait_listening())
        factor = 1.0 if seconds >= LONG_RUN_S else SHORT_RUN_FACTOR
        injector = FaultInjector(fleet, observed, rng, factor)
        for name in fleet.engines:
            injector.set_crash_marker(name)
        _run_traffic(injector, observed, rng, seconds)
        available = injector.list_available()
        for address in available:
            wait_ready(address)
        violations = _find_all_violations(ResultReader(fleet, observed, available), observed)
        # Everything has been read, and draining the daemons again would show nothing more.
        for daemon in fleet.daemons:
            daemon.send_signal(signal.SIGKILL)
        return observed, violations


def _run_traffic(
    injector: FaultInjector, observed: Observations, rng: random.Random, seconds: int
) -> None:
    traffic = Traffic(observed)
    for customer, action, pause_s, callers in CALLER_LOOPS:
        for number in range(callers):
            own = random.Random(rng.getrandbits(32))
            caller = Caller(customer, injector.list_available, observed, own)
            traffic.start(f"{customer}-{number}", caller, action, pause_s)
    stopped = threading.Event()
    version_watcher = threading.Thread(
        target=_watch_versions, args=(injector, observed, stopped), daemon=True
    )
    version_watcher.start()
    until_ms = read_ms() + seconds * 1000
    threads = [
        threading.Thread(target=injector.run, args=(faults, until_ms), daemon=True)
        for faults in (injector.list_vm_faults(), injector.list_other_faults())
    ]
    for thread in threads:
        thread.start()
    time.sleep(seconds)
    injector.stop()
    for thread in threads:
        thread.join(120)
    # Only now: an engine that a thread has killed and not yet restarted accepts no call.
    injector.clear_faults()
    time.sleep(SETTLE_S)
    traffic.stop()
    stopped.set()
    version_watcher.join(10)


def _watch_versions(
    injector: FaultInjector, observed: Observations, stopped: threading.Event
) -> None:
    while not stopped.wait(0.5):
        for address in injector.list_available():
            try:
                answer = send_request(address, "GET", "/health/ready", timeout_s=1.0)
            except NO_ANSWER:
                continue
            version = int(answer.json()["configuration_version"])
            observed.versions.setdefault(address, []).append(version)


def _find_all_violations(result_reader: ResultReader, observed: Observations) -> list[Violation]:
    record = result_reader.build_record()
    limits = {
        name: Limit(float(customer["rate_per_s"]), customer["burst"])
        for name, customer in CUSTOMERS.items()
    }
    return [
        *find_violations(record),
        *find_broken_bookings(record, observed),
        *find_late_key_uses(observed),
        *find_cut_requests(observed),
        *find_excess(observed, limits),
        *result_reader.find_lost_patches(),
    ]


@app.default
def main(seed: int = 1, seconds: int = 120) -> None:
    """Run a schedule, print the report, and exit with status 1 if an invariant was violated."""
    observed, violations = run(seed, seconds)
    print(f"seed {seed}, {seconds} s")
    print_report(observed, violations)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    app()

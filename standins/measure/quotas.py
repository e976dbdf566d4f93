"""Measures quotas over a fleet of gateway daemons: wrongful refusals and the most in one window.

A customer sends its demand in bursts to VMs chosen at random, as callers cannot be steered. The
reference is a single bucket that sees each request immediately.
"""

import random
from collections import deque
from dataclasses import dataclass, field

from cyclopts import App

from goldcreststair.clock import LoopClock
from goldcreststair.components.catalogue.models import CATALOGUE
from goldcreststair.components.quotas.service import QUOTAS
from standins.gateways import GatewayFleet, make_fleet
from standins.virtual_time import run_virtual

app = App(help=__doc__)

WINDOW_MS = 5_000
BURST_PERIOD_MS = 5_200
BURST_MS = 2_200
BURST_SHARE = 1.85
LULL_SHARE = 0.378
"""Demand over time: bursts of 2.2 s at 1.85 times the mean, between them 3 s at 0.378 times."""
CUSTOMER = "club"
START_MS = 2_000
"""By then all daemons know of each other and their buckets are full."""


@dataclass(slots=True)
class IdealBucket:
    """A token bucket that the whole fleet shares without delay."""

    rate_per_s: float
    burst: float
    level: float = 0.0
    at: int = 0

    def admit(self, now: int) -> bool:
        """Spend one token; return whether there was one."""
        refill = (now - self.at) * self.rate_per_s / 1000
        self.level, self.at = min(self.burst, self.level + refill), now
        if self.level < 1:
            return False
        self.level -= 1
        return True


@dataclass(slots=True)
class QuotaFigures:
    """Counts of requests in one run."""

    asked: int = 0
    admitted: int = 0
    ideal: int = 0
    """Requests that the ideal bucket admits."""
    wrongly_refused: int = 0
    """Refused requests that the ideal bucket admits at that moment."""
    most_in_window: int = 0
    """Most requests admitted within any `WINDOW_MS` milliseconds."""
    _window: deque[int] = field(default_factory=deque)

    def take(self, now: int, *, admitted: bool, ideal: bool) -> None:
        """Count one request, sent at `now` in milliseconds."""
        self.asked += 1
        self.admitted += admitted
        self.ideal += ideal
        self.wrongly_refused += ideal and not admitted
        if not admitted:
            return
        self._window.append(now)
        while self._window[0] <= now - WINDOW_MS:
            self._window.popleft()
        self.most_in_window = max(self.most_in_window, len(self._window))


def choose_load(now: int, demand: float) -> float:
    """Return the requests per second at `now`, in milliseconds since the start.

    `demand` is the mean, in requests per second.
    """
    in_burst = now % BURST_PERIOD_MS < BURST_MS
    return demand * (BURST_SHARE if in_burst else LULL_SHARE)


async def async_start(fleet: GatewayFleet, vms: int, rate_per_s: float, burst: float) -> None:
    """Start daemons with one limited customer and wait until they know of each other."""
    limits = {"name": CUSTOMER, "rate_per_s": rate_per_s, "burst": burst}
    fleet.write_catalogue(customers=(limits,))
    await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(START_MS)


async def async_drive(
    fleet: GatewayFleet, rate_per_s: float, burst: float, demand: float, seconds: float, seed: int
) -> QuotaFigures:
    """Send a customer's requests to random running daemons and count the outcomes."""
    rng = random.Random(seed)
    figures = QuotaFigures()
    start = fleet.clock.now()
    ideal = IdealBucket(rate_per_s, burst, at=start)
    while fleet.clock.now() - start < seconds * 1000:
        now = fleet.clock.now()
        gap_ms = rng.expovariate(choose_load(now - start, demand)) * 1000
        await fleet.clock.async_sleep(max(1, round(gap_ms)))
        now = fleet.clock.now()
        if not fleet.members:
            continue
        member = rng.choice(fleet.members)
        customer = member.read(CATALOGUE).customers.get(CUSTOMER)
        if customer is None:
            continue
        admitted = member.core.get(QUOTAS).admit(customer) is None
        figures.take(now, admitted=admitted, ideal=ideal.admit(now))
    return figures


def measure(
    vms: int, rate_per_s: float, burst: float, demand: float, seconds: float, seed: int
) -> QuotaFigures:
    """Measure one fleet in virtual time."""

    async def async_run() -> QuotaFigures:
        fleet = make_fleet(LoopClock())
        await async_start(fleet, vms, rate_per_s, burst)
        try:
            return await async_drive(fleet, rate_per_s, burst, demand, seconds, seed)
        finally:
            await fleet.async_close()

    return run_virtual(async_run())


@app.default
def main(vms: int = 11, seconds: float = 60, seeds: int = 3) -> None:
    """Print a row for each seed and demand; demand is a multiple of the customer's rate."""
    print("demand  asked  admitted  one bucket  wrongly refused  most in 5 s  bound")
    for share in (0.62, 0.9, 1.5, 4.6):
        for seed in range(seeds):
            rate, burst = 34.0, 34.0
            figures = measure(vms, rate, burst, rate * share, seconds, seed)
            bound = (rate * WINDOW_MS / 1000 + burst) * 1.1 + 20
            refused_share = figures.wrongly_refused / max(1, figures.asked)
            print(
                f"{share:6.2f} {figures.asked:6d} {figures.admitted:9d} {figures.ideal:11d} "
                f"{figures.wrongly_refused:6d} ({refused_share:6.2%}) "
                f"{figures.most_in_window:12d} {bound:6.0f}"
            )


if __name__ == "__main__":
    app()

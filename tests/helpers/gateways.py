"""Runs tests on fleets of gateway daemons on virtual time."""

from collections.abc import Awaitable, Callable, Sequence

from goldcreststair.clock import LoopClock
from goldcreststair.components.forwarding.protocols import FORWARDING
from goldcreststair.components.jobs.models import JobKey, ResultPage
from goldcreststair.components.jobs.protocols import JOBS
from standins.gateways import FakeResponder, FleetMember, GatewayFleet, make_fleet
from standins.virtual_time import run_virtual

CUSTOMER = "club"


def run_fleet(scenario: Callable[[GatewayFleet], Awaitable[None]], limit_s: float = 600) -> None:
    """Run a scenario on a new fleet and close the fleet."""

    async def async_run() -> None:
        fleet = make_fleet(LoopClock())
        try:
            await scenario(fleet)
        finally:
            await fleet.async_close()

    run_virtual(async_run(), limit_s)


async def async_submit(
    fleet: GatewayFleet,
    member: FleetMember,
    job: str,
    items: int,
    tokens: int = 100,
    *,
    parts: Sequence[str] = (),
) -> FakeResponder:
    """Submit a job whose items are named after it; `parts` holds the prompt parts of each item."""
    listed = dict(enumerate(parts))
    lines = "\n".join(f"{job}-{n} {tokens} {listed.get(n, '')}".strip() for n in range(items))
    return await async_send(fleet, member, f"/batch/{job}", lines.encode(), request_id=job)


async def async_send(
    fleet: GatewayFleet,
    member: FleetMember,
    path: str,
    body: bytes = b"",
    *,
    request_id: str = "",
    deadline_ms: int = 5_000,
    resumed: tuple[str, int] = ("", 0),
    parts: tuple[str, ...] = (),
    key: str = "key-club",
) -> FakeResponder:
    """Send a request and return its caller's record of the response."""
    responder = FakeResponder(fleet.clock)
    request = fleet.make_request(path, body, deadline_ms, request_id, resumed, parts, key)
    await member.core.get(FORWARDING).async_forward(request, responder)
    return responder


async def async_read(member: FleetMember, job: str, position: int = 0) -> ResultPage:
    """Return the results of a job from a position."""
    key = JobKey(CUSTOMER, job)
    read = await member.core.get(JOBS).async_read_results(key, position, 0)
    return read.unwrap()

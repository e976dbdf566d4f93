"""A leave whose next step is due while requests are still unread, as on a core that was taken away."""

import asyncio
import signal
from pathlib import Path

import pytest

from goldcreststair.components.entry.service import ACCEPT_FRACTION
from tests.platform_adapter.leave_site import PATH, Sent, async_open_leave_site, async_read
from tests.platform_adapter.local import make_request
from tests.platform_adapter.soak.callers import async_open
from tests.platform_adapter.soak.record import GRACE_S

CONNECTIONS = 6
STALL_S = 0.8
BEFORE_STEP_S = 0.6
"""How long before the daemon stops accepting connections it stands still."""


@pytest.mark.parametrize("kept", [True, False], ids=["kept", "new"])
def test_requests_sent_while_a_leaving_process_stood_still_are_answered(
    tmp_path: Path, kept: bool
) -> None:
    """Guards against connections that are closed with unread requests, as nothing counts as running."""

    async def async_test() -> list[Sent]:
        async with async_open_leave_site(tmp_path) as site:
            daemon = site.daemons[-1]
            front = daemon.plan.front
            opened = [await async_open(front) for _ in range(CONNECTIONS if kept else 0)]
            await asyncio.sleep(0.5)
            ending = site.send_sigterm(daemon)
            await asyncio.sleep(GRACE_S * ACCEPT_FRACTION - BEFORE_STEP_S)
            daemon.send(signal.SIGSTOP)
            opened = opened or [await async_open(front) for _ in range(CONNECTIONS)]
            sent = [Sent(f"r{n}", daemon.name, 0.0) for n in range(CONNECTIONS)]
            for each, (_, writer) in zip(sent, opened, strict=True):
                headers = {"Request-Id": each.request, "Deadline-Ms": "2000"}
                writer.write(make_request("POST", PATH, b"x", headers))
            await asyncio.sleep(STALL_S)
            daemon.send(signal.SIGCONT)
            reads = [
                async_read(reader, each) for each, (reader, _) in zip(sent, opened, strict=True)
            ]
            await asyncio.gather(*reads)
            for _, writer in opened:
                writer.close()
            await ending
            return sent

    sent = asyncio.run(async_test())
    assert [(each.status in (200, 503), each.whole) for each in sent] == [
        (True, True)
    ] * CONNECTIONS

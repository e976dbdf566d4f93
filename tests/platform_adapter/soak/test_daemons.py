"""The soak records from when on a process is gone."""

import asyncio
import time
from pathlib import Path

import pytest

from tests.platform_adapter.soak.daemons import Daemon, DaemonPlan
from tests.platform_adapter.soak.proxy import Proxy
from tests.platform_adapter.soak.record import Absence, Record

REAPED_S = 0.3


def test_a_killed_daemon_is_absent_from_the_kill(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that no process could read, reported as lost as the kill's end was seen late."""

    async def scenario() -> None:
        record = Record()
        plan = DaemonPlan("127.0.0.9", 1, 2, 3, "127.0.0.1:4", ())
        daemon = Daemon(plan, Proxy("front", plan.front), record, tmp_path / "log")
        daemon._process = await asyncio.create_subprocess_exec("sleep", "60")
        end = Daemon._async_end

        async def end_late(self: Daemon) -> Absence:
            await asyncio.sleep(REAPED_S)
            return await end(self)

        async def start(self: Daemon) -> None:
            pass

        monkeypatch.setattr(Daemon, "_async_end", end_late)
        monkeypatch.setattr(Daemon, "async_start", start)
        await daemon.async_kill(0.0)
        ended_at = time.monotonic()
        (kill,), (absence,) = record.kills, record.absences
        assert kill.at <= absence.since <= ended_at - REAPED_S

    asyncio.run(scenario())

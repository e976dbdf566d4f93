"""Start and stop of a daemon."""

import asyncio

from goldcreststair.bootstrap import Daemon
from goldcreststair.components.shutdown.models import SHUTDOWN
from tests.helpers.cores import make_core


def test_a_signal_during_the_start_is_not_lost() -> None:
    """Guards against a session that stays until it expires, as its VM was stopped during the start.

    The daemon completes its start, then leaves.
    """

    async def async_test() -> None:
        core = make_core(http_port=0, peer_port=0, drain_ms=0)
        daemon = Daemon(core)
        daemon.leave()
        await daemon.async_start()
        await asyncio.wait_for(daemon.async_wait(), 30)
        assert core.blackboard.read(SHUTDOWN).leaving
        await daemon.async_close()
        assert (await core.platform.table.async_scan("session/")).unwrap() == ()

    asyncio.run(async_test())

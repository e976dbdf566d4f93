"""A customer that operators remove while its jobs are open, and add again once they are done."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from tests.platform_adapter.local import OTHER_KEY, make_request
from tests.platform_adapter.soak.callers import (
    PATHS,
    async_open,
    async_read_jobs,
    async_read_or_none,
    list_items,
    make_job,
)
from tests.platform_adapter.soak.daemons import Daemon
from tests.platform_adapter.soak.engine import EVENTS_HEADER, PAUSE_HEADER
from tests.platform_adapter.soak.record import Item, Record

CUSTOMER: Final = "other"
JOBS: Final = 8
SUBMIT_PAUSE_S: Final = 0.1
WORK: Final = {EVENTS_HEADER: "20", PAUSE_HEADER: "200"}
"""An item takes 4 s."""
IN_FORCE_S: Final = 0.5
"""Time after which daemons have read a new configuration."""
DOWN_S: Final = 2.0
ANSWER_S: Final = 5.0
POLL_S: Final = 0.1


class CustomerSite(Protocol):
    """What this needs of a site."""

    daemons: list[Daemon]
    record: Record
    config: dict[str, Any]

    def put_config(self) -> None:
        """Put the present document in force, as its next version."""


@dataclass(slots=True)
class RemovedCustomer:
    """Submits jobs as one customer, removes it, and adds it again."""

    site: CustomerSite
    chooser: random.Random
    kills: bool = True
    """Whether the daemon that accepted the first job is killed after the removal."""
    _owner: Daemon | None = None
    _accepted: list[Item] = field(default_factory=list)
    _removed: list[dict[str, Any]] = field(default_factory=list)

    async def async_submit_and_remove(self, after_s: float) -> None:
        """Submit jobs after a time, remove the customer, and kill a daemon that owns such jobs."""
        await asyncio.sleep(after_s)
        for number in range(JOBS):
            await self._async_submit(f"removed-{number}")
            await asyncio.sleep(SUBMIT_PAUSE_S)
        tenants = self.site.config["tenants"]
        self._removed = [each for each in tenants if each["name"] == CUSTOMER]
        self.site.config["tenants"] = [each for each in tenants if each["name"] != CUSTOMER]
        self.site.put_config()
        if self.kills and self._owner is not None:
            await asyncio.sleep(IN_FORCE_S)
            await self._owner.async_kill(DOWN_S)

    async def async_return(self, within_s: float) -> None:
        """Wait until its items have run, at most `within_s`, then add the customer and read its jobs."""
        record, until = self.site.record, time.monotonic() + within_s
        names = {item.item for item in self._accepted}
        for _ in range(round(within_s / POLL_S)):
            if names <= {run.request for run in record.runs}:
                break
            await asyncio.sleep(POLL_S)
        record.accepted += self._accepted
        record.removed_items += sorted(names)
        record.customer_returned_at = time.monotonic()
        self.site.config["tenants"] += self._removed
        self.site.put_config()
        await async_read_jobs(self.site.daemons, record, until, self._accepted, OTHER_KEY)

    async def _async_submit(self, job: str) -> None:
        listed = [daemon for daemon in self.site.daemons if daemon.listed]
        try:
            daemon = self.chooser.choice(listed)
            reader, writer = await async_open(daemon.front.address)
        except (IndexError, OSError):
            return
        fields = {"Request-Id": job, "X-Api-Key": OTHER_KEY, "Deadline-Ms": "5000"}
        writer.write(make_request("POST", PATHS["batch"], make_job(job, dict(WORK)), fields))
        answer = await async_read_or_none(reader, ANSWER_S)
        writer.close()
        if answer is not None and answer.status == 202 and answer.whole:
            self._owner = self._owner or daemon
            self._accepted += list_items(job, dict(WORK))

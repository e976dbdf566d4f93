"""Batch jobs of the gateway daemon, kept in the store's rows."""

from functools import partial

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.jobs.api import JOB_DESK, JobDesk
from goldcreststair.components.jobs.protocols import JOB_FRONT, JOBS
from goldcreststair.components.jobs.remote import RemoteJobs
from goldcreststair.components.jobs.router import JobFront
from goldcreststair.components.jobs.service import JobService
from goldcreststair.components.jobs.sweeping import keep_inside
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the jobs."""
    service = JobService(core)
    core.offer(JOBS, service)
    remote = RemoteJobs(core.get(FLEET_LINKS), core.random.choice, partial(keep_inside, core))
    core.offer(JOB_FRONT, JobFront(service, remote, core.store_contact))
    core.offer(JOB_DESK, JobDesk(core))
    core.get(ENTRY).add_leaver(service)
    return service

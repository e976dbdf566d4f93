"""Batch jobs of the gateway daemon, persisted as rows of the platform's store."""

from functools import partial

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.jobs.api import JOB_API, JobApi
from goldcreststair.components.jobs.protocols import JOB_ROUTER, JOBS
from goldcreststair.components.jobs.remote import RemoteJobs
from goldcreststair.components.jobs.router import JobRouter
from goldcreststair.components.jobs.service import JobService
from goldcreststair.components.jobs.sweeping import filter_by_region
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the job component and the two entry points that callers use."""
    service = JobService(core)
    core.offer(JOBS, service)
    remote = RemoteJobs(core.get(FLEET_LINKS), core.random.choice, partial(filter_by_region, core))
    core.offer(JOB_ROUTER, JobRouter(service, remote, core.store_contact))
    core.offer(JOB_API, JobApi(core))
    core.get(ENTRY).add_leave_handler(service)
    return service

"""Batch jobs of the gateway daemon, kept in the store's rows."""

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.jobs.desk import JOB_DESK, JobDesk
from goldcreststair.components.jobs.protocols import JOBS
from goldcreststair.components.jobs.service import JobService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the jobs."""
    service = JobService(core)
    core.offer(JOBS, service)
    core.offer(JOB_DESK, JobDesk(core))
    core.get(ENTRY).add_leaver(service)
    return service

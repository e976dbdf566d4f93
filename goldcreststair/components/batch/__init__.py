"""Batch jobs: accepted durably, run where online work leaves room."""

from tornado.routing import Rule
from tornado.web import url

from goldcreststair.components.batch.service import BATCH, BatchService
from goldcreststair.components.batch.views import (
    BatchesHandler,
    CancelHandler,
    JobHandler,
    OutputHandler,
    ResultsHandler,
)
from goldcreststair.core import Component, Core

JOB_PATTERN = r"/v1/batches/([0-9a-f]{32})"


async def async_setup(core: Core) -> Component:
    """Set up the service and its routes; needs ledger, peers, keys, limits and membership."""
    service = BatchService(core)
    core.offer(BATCH, service)
    routes: list[Rule] = [
        url(r"/v1/batches", BatchesHandler, {"core": core}),
        url(JOB_PATTERN, JobHandler, {"core": core}),
        url(JOB_PATTERN + "/cancel", CancelHandler, {"core": core}),
        url(JOB_PATTERN + "/results", ResultsHandler, {"core": core}),
        url(JOB_PATTERN + "/output", OutputHandler, {"core": core}),
    ]
    core.routes.extend(routes)
    return service

"""HTTP handler for calls of plain services."""

from result import Err
from tornado.iostream import StreamClosedError

from goldcreststair.components.caller_api.errors import make_field_refusal
from goldcreststair.components.caller_api.handler import CallerHandler
from goldcreststair.components.caller_api.parsing import (
    BadField,
    holds_key,
    parse_deadline,
    select_headers,
)
from goldcreststair.components.configuration.models import CONFIGURATION, ServiceRoute
from goldcreststair.components.online.models import ServiceRequest
from goldcreststair.components.online.service import ONLINE
from goldcreststair.const import HEADER_IDEMPOTENCY_KEY
from goldcreststair.helpers.refusals import Refusal, RefusalCode


class ServiceHandler(CallerHandler):
    """Handles calls of plain services along the configured routes."""

    async def get(self, service: str, path: str) -> None:
        """Run a call; all methods are handled alike."""
        await self._async_handle(service, "/" + path)

    post = put = patch = delete = get

    async def _async_handle(self, service: str, path: str) -> None:
        route = self._find_route(service, path)
        if route is None:
            message = f"no route {self.request.method} {path} of service {service}"
            self.refuse(Refusal(message, RefusalCode.UNKNOWN_SERVICE, 404, True))
            return
        deadline = parse_deadline(self.request.headers)
        if isinstance(deadline, Err):
            self.refuse(make_field_refusal(deadline.err_value))
            return
        for field, content in (("query", self.request.query), ("body", self.request.body)):
            if holds_key(content, self.key):
                self.refuse(make_field_refusal(BadField("must not hold the key", field)))
                return
        await self.async_run_until_closed(
            self._async_run(self._make_request(route, deadline.ok_value))
        )

    def _find_route(self, service: str, path: str) -> ServiceRoute | None:
        for route in self.core.blackboard.read(CONFIGURATION).routes:
            target = (route.service, route.method, route.path)
            if target == (service, self.request.method, path):
                return route
        return None

    def _make_request(self, route: ServiceRoute, deadline_ms: int) -> ServiceRequest:
        query = self.request.query
        return ServiceRequest(
            request_id=self.request_id,
            identity=self.identity,
            service=route.service,
            method=route.method,
            path=f"{route.path}?{query}" if query else route.path,
            body=self.request.body,
            repeatable=route.repeatable,
            deadline_ms=deadline_ms,
            idempotency_key=self.request.headers.get(HEADER_IDEMPOTENCY_KEY, ""),
            headers=select_headers(self.request.headers, self.key),
        )

    async def _async_run(self, request: ServiceRequest) -> None:
        outcome = await self.core.get(ONLINE).async_call(request)
        if isinstance(outcome, Err):
            self.refuse(outcome.err_value)
            return
        response = outcome.ok_value
        self.set_status(response.status)
        self.set_header("Content-Type", response.content_type)
        try:
            await self.finish(response.body)
        except StreamClosedError:
            return

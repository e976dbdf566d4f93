"""Base class of the operators' HTTP handlers, and the configuration handler."""

import hmac

import orjson
from result import Err
from tornado.web import RequestHandler

from goldcreststair.components.configuration.controller import (
    CONFIGURATION_FOLLOWER,
    ConfigurationFollower,
)
from goldcreststair.components.configuration.errors import (
    ConfigurationError,
    DocumentInvalid,
    StoreUnavailable,
    VersionStale,
)
from goldcreststair.core import Core


class OperatorHandler(RequestHandler):
    """Rejects requests without the operator token."""

    def initialize(self, core: Core) -> None:
        """Store the core."""
        self.core = core

    def prepare(self) -> None:
        """Check the operator token."""
        expected = f"Bearer {self.core.settings.operator_token}"
        authorization = self.request.headers.get("Authorization", "")
        if not hmac.compare_digest(authorization.encode(), expected.encode()):
            self.set_status(401)
            self.finish({"error": {"code": "unauthorised", "message": "operator token needed"}})


class ConfigurationHandler(OperatorHandler):
    """Reads and patches the stored configuration."""

    @property
    def follower(self) -> ConfigurationFollower:
        """Return the follower of the stored configuration."""
        return self.core.get(CONFIGURATION_FOLLOWER)

    async def get(self) -> None:
        """Return the stored version and its document."""
        read = await self.follower.store.async_read()
        if isinstance(read, Err):
            self._refuse(read.err_value)
            return
        stored = read.ok_value
        self.finish(orjson.dumps({"version": stored.version, "document": stored.document}))

    async def patch(self) -> None:
        """Apply a patch to a version; the body is `{"base_version", "patch_id", "patch"}`."""
        try:
            request = orjson.loads(self.request.body)
            base_version, patch_id = int(request["base_version"]), str(request["patch_id"])
            patch = request["patch"]
        except (ValueError, KeyError, TypeError) as error:
            self.set_status(400)
            self.finish({"error": {"code": "invalid", "message": f"bad request: {error!r}"}})
            return
        patched = await self.follower.async_patch(base_version, patch_id, patch)
        if isinstance(patched, Err):
            self._refuse(patched.err_value)
            return
        self.finish({"version": patched.ok_value.version})

    def _refuse(self, error: ConfigurationError) -> None:
        body: dict[str, object] = {"code": "configuration", "message": error.message}
        self.set_status(500)
        if isinstance(error, VersionStale):
            self.set_status(409)
            body |= {"code": "version_stale", "current": error.current}
        elif isinstance(error, DocumentInvalid):
            self.set_status(422)
            body |= {"code": "invalid", "field": error.field}
        elif isinstance(error, StoreUnavailable):
            self.set_status(503)
            body |= {"code": "store_unavailable", "outcome_known": error.outcome_known}
        self.finish({"error": body})

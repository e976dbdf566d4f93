"""Both clients over HTTP."""

from goldcreststair.upstreams.http_engine import HttpEngineClient
from goldcreststair.upstreams.http_service import HttpServiceClient
from goldcreststair.upstreams.protocols import UpstreamClients


def create_upstream_clients() -> UpstreamClients:
    """Return the clients that the daemon uses."""
    return UpstreamClients(HttpEngineClient(), HttpServiceClient())

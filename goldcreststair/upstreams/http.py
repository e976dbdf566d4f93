"""Creation of the HTTP clients for engines and plain services."""

from goldcreststair.upstreams.http_engine import HttpEngineClient
from goldcreststair.upstreams.http_service import HttpServiceClient
from goldcreststair.upstreams.protocols import UpstreamClients


def create_upstream_clients() -> UpstreamClients:
    """Return the clients for both kinds of upstream."""
    return UpstreamClients(HttpEngineClient(), HttpServiceClient())

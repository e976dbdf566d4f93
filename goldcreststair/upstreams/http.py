"""Creation of the HTTP clients for engines and plain services."""

from goldcreststair.response_budget import ResponseBudget
from goldcreststair.upstreams.http_engine import HttpEngineClient
from goldcreststair.upstreams.http_service import HttpServiceClient
from goldcreststair.upstreams.protocols import UpstreamClients


def create_upstream_clients(response_bytes: int) -> UpstreamClients:
    """Return the clients for both kinds of upstream, whose responses hold `response_bytes` at most."""
    responses = ResponseBudget(response_bytes)
    return UpstreamClients(HttpEngineClient(responses), HttpServiceClient(responses))

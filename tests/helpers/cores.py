"""Cores on in-process stand-ins."""

import random
from typing import Any

from goldcreststair.blackboard import Blackboard
from goldcreststair.clock import Clock, LoopClock
from goldcreststair.components.configuration.document import decode_document
from goldcreststair.components.configuration.models import Configuration
from goldcreststair.core import Core
from goldcreststair.helpers.api_keys import hash_key
from goldcreststair.journal import Journal
from goldcreststair.settings import Settings
from goldcreststair.statistics import NullStatistics
from goldcreststair.transport import PeerTransport
from standins.budgets import make_budget
from standins.engine.client import FakeUpstreams
from standins.network import FakeNetwork
from standins.platform.store import FakePlatform

OPERATOR_TOKEN = "operator-token"


def make_core(
    *,
    platform: FakePlatform | None = None,
    upstreams: FakeUpstreams | None = None,
    clock: Clock | None = None,
    transport: PeerTransport | None = None,
    session_id: str = "session-1",
    seed: int = 1,
    **settings: Any,
) -> Core:
    """Return a core whose platform and upstreams are in-process stand-ins."""
    clock = clock or LoopClock()
    values: dict[str, Any] = {
        "address": "127.0.0.1",
        "data_centre": "dc1",
        "platform_url": "http://127.0.0.1:1",
        "operator_token": OPERATOR_TOKEN,
        **settings,
    }
    return Core(
        settings=Settings(**values),
        clock=clock,
        random=random.Random(seed),
        blackboard=Blackboard(),
        journal=Journal(clock),
        statistics=NullStatistics(),
        platform=(platform or FakePlatform(clock)).as_platform(),
        upstreams=(upstreams or FakeUpstreams(clock)).as_clients(),
        clients=make_budget(clock),
        transport=transport or FakeNetwork(clock).join(values["address"]),
        session_id=session_id,
    )


def make_document(**sections: Any) -> dict[str, Any]:
    """Return a small valid document: customer `acme` with key `key-acme`, engines e1 and e2."""
    document: dict[str, Any] = {
        "customers": {"acme": {"rate_per_s": 10, "burst": 20}},
        "keys": {hash_key("key-acme"): "acme"},
        "upstreams": {
            name: {"address": address, "data_centre": "dc1", "models": ["small"]}
            for name, address in (("e1", "127.0.0.1:9001"), ("e2", "127.0.0.1:9002"))
        },
    }
    return document | sections


def make_configuration(version: int = 1, **sections: Any) -> Configuration:
    """Return the decoded configuration of `make_document`."""
    return decode_document(version, make_document(**sections)).unwrap()

"""Online components of one daemon on in-process upstreams."""

from typing import Any

import orjson
from result import Result

from goldcreststair.clock import LoopClock
from goldcreststair.components import (
    configuration,
    keys,
    limits,
    listing,
    online,
    quarantine,
    routing,
)
from goldcreststair.components.claims.protocols import CLAIMS, Claims
from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.keys.protocols import KEYS
from goldcreststair.components.membership.protocols import SHARED_SETS, SharedSets
from goldcreststair.components.online.models import GenerateRequest, ServiceRequest
from goldcreststair.components.online.service import ONLINE
from goldcreststair.core import Component, Core
from goldcreststair.helpers.api_keys import hash_key
from goldcreststair.helpers.refusals import Refusal
from goldcreststair.upstreams.models import GenerateEnd, StreamChunk
from standins.engine.client import FakeUpstreams
from standins.platform.store import FakePlatform
from tests.helpers.cores import make_configuration, make_core

ADDRESSES = ("127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003", "127.0.0.1:9004")
SERVICE_ADDRESSES = ("127.0.0.1:9101", "127.0.0.1:9102")


class RecordingSink:
    def __init__(self) -> None:
        self.data = b""
        self.chunks = 0

    async def async_accept(self, chunk: StreamChunk) -> None:
        self.data += chunk.data
        self.chunks += 1

    def read_text(self) -> str:
        events = [e.partition(b"data: ")[2] for e in self.data.split(b"\n\n") if e]
        return "".join(orjson.loads(event)["choices"][0]["text"] for event in events)


def describe_fleet(engines: int, **sections: Any) -> dict[str, Any]:
    upstreams: dict[str, Any] = {
        f"e{number}": {"address": ADDRESSES[number], "data_centre": "dc1", "models": ["small"]}
        for number in range(engines)
    }
    for number, address in enumerate(SERVICE_ADDRESSES):
        upstreams[f"s{number}"] = {
            "address": address,
            "data_centre": "dc1",
            "kind": "service",
            "service": "grounds",
        }
    names = ("acme", "busy")
    return {
        "customers": {name: {"rate_per_s": 10_000, "burst": 10_000} for name in names},
        "keys": {hash_key(f"key-{name}"): name for name in names},
        "upstreams": upstreams,
    } | sections


class OnlineVm:
    """One daemon; several may share their `upstreams`."""

    def __init__(self, upstreams: FakeUpstreams | None = None, session_id: str = "vm1") -> None:
        self.upstreams = upstreams or FakeUpstreams(make_core().clock)
        self.platform = FakePlatform(LoopClock())
        self.core: Core = make_core(
            platform=self.platform, upstreams=self.upstreams, session_id=session_id
        )
        self.version = 0
        self._components: list[Component] = []
        self.document: dict[str, Any] = {}

    async def async_setup(
        self,
        engines: int = 2,
        claims: Claims | None = None,
        shared_sets: SharedSets | None = None,
    ) -> None:
        if claims is not None:
            self.core.offer(CLAIMS, claims)
        if shared_sets is not None:
            self.core.offer(SHARED_SETS, shared_sets)
        for component in (configuration, keys, listing, limits, quarantine, routing, online):
            self._components.append(await component.async_setup(self.core))
        for address in ADDRESSES[:engines]:
            if address not in self.upstreams.engines:
                self.upstreams.add_engine(address)
        for address in SERVICE_ADDRESSES:
            if address not in self.upstreams.services:
                self.upstreams.add_service(address)
        self.apply(**describe_fleet(engines))
        for started in self._components:
            await started.async_start()

    async def async_close(self) -> None:
        for component in reversed(self._components):
            await component.async_close()
        await self.upstreams.async_close()

    def apply(self, **sections: Any) -> None:
        self.version += 1
        self.document |= sections
        follower = self.core.get(CONFIGURATION_FOLLOWER)
        follower.apply(make_configuration(self.version, **self.document))

    async def async_generate(
        self, request_id: str, sink: RecordingSink | None = None, **fields: Any
    ) -> Result[GenerateEnd, Refusal]:
        customer = fields.pop("customer", "acme")
        deadline_ms = fields.pop("deadline_ms", 60_000)
        idempotency_key = fields.pop("idempotency_key", "")
        body = {"model": "small", "prompt": "a blurb", "max_tokens": 20, "stream": True} | fields
        request = GenerateRequest(
            request_id,
            self.core.get(KEYS).identify(f"key-{customer}").unwrap(),
            "/v1/completions",
            orjson.dumps(body),
            "small",
            bool(body["stream"]),
            deadline_ms=deadline_ms,
            idempotency_key=idempotency_key,
        )
        return await self.core.get(ONLINE).async_generate(request, sink or RecordingSink())

    def make_call(
        self, request_id: str, *, repeatable: bool, key: str = "", deadline_ms: int = 60_000
    ) -> ServiceRequest:
        identity = self.core.get(KEYS).identify("key-acme").unwrap()
        return ServiceRequest(
            request_id,
            identity,
            "grounds",
            "POST",
            "/book",
            b"{}",
            repeatable,
            deadline_ms,
            idempotency_key=key,
        )

    def count_runs(self) -> int:
        return sum(len(service.runs) for service in self.upstreams.services.values())

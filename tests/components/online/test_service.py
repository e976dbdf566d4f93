"""Test of an online request through the real components, on stand-ins in the same process."""

import orjson
from result import Ok, Result

from goldcreststair.components import configuration, keys, limits, online, quarantine, routing
from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.keys.protocols import KEYS
from goldcreststair.components.online.models import GenerateRequest
from goldcreststair.components.online.service import ONLINE
from goldcreststair.core import Core
from goldcreststair.helpers.refusals import Refusal
from goldcreststair.upstreams.models import GenerateEnd, StreamChunk
from standins.engine.client import FakeUpstreams
from tests.helpers.cores import make_configuration, make_core
from tests.helpers.virtual_time import run_virtual


class RecordingSink:
    def __init__(self) -> None:
        self.data = b""

    async def async_accept(self, chunk: StreamChunk) -> None:
        self.data += chunk.data


async def async_start_online(core: Core) -> None:
    for component in (configuration, keys, limits, quarantine, routing, online):
        await component.async_setup(core)
    core.get(CONFIGURATION_FOLLOWER).apply(make_configuration())


async def async_send(core: Core, sink: RecordingSink) -> Result[GenerateEnd, Refusal]:
    identity = core.get(KEYS).identify("key-acme").unwrap()
    body = orjson.dumps({"model": "small", "prompt": "a blurb", "max_tokens": 5, "stream": True})
    request = GenerateRequest("r1", identity, "/v1/completions", body, "small", True)
    return await core.get(ONLINE).async_generate(request, sink)


def test_request_that_did_not_run_is_retried_elsewhere() -> None:
    """One of two engines cannot be reached.

    The caller must not notice: no byte of the request was sent to that engine, so the other one
    can run it without running it twice.
    """

    async def async_test() -> None:
        upstreams = FakeUpstreams(make_core().clock)
        core = make_core(upstreams=upstreams)
        upstreams.add_engine("127.0.0.1:9001")
        upstreams.add_engine("127.0.0.1:9002")
        upstreams.unreachable.add("127.0.0.1:9001")
        await async_start_online(core)
        for _ in range(4):
            sink = RecordingSink()
            outcome = await async_send(core, sink)
            assert isinstance(outcome, Ok)
            assert sink.data.count(b"data: ") == 5
        await upstreams.async_close()

    run_virtual(async_test())

"""What each role of a daemon costs a unit: `script/measure capacity` (about 20 s)."""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from goldcreststair.clock import LoopClock, Millis
from goldcreststair.components.batch.models import ChunkRecord
from goldcreststair.components.batch.records import encode_record as encode_batch
from goldcreststair.components.claims.codec import encode_record as encode_claim
from goldcreststair.components.claims.models import ClaimRecord, ClaimState, StoredOutcome
from goldcreststair.components.configuration.decoding_cache import DecodingCache
from goldcreststair.components.configuration.document import decode_document, merge_patch
from goldcreststair.components.configuration.models import CONFIGURATION, Objective
from goldcreststair.components.limits.coordinator_bucket import CoordinatorBucket
from goldcreststair.components.limits.models import Allowance
from goldcreststair.components.routing.controller import AffinityRouter
from goldcreststair.components.routing.protocols import RouteQuery
from goldcreststair.components.service_level.history import CustomerHistory
from goldcreststair.components.service_level.recorder import LevelRecorder
from goldcreststair.journal import Journal, Subject
from goldcreststair.upstreams.http_engine import HttpEngineClient
from goldcreststair.upstreams.models import Upstream
from standins.demo.process import ChildProcess
from tests.helpers.cores import make_core

CUSTOMERS: Final = 230
KEYS: Final = 3
ENGINES: Final = 3100
MODELS: Final = 24
PLACES: Final = 9
REPEATS: Final = 2000
POLLS: Final = 300
PATCHES: Final = 50
DAY_S: Final = 86_400


@dataclass(frozen=True, slots=True)
class UnitCost:
    """Cost of one unit of one role."""

    role: str
    unit: str
    processor_us: float
    bytes: float

    def describe(self) -> str:
        """Return one row of a table."""
        return f"| {self.role} | {self.unit} | {self.processor_us:,.1f} | {self.bytes:,.0f} |"


def measure(role: str, unit: str, count: int, work: Callable[[], Any]) -> UnitCost:
    """Run `work`, which does `count` units, once for the processor and once for the memory."""
    began = time.process_time()
    kept = work()
    used_s = time.process_time() - began
    del kept
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = work()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return UnitCost(role, unit, used_s / count * 1e6, max(0, size) / count)


def make_document(engines: int) -> dict[str, Any]:
    """Return a configuration of the size of the developers' page."""
    return {
        "customers": {f"customer-{n}": {"rate_per_s": 150, "burst": 300} for n in range(CUSTOMERS)},
        "keys": {f"{n:064x}": f"customer-{n % CUSTOMERS}" for n in range(CUSTOMERS * KEYS)},
        "upstreams": {
            f"engine-{n}": {
                "address": f"10.{n // 250}.{n % 250}.1:8000",
                "data_centre": f"dc{n % PLACES}",
                "models": [f"model-{n % MODELS}"],
            }
            for n in range(engines)
        },
    }


def measure_configuration() -> list[UnitCost]:
    """Measure decoding and holding the whole configuration, and taking one patch of it."""
    document = make_document(ENGINES)
    memory = DecodingCache()
    decode_document(1, document, memory).unwrap()

    def patch_many() -> None:
        patched = document
        for number in range(PATCHES):
            patched = merge_patch(patched, {"customers": {"customer-1": {"burst": 300 + number}}})
            decode_document(number, patched, memory).unwrap()

    return [
        measure("configuration", "whole document", 1, lambda: decode_document(1, document)),
        measure("configuration", "patch", PATCHES, patch_many),
    ]


async def async_measure_routing() -> UnitCost:
    """Measure one choice among a subset of 40 upstreams."""
    core = make_core(data_centre="dc1")
    configuration = decode_document(1, make_document(ENGINES)).unwrap()
    core.blackboard.open_section(CONFIGURATION, configuration)
    router = AffinityRouter(core)
    query = RouteQuery(model="model-1", prefix="0123456789abcdef")
    router.choose(query)

    def choose_many() -> None:
        for number in range(REPEATS):
            prefix = f"{number:016x}"
            upstream = router.choose(RouteQuery(model="model-1", prefix=prefix)).unwrap()
            router.begin(upstream.name)
            router.end(upstream.name, ok=True)

    return measure("routing", "request", REPEATS, choose_many)


def measure_home() -> UnitCost:
    """Measure one loan at a customer's home and its report."""

    def lend_many() -> CoordinatorBucket:
        bucket = CoordinatorBucket(Allowance(150.0, 300.0), Millis(0), 300.0)
        for number in range(REPEATS):
            bucket.grant_tokens(f"vm-{number % 12}", number, 1, Millis(number * 20))
            bucket.report(f"vm-{number % 12}", (), Millis(number * 20))
        return bucket

    return measure("limits, home", "loan", REPEATS, lend_many)


def measure_levels() -> list[UnitCost]:
    """Measure recording requests, and keeping a customer's month."""
    objectives = [Objective("first_token", "*", 1700, 0.95)]

    def observe_many() -> LevelRecorder:
        recorder = LevelRecorder()
        for number in range(REPEATS):
            recorder.observe(f"customer-{number % 50}", 40 + number % 900, objectives)
        return recorder

    def fill_month() -> CustomerHistory:
        history = CustomerHistory()
        for hour in range(24 * 30):
            recorder = LevelRecorder()
            recorder.observe("customer", 100, objectives)
            (report,) = recorder.collect_reports()
            history.add(f"vm-{hour}", report, DAY_S * 20_000 + hour * 3600)
            history.forget_sessions(frozenset())
        return history

    month = measure("service levels, owner", "customer's month", 1, fill_month)
    encoded = len(fill_month().encode_recent())
    size = UnitCost("service levels, owner", "record that each report writes", 0.0, encoded)
    return [measure("service levels", "request", REPEATS, observe_many), month, size]


def measure_records() -> list[UnitCost]:
    """Return the sizes of the ledger's records."""
    outcome = StoredOutcome(200, "application/json", b"x" * 600)
    claim = ClaimRecord("f" * 64, "r" * 32, False, "s" * 16, "c" * 32, ClaimState.DONE, 1, outcome)
    chunk = ChunkRecord(
        "j" * 32,
        "f" * 64,
        7,
        "customer-1",
        "batch/j/items/7",
        ("model-1",),
        1,
        2,
        "d" * 128,
        ("batch/j/results/7-1", "batch/j/results/7-2"),
    )
    return [
        UnitCost("claims, owner", "record, bytes", 0.0, len(encode_claim(claim))),
        UnitCost("batch, chunk owner", "record of 128 items, bytes", 0.0, len(encode_batch(chunk))),
    ]


async def async_measure_journal() -> UnitCost:
    """Measure one event of the journal."""

    def record_many() -> Journal:
        journal = Journal(LoopClock())
        for number in range(REPEATS):
            reason = "the favourite takes it"
            journal.record(Subject.REQUEST, f"{number:032x}", "route", reason, waiting=number)
        return journal

    return measure("journal", "event", REPEATS, record_many)


async def async_measure_polls() -> UnitCost:
    """Measure reading one load report over loopback, the engine's side left out."""
    engine = ChildProcess("fast", "standins.measure.fast_engine", [])
    try:
        upstream = Upstream("fast", engine.wait_listening(), "dc1")
        client = HttpEngineClient()
        await client.async_read_load(upstream)
        began = time.process_time()
        for _ in range(POLLS):
            (await client.async_read_load(upstream)).unwrap()
        used_s = time.process_time() - began
    finally:
        engine.close()
    return UnitCost("routing", "load report over HTTP", used_s / POLLS * 1e6, 0)


async def async_measure() -> list[UnitCost]:
    """Return all unit costs."""
    return [
        *measure_configuration(),
        await async_measure_routing(),
        await async_measure_polls(),
        measure_home(),
        *measure_levels(),
        *measure_records(),
        await async_measure_journal(),
    ]


def main() -> None:
    """Print a table."""
    print("| role | unit | processor, µs | bytes |")
    print("| --- | --- | --- | --- |")
    for cost in asyncio.run(async_measure()):
        print(cost.describe())


if __name__ == "__main__":
    main()

"""Several gateway daemons in one process, on a fake store, network and engines."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import orjson
from result import Err, Ok, Result

from goldcreststair.blackboard import Blackboard
from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.models import compute_limits
from goldcreststair.clock import Clock, Millis
from goldcreststair.components.catalogue.models import (
    BatchTerms,
    CallKind,
    Catalogue,
    CatalogueCustomer,
    Route,
    Service,
    WeightedService,
    index_routes,
)
from goldcreststair.components.catalogue.protocols import CatalogueUnreadable
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.discovery.protocols import EntryUnreadable
from goldcreststair.components.evacuation.errors import EvacuationUnreadable
from goldcreststair.components.jobs.errors import JobError, JobProblem
from goldcreststair.components.jobs.models import JobItem
from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.gateway import Gateway
from goldcreststair.gateway_core import GatewayAdapter, GatewayCore
from goldcreststair.gateway_settings import DEFAULT_SHARED_FEATURES, GatewaySettings
from goldcreststair.helpers.api_keys import hash_key
from goldcreststair.helpers.refusals import Refusal
from goldcreststair.meters import Meters
from goldcreststair.store.contact import StoreContact
from goldcreststair.store.metered import MeteredStore
from goldcreststair.store.rows import RowKey
from goldcreststair.upstreams.dialect import RunHead
from standins.datagrams import FakeDatagramNetwork, FakeDatagrams
from standins.network import FakeNetwork
from standins.rows import FakeRowStore, StoreView
from standins.run_engines import HEADER_PARTS, RunEngine, RunEngines, read_prompt_parts

CATALOGUE_ROW: Final = RowKey("operators", "", "catalogue")
EVACUATION_PREFIX: Final = "evacuation "
TABLE_ENGINES: Final = "engines"
HOST: Final = "host.example"
PEER_PORT: Final = 7000


class PlainCatalogueReader:
    """Decodes the JSON catalogues of `GatewayFleet.write_catalogue`."""

    row = CATALOGUE_ROW

    def decode(self, document: bytes) -> Result[Catalogue, CatalogueUnreadable]:
        """Decode one version of the catalogue."""
        try:
            raw = orjson.loads(document)
            routes = tuple(_read_route(route) for route in raw["routes"])
            customers = [_read_customer(customer) for customer in raw["customers"]]
            return Ok(
                Catalogue(
                    raw["version"],
                    routes,
                    {
                        name: Service(name, 180, 8, **terms)
                        for name, terms in raw["services"].items()
                    },
                    {customer.name: customer for customer in customers},
                    {hash_key(key): name for key, name in raw["keys"].items()},
                    by_host=index_routes(routes),
                )
            )
        except (ValueError, KeyError, TypeError) as error:
            return Err(CatalogueUnreadable(repr(error), "document"))


def _read_route(raw: Mapping[str, Any]) -> Route:
    batch = raw.get("batch")
    return Route(
        name=raw["prefix"],
        host=HOST,
        prefix=raw["prefix"],
        kind=CallKind(raw["kind"]),
        services=(WeightedService(raw.get("service", "engine"), 1.0),),
        timeout_ms=raw.get("timeout_ms", 5_000),
        objective_ms=300,
        max_attempts=raw.get("max_attempts", 2),
        resumable=raw.get("resumable", False),
        batch=BatchTerms(**batch) if batch else None,
        regions=frozenset(raw.get("regions", ())),
    )


def _read_customer(raw: Mapping[str, Any]) -> CatalogueCustomer:
    return CatalogueCustomer(**{**raw, "regions": frozenset(raw.get("regions", ()))})


DEFAULT_ROUTES: Final[tuple[Mapping[str, Any], ...]] = (
    {"prefix": "/stream/", "kind": "streaming", "resumable": True},
    {"prefix": "/once/", "kind": "streaming", "max_attempts": 1},
    {"prefix": "/call/", "kind": "idempotent"},
    {"prefix": "/book/", "kind": "non_idempotent"},
    {
        "prefix": "/batch/",
        "kind": "batch",
        "max_attempts": 3,
        "batch": {"due_ms": 18_000, "max_wait_ms": 60_000, "max_waiting_tokens": 0},
    },
)


class PlainEvacuationReader:
    """Decodes the rows that `GatewayFleet.evacuate` writes."""

    def is_evacuation(self, key: RowKey) -> bool:
        """Return whether a row of the operators' table marks an evacuation."""
        return key.key.startswith(EVACUATION_PREFIX)

    def decode(self, key: RowKey) -> Result[str, EvacuationUnreadable]:
        """Return the name of the data centre."""
        name = key.key.removeprefix(EVACUATION_PREFIX)
        return Ok(name) if name else Err(EvacuationUnreadable("no name", "key"))


class PlainUpstreamReader:
    """Decodes the JSON entries of engines that `GatewayFleet.register` writes."""

    table = TABLE_ENGINES

    def decode(self, name: str, value: bytes) -> Result[UpstreamEntry, EntryUnreadable]:
        """Decode an entry."""
        try:
            return Ok(UpstreamEntry(name, **orjson.loads(value)))
        except (ValueError, TypeError) as error:
            return Err(EntryUnreadable(repr(error), "entry"))


class PlainSubmissionReader:
    """Decodes a submission with one item id, number of tokens and optional prompt parts per line."""

    def decode(self, body: bytes) -> Result[tuple[JobItem, ...], JobError]:
        """Return the items."""
        items = []
        for line in body.decode().splitlines():
            name, _, rest = line.partition(" ")
            tokens, _, parts = rest.partition(" ")
            if not tokens.isdecimal():
                return Err(JobError("no tokens", JobProblem.INVALID, name))
            headers = ((HEADER_PARTS, parts),) if parts else ()
            items.append(JobItem(name, f"/batch/{name}", headers, name.encode(), int(tokens)))
        return Ok(tuple(items))

    def read_prompt_parts(self, item: JobItem) -> tuple[str, ...]:
        """Return the names of an item's prompt parts."""
        return read_prompt_parts(item.headers)


@dataclass(slots=True)
class FakeResponder:
    """Caller that records its response; implements `Responder`."""

    clock: Clock
    head: RunHead | None = None
    body: bytes = b""
    whole: bool = False
    refusal: Refusal | None = None
    aborted: bool = False
    accepted: bool = False
    ended_at: Millis = Millis(0)
    event_times: list[Millis] = field(default_factory=list)

    def begin(self, head: RunHead) -> None:
        """Record the head of a stream."""
        assert self.head is None, "a stream has one head"
        self.head = head

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Record a part of the body."""
        self.event_times.append(self.clock.now())
        self.body += data
        return None

    def finish(self) -> None:
        """Record the end."""
        self.whole = True
        self.ended_at = self.clock.now()

    def answer(self, head: RunHead, body: bytes) -> None:
        """Record a complete answer."""
        self.head, self.body, self.whole = head, body, True
        self.ended_at = self.clock.now()

    def accept(self) -> None:
        """Record an acceptance."""
        self.accepted = True
        self.ended_at = self.clock.now()

    def refuse(self, refusal: Refusal) -> None:
        """Record a refusal."""
        self.refusal = refusal
        self.ended_at = self.clock.now()

    def abort(self) -> None:
        """Record a closed connection."""
        self.aborted = True
        self.ended_at = self.clock.now()


@dataclass(slots=True)
class FleetMember:
    """One gateway daemon of a fleet."""

    gateway: Gateway
    view: StoreView
    datagrams: FakeDatagrams

    @property
    def core(self) -> GatewayCore:
        """Its core."""
        return self.gateway.core

    @property
    def address(self) -> str:
        """Its IP address."""
        return self.core.settings.address

    def read(self, section: Any) -> Any:
        """Return a section of its blackboard."""
        return self.core.blackboard.read(section)


@dataclass(slots=True)
class GatewayFleet:
    """Daemons that share a store, a network and engines."""

    clock: Clock
    store: FakeRowStore
    network: FakeNetwork
    datagrams: FakeDatagramNetwork
    engines: RunEngines
    regions: Mapping[str, str] = field(default_factory=dict)
    """Region of each data centre; if empty, all are in one region."""
    features: str = ""
    shared_machine_features: str = DEFAULT_SHARED_FEATURES
    """Settings of the daemons about optional features."""
    members: list[FleetMember] = field(default_factory=list)
    _started: int = 0
    _requests: int = 0

    def write_catalogue(
        self,
        version: int = 1,
        routes: tuple[Mapping[str, Any], ...] = DEFAULT_ROUTES,
        customers: tuple[Mapping[str, Any], ...] = ({"name": "club"},),
        keys: Mapping[str, str] | None = None,
        cold: Mapping[str, float] | None = None,
        services: tuple[str, ...] = ("engine",),
    ) -> None:
        """Write a version of the catalogue as operators do."""
        keys = {"key-club": "club"} if keys is None else keys
        document = {
            "version": version,
            "routes": routes,
            "services": {service: cold or {} for service in services},
            "customers": customers,
            "keys": keys,
        }
        self.store.put(CATALOGUE_ROW, orjson.dumps(document))

    def evacuate(self, data_centre: str) -> None:
        """Evacuate a data centre as operators do, so that its engines get no new work."""
        self.store.put(RowKey(CATALOGUE_ROW.table, "", EVACUATION_PREFIX + data_centre), b"{}")

    def end_evacuation(self, data_centre: str) -> None:
        """End the evacuation of a data centre."""
        self.store.drop(RowKey(CATALOGUE_ROW.table, "", EVACUATION_PREFIX + data_centre))

    def register(self, engine: RunEngine, *, draining: bool = False) -> None:
        """Write an engine's entry."""
        entry = {
            "service": engine.service,
            "address": engine.address,
            "data_centre": engine.data_centre,
            "slots": engine.slots,
            "draining": draining,
            "started_ms": 1 + engine.restarts,
            "cold_ms": max(0, engine.cold_until - self.clock.now()),
            "software_version": engine.software,
        }
        self.store.put(RowKey(TABLE_ENGINES, "", engine.name), orjson.dumps(entry))

    def unregister(self, engine: RunEngine) -> None:
        """Remove an engine's entry."""
        self.store.drop(RowKey(TABLE_ENGINES, "", engine.name))

    def restart_engines(self) -> None:
        """Restart all engines that are down and register them as new ones."""
        for engine in self.engines.by_address.values():
            if not engine.up:
                engine.up, engine.restarts = True, engine.restarts + 1
                self.register(engine)

    def replace_engine(self, engine: RunEngine, *, renamed: bool) -> RunEngine:
        """Start an engine again that has ended, at its address; its runs end with it."""
        engine.up = engine.unreachable = False
        restarts = engine.restarts + 1
        name = f"{engine.name.partition('.')[0]}.{restarts}" if renamed else engine.name
        started = self.engines.add(
            RunEngine(
                name,
                engine.address,
                engine.service,
                engine.data_centre,
                engine.slots,
                software=engine.software,
                restarts=restarts,
            )
        )
        self.register(started)
        return started

    def add_engines(self, count: int) -> list[RunEngine]:
        """Add engines and register them."""
        first = len(self.engines.by_address)
        engines = [
            RunEngine(f"e{n}", f"10.9.0.{n + 1}:80", data_centre=f"dc{n % 3}")
            for n in range(first, first + count)
        ]
        for engine in engines:
            self.engines.add(engine)
            self.register(engine)
        return engines

    async def async_add(self, address: str = "") -> FleetMember:
        """Start one more daemon at `address`, or at a new address."""
        self._started += 1
        number = self._started
        address = address or f"10.0.0.{number}"
        view, datagrams = self.store.view(), self.datagrams.join(address)
        data_centre = f"dc{number % 3}"
        settings = GatewaySettings(
            address,
            data_centre,
            "10.8.0.1:1",
            region=self.regions.get(data_centre, "default"),
            data_centre_regions=",".join(f"{dc}={name}" for dc, name in self.regions.items()),
            front=f"{address}:80",
            peer_port=PEER_PORT,
            features=self.features,
            shared_machine_features=self.shared_machine_features,
        )
        meters, contact = Meters(), StoreContact(self.clock)
        adapter = GatewayAdapter(
            MeteredStore(view, meters, contact),
            PlainCatalogueReader(),
            PlainEvacuationReader(),
            PlainUpstreamReader(),
            PlainSubmissionReader(),
        )
        core = GatewayCore(
            settings=settings,
            clock=self.clock,
            random=random.Random(number),
            blackboard=Blackboard(),
            adapter=adapter,
            runner=self.engines,
            meters=meters,
            clients=ClientBudget(self.clock, compute_limits(settings.memory_mb), meters),
            store_contact=contact,
            datagrams=datagrams,
            transport=self.network.join(address),
            session_id=f"{number:016x}",
        )
        member = FleetMember(Gateway(core), view, datagrams)
        await member.gateway.async_start()
        self.members.append(member)
        return member

    async def async_add_many(self, count: int) -> list[FleetMember]:
        """Start several daemons."""
        return [await self.async_add() for _ in range(count)]

    async def async_kill(self, member: FleetMember) -> None:
        """End a daemon without notice; nothing that it sends arrives any more."""
        self.members.remove(member)
        member.view.cut = True
        member.datagrams.closed = True
        self.datagrams.stop_listening(member.address)
        await member.gateway.async_close()

    async def async_wait(self, condition: Callable[[], bool], limit_ms: int) -> int:
        """Wait until the condition holds; returns the duration in ms or raises `TimeoutError`."""
        started_at = self.clock.now()
        while not condition():
            if self.clock.now() - started_at > limit_ms:
                raise TimeoutError(f"not within {limit_ms} ms")
            await self.clock.async_sleep(5)
        return self.clock.now() - started_at

    async def async_close(self) -> None:
        """Stop all daemons."""
        await asyncio.gather(*(member.gateway.async_close() for member in self.members))
        self.members.clear()

    def make_request(
        self,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 5_000,
        request_id: str = "",
        resumed: tuple[str, int] = ("", 0),
        parts: tuple[str, ...] = (),
        key: str = "key-club",
    ) -> CallerRequest:
        """Return a caller's request; `resumed` names the attempt that began the stream and its last event."""
        self._requests += 1
        return CallerRequest(
            request_id=request_id or f"r{self._requests}",
            method="POST",
            host=HOST,
            path=path,
            target=path,
            headers=((HEADER_PARTS, ",".join(parts)),) if parts else (),
            body=body,
            key=key,
            deadline_ms=deadline_ms,
            arrived_at=self.clock.now(),
            begun_as=resumed[0],
            resume_after=resumed[1],
            prompt_parts=parts,
        )


def make_fleet(clock: Clock) -> GatewayFleet:
    """Return a fleet with a catalogue but without daemons and engines."""
    fleet = GatewayFleet(
        clock,
        FakeRowStore(clock),
        FakeNetwork(clock),
        FakeDatagramNetwork(clock),
        RunEngines(clock),
    )
    fleet.write_catalogue()
    return fleet

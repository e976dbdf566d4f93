"""Reports this VM's counts to the customers' owners, and keeps owned histories in the ledger."""

import asyncio
import logging
from collections.abc import Sequence

from result import Err, Ok, Result

from goldcreststair.components.configuration.models import CONFIGURATION, Objective
from goldcreststair.components.ledger.protocols import LEDGER, Partition
from goldcreststair.components.membership.models import MEMBERS
from goldcreststair.components.peers.protocols import PEERS, PeerMessage
from goldcreststair.components.service_level import const
from goldcreststair.components.service_level.burn import compute_burn
from goldcreststair.components.service_level.errors import LevelUnavailable
from goldcreststair.components.service_level.history import CustomerHistory, decode_history
from goldcreststair.components.service_level.models import Burn, Counts
from goldcreststair.components.service_level.recorder import LevelRecorder, Report
from goldcreststair.components.service_level.records import (
    load_history,
    make_changes,
    make_key,
)
from goldcreststair.core import Core
from goldcreststair.wire.generated.service_level.ttypes import (
    LevelQuery,
    LevelQueryAnswer,
    LevelReport,
    LevelReportAnswer,
    ObjectiveCounts,
)

_LOGGER = logging.getLogger(__name__)


class ServiceLevels:
    """Implements `RequestObserver`, and computes burn rates for operators."""

    def __init__(self, core: Core) -> None:
        """Create the service and register its messages; nothing is sent yet."""
        self._core = core
        self._ledger = core.get(LEDGER)
        self._peers = core.get(PEERS)
        self._recorder = LevelRecorder()
        self._report_task: asyncio.Task[None] | None = None
        self._peers.register(const.NUMBER_LEVEL_REPORT, LevelReport, self._async_on_report)
        self._peers.register(const.NUMBER_LEVEL_REPORT_ANSWER, LevelReportAnswer, None)
        self._peers.register(const.NUMBER_LEVEL_QUERY, LevelQuery, self._async_on_query)
        self._peers.register(const.NUMBER_LEVEL_QUERY_ANSWER, LevelQueryAnswer, None)

    async def async_start(self) -> None:
        """Start to report periodically."""
        self._report_task = asyncio.create_task(self._async_report_forever())

    async def async_close(self) -> None:
        """Stop, and report the remaining counts."""
        if self._report_task is None:
            return
        self._report_task.cancel()
        self._report_task = None
        await self.async_report()

    def observe(self, customer: str, first_token_ms: int | None) -> None:
        """Count one request; None means it failed through no fault of the customer."""
        self._recorder.observe(customer, first_token_ms, self._objectives)

    async def async_report(self) -> None:
        """Send every report that its owner has not confirmed yet."""
        for report in self._recorder.collect_reports():
            if await self._async_send(report):
                self._recorder.confirm(report)

    async def async_compute_burns(self) -> Result[list[Burn], LevelUnavailable]:
        """Return the burn rates of every customer; the error names customers without an answer."""
        burns: list[Burn] = []
        missing: list[str] = []
        for customer in sorted(self._core.blackboard.read(CONFIGURATION).customers):
            history = await self._async_fetch(customer)
            if history is None:
                missing.append(customer)
            else:
                burns.extend(self._compute(customer, history))
        if missing:
            return Err(LevelUnavailable("owners did not answer", tuple(missing), tuple(burns)))
        return Ok(burns)

    @property
    def _objectives(self) -> Sequence[Objective]:
        return self._core.blackboard.read(CONFIGURATION).objectives

    def _compute(self, customer: str, history: CustomerHistory) -> list[Burn]:
        utc_s = self._core.clock.read_utc_s()
        own = [o for o in self._objectives if o.customer in ("*", customer)]
        return [compute_burn(customer, objective, history, utc_s) for objective in own]

    async def _async_report_forever(self) -> None:
        while True:
            # Jitter keeps the VMs of a fleet that started together from reporting at the same time.
            half_ms = self._compute_interval() // 2
            jitter_ms = self._core.random.randrange(half_ms)
            await self._core.clock.async_sleep(half_ms + jitter_ms)
            await self.async_report()

    def _compute_interval(self) -> int:
        members = len(self._core.blackboard.read(MEMBERS).by_session)
        return max(const.REPORT_INTERVAL_MS, members * const.REPORT_INTERVAL_PER_MEMBER_MS)

    async def _async_send(self, report: Report) -> bool:
        owner = self._ledger.find_owner(self._ledger.find_index(make_key(report.customer)))
        if owner is None:
            return False
        if owner == self._core.session_id:
            return await self._async_count(owner, report)
        counts = [ObjectiveCounts(name, c.good, c.total) for name, c in report.counts]
        message = LevelReport(report.customer, report.sequence, counts, report.histogram)
        answer = await self._peers.async_request(owner, message, const.REPORT_TIMEOUT_MS)
        return isinstance(answer, Ok) and bool(answer.ok_value.counted)

    async def _async_on_report(self, sender: str, message: PeerMessage) -> PeerMessage:
        counts = tuple((c.objective, Counts(c.good, c.total)) for c in message.counts)
        report = Report(message.customer, message.sequence, counts, message.histogram)
        return LevelReportAnswer(await self._async_count(sender, report))

    async def _async_count(self, sender: str, report: Report) -> bool:
        partition = self._find_owned(report.customer)
        if partition is None:
            return False
        history = load_history(partition, report.customer)
        if not history.add(sender, report, self._core.clock.read_utc_s()):
            return True
        history.forget_sessions(frozenset(self._core.blackboard.read(MEMBERS).by_session))
        changes = make_changes(partition, report.customer, history)
        committed = await partition.async_commit(changes, const.COMMIT_TIMEOUT_MS)
        if isinstance(committed, Err):
            _LOGGER.info(
                "Report of %s could not be committed: %s", sender, committed.err_value.message
            )
        return isinstance(committed, Ok)

    async def _async_fetch(self, customer: str) -> CustomerHistory | None:
        partition = self._find_owned(customer)
        if partition is not None:
            return load_history(partition, customer)
        owner = self._ledger.find_owner(self._ledger.find_index(make_key(customer)))
        if owner is None or owner == self._core.session_id:
            return None
        answer = await self._peers.async_request(
            owner, LevelQuery(customer), const.QUERY_TIMEOUT_MS
        )
        if isinstance(answer, Err) or not answer.ok_value.owned:
            return None
        return decode_history(answer.ok_value.levels)

    async def _async_on_query(self, sender: str, message: PeerMessage) -> PeerMessage:
        partition = self._find_owned(message.customer)
        if partition is None:
            return LevelQueryAnswer(False, b"")
        return LevelQueryAnswer(True, load_history(partition, message.customer).encode())

    def _find_owned(self, customer: str) -> Partition | None:
        return self._ledger.get_owned(self._ledger.find_index(make_key(customer)))

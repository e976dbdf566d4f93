"""Collects journal events about a subject from all members."""

import asyncio
from typing import Final

import orjson
from result import Err

from goldcreststair.components.explain import const
from goldcreststair.components.explain.models import Explanation, Step
from goldcreststair.components.membership.models import MEMBERS
from goldcreststair.components.peers.protocols import PEERS, PeerMessage
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import ComponentKey, Core, PassiveComponent
from goldcreststair.journal import Subject
from goldcreststair.wire.generated.explain.ttypes import JournalAnswer, JournalEvent, JournalQuery


class Explainer(PassiveComponent):
    """Collects explanations; queries other members only when an operator asks."""

    def __init__(self, core: Core) -> None:
        """Register the peer messages."""
        self._core = core
        self._peers = core.get(PEERS)
        self._peers.register(const.NUMBER_JOURNAL_QUERY, JournalQuery, self._async_on_query)
        self._peers.register(const.NUMBER_JOURNAL_ANSWER, JournalAnswer, None)

    async def async_explain(self, subject: Subject, subject_id: str) -> Explanation:
        """Return the decisions of every reachable member about one subject."""
        own = self._core.session_id
        others = [name for name in self._core.blackboard.read(MEMBERS).by_session if name != own]
        semaphore = asyncio.Semaphore(const.PARALLEL_QUERIES)
        query = JournalQuery(subject.value, subject_id)
        found = await asyncio.gather(
            *(self._async_query(name, query, semaphore) for name in others)
        )
        steps = self._find_own(subject, subject_id)
        for answer in found:
            steps.extend(answer or ())
        silent = [name for name, answer in zip(others, found, strict=True) if answer is None]
        return Explanation(tuple(sorted(steps, key=lambda step: step.at_utc_s)), tuple(silent))

    async def _async_query(
        self, session_id: str, query: JournalQuery, semaphore: asyncio.Semaphore
    ) -> list[Step] | None:
        async with semaphore:
            answer = await self._peers.async_request(session_id, query, const.QUERY_TIMEOUT_MS)
        if isinstance(answer, Err):
            return None
        return [
            Step(session_id, event.at_utc_s, event.choice, event.reason, orjson.loads(event.seen))
            for event in answer.ok_value.events
        ]

    async def _async_on_query(self, sender: str, message: PeerMessage) -> PeerMessage:
        steps = self._find_own(Subject(message.subject), message.subject_id)
        return JournalAnswer(
            [
                JournalEvent(step.at_utc_s, step.choice, step.reason, orjson.dumps(step.seen))
                for step in steps
            ]
        )

    def _find_own(self, subject: Subject, subject_id: str) -> list[Step]:
        clock = self._core.clock
        start_s = clock.read_utc_s() - clock.now() / MS_PER_SECOND
        events = list(self._core.journal.find(subject, subject_id))[-const.MAX_EVENTS_PER_VM :]
        return [
            Step(
                self._core.session_id,
                start_s + event.at_ms / MS_PER_SECOND,
                event.choice,
                event.reason,
                event.seen,
            )
            for event in events
        ]


EXPLAINER: Final = ComponentKey[Explainer]("explainer")

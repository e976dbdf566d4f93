"""Decisions of the owner of a key; no I/O."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from goldcreststair.components.claims.models import (
    AnswerCode,
    ClaimRecord,
    ClaimState,
    Ending,
    StoredOutcome,
)


@dataclass(frozen=True, slots=True)
class Decision:
    """An answer, and the record to make durable before it is sent."""

    code: AnswerCode
    write: ClaimRecord | None = None
    remove: bool = False


def decide_claim(
    found: ClaimRecord | None, new_record: ClaimRecord, is_gone: Callable[[str], bool]
) -> Decision:
    """Decide on a claim; `new_record` is the record that a grant would write."""
    if found is None:
        return Decision(AnswerCode.GRANTED, new_record)
    if found.fingerprint != new_record.fingerprint:
        return Decision(AnswerCode.MISMATCH)
    if found.state is ClaimState.DONE:
        return Decision(AnswerCode.FINISHED)
    if found.state is ClaimState.RUNNING:
        if (found.request_id, found.runner) == (new_record.request_id, new_record.runner):
            # The answer to the first message was lost and the requester sent it again. The grant is
            # its own, and it has not run the request yet, as it has not seen the answer.
            return Decision(AnswerCode.GRANTED, found)
        if not is_gone(found.runner):
            return Decision(AnswerCode.JOINED)
    return _decide_lost_run(found, new_record)


def _decide_lost_run(found: ClaimRecord, new_record: ClaimRecord) -> Decision:
    if found.repeatable and new_record.repeatable:
        return Decision(AnswerCode.GRANTED, new_record)
    if found.state is ClaimState.UNKNOWN:
        return Decision(AnswerCode.OUTCOME_UNKNOWN)
    return Decision(AnswerCode.OUTCOME_UNKNOWN, replace(found, state=ClaimState.UNKNOWN))


def decide_ending(
    found: ClaimRecord | None,
    ending: Ending,
    holder: tuple[str, str, str],
    outcome: StoredOutcome | None,
) -> Decision:
    """Decide on an ending; `holder` is its sender's session, claim id (or "") and request id."""
    if found is None:
        # A release that is sent again has already removed the record.
        return Decision(AnswerCode.ENDED if ending is Ending.RELEASED else AnswerCode.TAKEN)
    session, claim_id, request_id = holder
    if claim_id:
        is_holder = found.claim_id == claim_id
    else:
        is_holder = (found.runner, found.request_id) == (session, request_id)
    if not is_holder:
        return Decision(AnswerCode.TAKEN)
    if ending is Ending.SETTLED:
        # An outcome that arrives after the claim was marked as unknown replaces that state: the
        # claim id shows that no other run was granted meanwhile.
        if found.state is ClaimState.DONE:
            return Decision(AnswerCode.ENDED)
        done = replace(found, state=ClaimState.DONE, outcome=outcome)
        return Decision(AnswerCode.ENDED, done)
    if found.state is not ClaimState.RUNNING:
        return Decision(AnswerCode.ENDED)
    if ending is Ending.RELEASED:
        return Decision(AnswerCode.ENDED, remove=True)
    return Decision(AnswerCode.ENDED, replace(found, state=ClaimState.UNKNOWN))


def decide_wait(
    found: ClaimRecord | None, fingerprint: str, is_gone: Callable[[str], bool]
) -> Decision:
    """Decide on the answer to a VM that waits for a run that it joined."""
    if found is None or found.fingerprint != fingerprint:
        return Decision(AnswerCode.GONE)
    if found.state is ClaimState.DONE:
        return Decision(AnswerCode.FINISHED)
    if found.state is ClaimState.RUNNING and not is_gone(found.runner):
        return Decision(AnswerCode.WAITING)
    if found.repeatable:
        return Decision(AnswerCode.GONE)
    unknown = replace(found, state=ClaimState.UNKNOWN)
    return Decision(AnswerCode.OUTCOME_UNKNOWN, unknown if unknown != found else None)

"""What the owner of a key decides; no I/O."""

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
    """An answer, and the record to make durable before it is given."""

    code: AnswerCode
    write: ClaimRecord | None = None
    remove: bool = False


def decide_claim(
    found: ClaimRecord | None, wanted: ClaimRecord, is_gone: Callable[[str], bool]
) -> Decision:
    """Decide on a claim; `wanted` is the record that a grant would write."""
    if found is None:
        return Decision(AnswerCode.GRANTED, wanted)
    if found.fingerprint != wanted.fingerprint:
        return Decision(AnswerCode.MISMATCH)
    if found.state is ClaimState.DONE:
        return Decision(AnswerCode.FINISHED)
    if found.state is ClaimState.RUNNING:
        if (found.request_id, found.runner) == (wanted.request_id, wanted.runner):
            # The answer to the first message was lost and the asker sends it again: the grant is
            # its own, and it has not run yet, as it never had the answer.
            return Decision(AnswerCode.GRANTED, found)
        if not is_gone(found.runner):
            return Decision(AnswerCode.JOINED)
    return _decide_lost_run(found, wanted)


def _decide_lost_run(found: ClaimRecord, wanted: ClaimRecord) -> Decision:
    if found.repeatable and wanted.repeatable:
        return Decision(AnswerCode.GRANTED, wanted)
    if found.state is ClaimState.UNKNOWN:
        return Decision(AnswerCode.OUTCOME_UNKNOWN)
    return Decision(AnswerCode.OUTCOME_UNKNOWN, replace(found, state=ClaimState.UNKNOWN))


def decide_ending(
    found: ClaimRecord | None,
    ending: Ending,
    holder: tuple[str, str, str],
    outcome: StoredOutcome | None,
) -> Decision:
    """Decide on an ending; `holder` is the asker's session, claim id (may be empty), request id."""
    if found is None:
        # A release that is sent again finds its work done.
        return Decision(AnswerCode.ENDED if ending is Ending.RELEASED else AnswerCode.TAKEN)
    session, claim_id, request_id = holder
    if claim_id:
        held = found.claim_id == claim_id
    else:
        held = (found.runner, found.request_id) == (session, request_id)
    if not held:
        return Decision(AnswerCode.TAKEN)
    if ending is Ending.SETTLED:
        # An outcome that comes after the claim was marked unknown is the truth and replaces it:
        # the claim id shows that no other run was granted meanwhile.
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
    """Decide on what a VM that joined a run is told now."""
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

"""Which request a crash is attributed to."""

from goldcreststair.components.membership.protocols import SHARED_SETS
from goldcreststair.components.quarantine.controller import QuarantineController
from tests.helpers.cores import make_core
from tests.helpers.shared_sets import FakeSharedSets
from tests.helpers.virtual_time import ManualClock


def make_controller(shared: FakeSharedSets) -> QuarantineController:
    core = make_core(clock=ManualClock())
    core.offer(SHARED_SETS, shared)
    return QuarantineController(core)


def crash(quarantine: QuarantineController, upstream: str, *fingerprints: str) -> None:
    for fingerprint in fingerprints:
        quarantine.begin(upstream, f"r-{fingerprint}", fingerprint)
    for fingerprint in fingerprints:
        quarantine.report_crash(upstream, f"r-{fingerprint}")
        quarantine.end(upstream, f"r-{fingerprint}", ok=False)


def test_one_crash_counts_against_no_single_request() -> None:
    """One crash breaks three connections, reported one after the other.

    If each report counted as a crash, the last request would seem to have crashed alone, and
    after two such crashes an innocent request would be refused on the whole fleet.
    """
    quarantine = make_controller(FakeSharedSets())
    for _ in range(3):
        crash(quarantine, "e1", "a", "b", "c")
    assert all(quarantine.is_suspect(fingerprint) for fingerprint in "abc")
    assert not any(quarantine.is_quarantined(fingerprint) for fingerprint in "abc")


def test_suspicion_is_shared_with_other_vms() -> None:
    """A request crashes as the only suspect on one VM and is resent to another VM.

    If the count restarted there, it would crash twice as many upstreams. The second such crash
    must quarantine it on every VM; a suspect that completes is cleared.
    """
    shared = FakeSharedSets()
    first, second = make_controller(shared), make_controller(shared)
    crash(first, "e1", "bad", "good")
    crash(first, "e2", "bad")
    first.begin("e3", "r-good", "good")
    first.end("e3", "r-good", ok=True)
    assert not first.is_suspect("good")
    assert second.is_suspect("bad")
    crash(second, "e3", "bad")
    assert first.is_quarantined("bad")
    assert not first.is_quarantined("good")

"""A version reaches all VMs within seconds and is never replaced by an older one."""

import asyncio
import dataclasses
from typing import Any

import pytest
from result import Err, Ok

from goldcreststair.clock import LoopClock
from goldcreststair.components.configuration.const import DEFAULT_POLL_MS, ROW_CURRENT
from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.configuration.errors import (
    DocumentInvalid,
    StoreUnavailable,
    VersionStale,
)
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.configuration.store import ConfigurationStore
from goldcreststair.store.models import ListedState, ListedVm, Row
from standins.daemons import FakeDaemon, FakeDaemons
from standins.platform.store import FakePlatform
from tests.helpers.cores import make_document
from tests.helpers.daemons import run_fleet, share_platform
from tests.helpers.virtual_time import run_virtual

HASH = "a" * 64


def read_version(daemon: FakeDaemon) -> int:
    return daemon.core.blackboard.read(CONFIGURATION).version


async def async_patch(daemon: FakeDaemon, base: int, patch_id: str, patch: Any) -> Any:
    """Patch the configuration as the operators' API does."""
    return await daemon.core.get(CONFIGURATION_FOLLOWER).async_patch(base, patch_id, patch)


@pytest.mark.parametrize(("count", "store_down"), [(3, False), (40, False), (40, True)])
def test_patch_is_in_force_everywhere_within_seconds(count: int, store_down: bool) -> None:
    """The store may go down right after the patch, so that peers have to pass it on."""

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await fleet.async_add_many(count)
        await asyncio.sleep(20)
        assert isinstance(await async_patch(daemons[0], 0, "p1", make_document()), Ok)
        fleet.platform.faults.down = store_down
        took_ms = await fleet.async_wait(lambda: {read_version(d) for d in daemons} == {1}, 3000)
        assert took_ms < DEFAULT_POLL_MS

    run_fleet(async_test)


def test_patch_by_unreachable_vm_is_found_by_polling() -> None:
    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await fleet.async_add_many(3)
        await asyncio.sleep(20)
        fleet.isolate(daemons[0])
        await async_patch(daemons[0], 0, "p1", make_document())
        await fleet.async_wait(lambda: {read_version(d) for d in daemons} == {1}, 11_000)

    run_fleet(async_test)


def test_new_vm_in_an_outage_gets_the_highest_version_from_peers() -> None:
    """A VM starts while the table is down.

    With no configuration or an old one it would accept withdrawn keys, so it is not ready until a
    peer has sent it the version in force.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await fleet.async_add_many(3)
        await asyncio.sleep(10)
        await async_patch(daemons[0], 0, "p1", make_document())
        await async_patch(daemons[0], 1, "p2", {"withdrawn": {HASH: True}})
        await asyncio.sleep(3)
        table, listing = FakePlatform(fleet.clock), FakePlatform(fleet.clock)
        table.faults.down = True
        listing.set_vms([ListedVm(daemons[1].address, "dc1", ListedState.LIVE)])
        partial_platform = dataclasses.replace(listing.as_platform(), table=table)
        newcomer = await fleet.async_add(partial_platform)
        assert read_version(newcomer) == 0
        await fleet.async_wait(lambda: read_version(newcomer) == 2, 11_000)
        table.faults.down = False
        await asyncio.sleep(30)
        assert read_version(newcomer) == 2

    run_fleet(async_test)


@pytest.mark.parametrize("fault", ["emptied", "older"])
def test_older_or_empty_store_never_replaces_the_configuration(fault: str) -> None:
    """The platform's table is restored from an old copy, or is empty after an outage."""

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await fleet.async_add_many(3)
        await async_patch(daemons[0], 0, "p1", make_document())
        old = fleet.platform.rows[ROW_CURRENT]
        await async_patch(daemons[0], 1, "p2", {"withdrawn": {HASH: True}})
        await asyncio.sleep(5)
        if fault == "emptied":
            del fleet.platform.rows[ROW_CURRENT]
        else:
            fleet.platform.rows[ROW_CURRENT] = Row(ROW_CURRENT, 1, old.value)
        await asyncio.sleep(30)
        assert {read_version(d) for d in daemons} == {2}

    run_fleet(async_test)


def make_store() -> tuple[FakePlatform, ConfigurationStore]:
    """Return a platform and a store on it without a fleet; needs a running event loop."""
    platform = FakePlatform(LoopClock())
    return platform, ConfigurationStore(platform)


def test_patch_sent_again_is_not_applied_twice() -> None:
    """An operator's patch takes effect and its answer is lost.

    Another operator applies a patch after it. The first sends its patch again with the same id and
    must be told that it was applied and as which version; nothing may change.
    """

    async def async_test() -> None:
        platform, store = make_store()
        platform.faults.lose_answers = 1
        first = await store.async_patch(0, "p1", make_document())
        assert first.unwrap().version == 1
        assert (await store.async_patch(1, "p2", {"models": {"small": "2"}})).unwrap().version == 2
        again = (await store.async_patch(0, "p1", make_document())).unwrap()
        assert (again.version, again.configuration.version) == (1, 2)
        assert again.configuration.models == {"small": "2"}
        history = (await store.async_read_history()).unwrap()
        assert [(entry.version, entry.patch_id) for entry in history] == [(1, "p1"), (2, "p2")]

    run_virtual(async_test())


def test_stale_patch_is_refused_with_the_current_version() -> None:
    async def async_test() -> None:
        _, store = make_store()
        await store.async_patch(0, "p1", make_document())
        refused = await store.async_patch(0, "p2", {"models": {"small": "2"}})
        assert isinstance(refused, Err)
        assert isinstance(refused.err_value, VersionStale)
        assert refused.err_value.current == 1

    run_virtual(async_test())


def test_only_one_of_two_concurrent_patches_is_applied() -> None:
    """Two operators patch the same version at once: one of them gets `VersionStale`."""

    async def async_test() -> None:
        platform, store = make_store()
        platform.faults.slow_ms = 100
        outcomes = await asyncio.gather(
            store.async_patch(0, "p1", make_document()),
            store.async_patch(0, "p2", make_document(models={"small": "1"})),
        )
        assert sorted(type(outcome).__name__ for outcome in outcomes) == ["Err", "Ok"]
        stored = (await store.async_read()).unwrap()
        assert stored.version == 1
        assert len(stored.patches) == 1

    run_virtual(async_test())


def test_patch_while_the_store_is_down_reports_that_nothing_changed() -> None:
    async def async_test() -> None:
        platform, store = make_store()
        platform.faults.down = True
        refused = await store.async_patch(0, "p1", make_document())
        assert isinstance(refused, Err)
        assert isinstance(refused.err_value, StoreUnavailable)
        assert refused.err_value.outcome_known

    run_virtual(async_test())


@pytest.mark.parametrize("patch", [{"withdrawn": None}, {"withdrawn": {HASH: None}}])
def test_withdrawn_key_cannot_be_taken_back(patch: dict[str, Any]) -> None:
    """A patch that removes a withdrawn key would let it work again on some VMs."""

    async def async_test() -> None:
        _, store = make_store()
        await store.async_patch(0, "p1", make_document(withdrawn={HASH: True}))
        refused = await store.async_patch(1, "p2", patch)
        assert isinstance(refused, Err)
        assert isinstance(refused.err_value, DocumentInvalid)
        assert refused.err_value.field == f"withdrawn.{HASH}"

    run_virtual(async_test())


@pytest.mark.parametrize(("patches", "whole_documents"), [(5, 0), (150, 1)])
def test_isolated_vm_catches_up(patches: int, whole_documents: int) -> None:
    """A VM reaches neither peers nor store while versions are made, then its peers again.

    It gets the patches that it missed, and the whole document only if its peers keep fewer.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await fleet.async_add_many(2)
        private = share_platform(fleet)
        isolated = await fleet.async_add(private.as_platform())
        await async_patch(daemons[0], 0, "p0", make_document())
        await fleet.async_wait(lambda: read_version(isolated) == 1, 11_000)
        private.faults.down = True
        fleet.isolate(isolated)
        for number in range(patches):
            patch = {"models": {f"m{number}": "1"}}
            await async_patch(daemons[0], number + 1, f"q{number}", patch)
        seen: list[Any] = []
        follower = isolated.core.get(CONFIGURATION_FOLLOWER)
        apply_copy = follower._apply_copy

        def spy(copy: Any) -> None:
            seen.append(copy)
            apply_copy(copy)

        follower._apply_copy = spy  # type: ignore[method-assign]
        fleet.network.clear_cuts()
        await fleet.async_wait(lambda: read_version(isolated) == patches + 1, 11_000)
        assert sum(copy.row is not None for copy in seen) == whole_documents
        expected = daemons[0].core.blackboard.read(CONFIGURATION)
        assert isolated.core.blackboard.read(CONFIGURATION) == expected

    run_fleet(async_test)

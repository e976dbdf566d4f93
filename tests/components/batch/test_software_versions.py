"""Tests of items whose upstream restarts with another software version."""

import pytest

from goldcreststair.components.batch.views import describe_result
from standins.engine.model import make_text
from tests.components.batch.test_failures import run
from tests.helpers.batch_fleet import BatchFleet, make_lines

ITEMS, TOKENS = 12, 400


@pytest.mark.parametrize("preempted", [True, False])
def test_item_holds_the_text_of_one_software_version(preempted: bool) -> None:
    """Guards against an item that resumes with the text of the upstream's former software."""

    async def story(fleet: BatchFleet) -> None:
        for engine in fleet.engines.values():
            engine.software = "v1"
        manifest = (await fleet.async_submit(make_lines(ITEMS, TOKENS))).unwrap()
        await fleet.clock.async_sleep(3_000)
        dispatchers = [
            dispatcher
            for service in fleet.services.values()
            for dispatcher in service.dispatchers.by_name.values()
        ]
        assert any(stream.last_index >= 0 for d in dispatchers for stream in d.running)
        if preempted:
            for dispatcher in dispatchers:
                dispatcher.preempt()
        for engine in fleet.engines.values():
            engine.crash()
            engine.software = "v2"
        await fleet.async_wait(manifest.job)
        page = (
            await next(iter(fleet.services.values())).jobs.async_page("acme", manifest.job, 0, 50)
        ).unwrap()
        assert len(page.lines) == ITEMS
        for line in page.lines:
            prompt, _ = line.custom_id.split("|")
            text = describe_result(line)["response"]["body"]["choices"][0]["text"]
            assert text in (make_text(prompt, TOKENS, "v1"), make_text(prompt, TOKENS, "v2"))

    run(story)

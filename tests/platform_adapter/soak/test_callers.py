"""Tests of the callers of the soak."""

import asyncio

import pytest

from tests.platform_adapter.soak.callers import async_read_or_none

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize("steps", range(6))
def test_a_caller_that_is_cancelled_as_its_answer_ends_is_cancelled(steps: int) -> None:
    """Guards against a soak that does not end after an error, as one caller goes on."""

    async def scenario() -> None:
        reader = asyncio.StreamReader()
        reading = asyncio.create_task(async_read_or_none(reader, 10.0))
        await asyncio.sleep(0.01)
        reader.feed_data(ANSWER)
        for _ in range(steps):
            await asyncio.sleep(0)
        has_ended = reading.done()
        reading.cancel()
        await asyncio.wait([reading])
        assert reading.cancelled() != has_ended

    asyncio.run(scenario())

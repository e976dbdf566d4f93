"""Immutable objects of jobs, written and read with retries."""

from result import Err, Ok, Result

from goldcreststair.components.batch.const import ATTEMPTS, RETRY_DELAY_MS
from goldcreststair.components.batch.errors import BatchError, BatchProblem
from goldcreststair.core import Core
from goldcreststair.store.errors import ObjectMissing, PlatformUnavailable


async def async_put_object(core: Core, name: str, content: bytes) -> Result[None, BatchError]:
    """Write an object; the names are unique to the content, so a retry is harmless."""
    for attempt in range(ATTEMPTS):
        if attempt:
            await core.clock.async_sleep(RETRY_DELAY_MS)
        put = await core.platform.objects.async_put(name, content)
        if isinstance(put, Ok):
            return put
        if isinstance(put.err_value, PlatformUnavailable):
            break
    return Err(BatchError("object store cannot be reached"))


async def async_get_object(core: Core, name: str) -> Result[bytes, BatchError]:
    """Read an object."""
    for attempt in range(ATTEMPTS):
        if attempt:
            await core.clock.async_sleep(RETRY_DELAY_MS)
        got = await core.platform.objects.async_get(name)
        if isinstance(got, Ok):
            return Ok(got.ok_value)
        if isinstance(got.err_value, ObjectMissing):
            return Err(BatchError(f"object {name} is missing", BatchProblem.MISSING))
    return Err(BatchError("object store cannot be reached"))

"""Reads ranges of rows that do not fit one page."""

from dataclasses import replace

from result import Err, Ok, Result

from goldcreststair.store.errors import PlatformError
from goldcreststair.store.rows import RowPage, RowRange, RowStore, StoredRow


async def async_read_all(store: RowStore, wanted: RowRange) -> Result[RowPage, PlatformError]:
    """Return every row of a range, with version and time of the first page.

    Rows that change while later pages are read may stand in either state; a feed that goes on from
    the first page's version brings them again.
    """
    rows: list[StoredRow] = []
    first: RowPage | None = None
    while True:
        read = await store.async_read(wanted)
        if isinstance(read, Err):
            return read
        page = read.ok_value
        first = first or page
        rows += page.rows
        if not page.truncated or not page.rows:
            return Ok(replace(first, rows=tuple(rows), truncated=False))
        wanted = replace(wanted, first=page.rows[-1].key.key + "\0")

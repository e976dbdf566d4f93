"""Reads ranges of rows, and lists of parts, that span several pages."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace

from result import Err, Ok, Result

from goldcreststair.store.errors import PlatformError
from goldcreststair.store.rows import RowPage, RowRange, RowStore, StoredRow


async def async_read_all(store: RowStore, row_range: RowRange) -> Result[RowPage, PlatformError]:
    """Return every row of a range, with version and time of the first page.

    Rows that change while later pages are read may be in either state; a feed that continues from
    the first page's version delivers them again.
    """
    rows: list[StoredRow] = []
    first: RowPage | None = None
    while True:
        read = await store.async_read(row_range)
        if isinstance(read, Err):
            return read
        page = read.ok_value
        first = first or page
        rows += page.rows
        if not page.truncated or not page.rows:
            return Ok(replace(first, rows=tuple(rows), truncated=False))
        row_range = replace(row_range, first=page.rows[-1].key.key + "\0")


async def async_list_all_parts(store: RowStore, table: str) -> Result[list[str], PlatformError]:
    """Return every part of a table."""
    parts: list[str] = []
    while True:
        listed = await store.async_list_parts(table, parts[-1] if parts else "")
        if isinstance(listed, Err):
            return listed
        page, has_more = listed.ok_value
        parts += page
        if not has_more or not page:
            return Ok(parts)


async def async_read_ranges(
    store: RowStore, ranges: Sequence[RowRange]
) -> Result[RowPage, PlatformError]:
    """Return every row of several ranges, with the oldest of their versions and its time."""
    pages: list[RowPage] = []
    for read in await asyncio.gather(*(async_read_all(store, each) for each in ranges)):
        if isinstance(read, Err):
            return read
        pages.append(read.ok_value)
    oldest = min(pages, key=lambda page: page.version)
    return Ok(replace(oldest, rows=tuple(row for page in pages for row in page.rows)))

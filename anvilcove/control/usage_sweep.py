"""Removal of the rows of windows whose reports were sent."""

from collections.abc import Iterable

from anvilcove.control.usage_counts import CountRow
from anvilcove.control.usage_rows import (
    REPORTS_TABLE,
    report_row_id,
    window_of_key,
)
from anvilcove.ports.store import (
    RowCheck,
    RowTransaction,
    StorePort,
)

# Rows that are removed in one transaction, each with a check.
MAX_REMOVALS = 40


async def sweep(
    store: StorePort, counts: Iterable[CountRow], before_window: int
) -> None:
    """Remove the rows that only concern windows before this one.

    Raises StoreUnavailable or StoreAnswerLost.
    """
    old = [
        RowCheck(row.id, row.version)
        for row in counts
        if row.newest_window < before_window
    ]
    page = await store.read_range(
        REPORTS_TABLE, '', '', report_row_id(before_window).key
    )
    for row in page.rows:
        window = window_of_key(row.id.key)
        if window is not None and window < before_window:
            old.append(RowCheck(row.id, row.version))
    by_part: dict[str, list[RowCheck]] = {}
    for check in old:
        by_part.setdefault(check.id.part, []).append(check)
    for found in by_part.values():
        for start in range(0, len(found), MAX_REMOVALS):
            chunk = found[start : start + MAX_REMOVALS]
            # Rows that were written again meanwhile stay.
            await store.transact(
                RowTransaction(
                    checks=chunk, removals=[check.id for check in chunk]
                )
            )

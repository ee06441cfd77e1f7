"""Reports of windows in the store: creation, reading and marks as sent."""

from msgspec.structs import replace

from anvilcove.control.usage_progress import PROGRESS_ROW, ReportProgress
from anvilcove.control.usage_rows import (
    REPORTS_TABLE,
    UsageReport,
    read_reports,
    report_row_id,
    report_rows,
    window_of_key,
)
from anvilcove.ports.duties import DutyNotHeld
from anvilcove.ports.errors import StoreUnavailable
from anvilcove.ports.store import (
    RowCheck,
    RowTransaction,
    StoredRow,
    StorePort,
)
from anvilcove.settings.node import NodeSettings


class ReportRows:
    """Rows of reports as the holder of the duty uses them.

    All calls raise StoreUnavailable or StoreAnswerLost.
    """

    __slots__ = ('progress', '_store', '_settings')

    def __init__(self, store: StorePort, settings: NodeSettings) -> None:
        """Read nothing yet."""
        self.progress = ReportProgress(store)
        self._store = store
        self._settings = settings

    async def create(
        self, window: int, counts: dict[str, int], fence: int, latest: int
    ) -> UsageReport | None:
        """Create the row of a window; return what the store has.

        Returns None if that cannot be decoded. Raises DutyNotHeld if another
        holder has sent the window: its row may have been removed since.
        `latest` is the current window.
        """
        report = UsageReport(window, counts, self._settings.host, fence)
        for _ in range(2):
            outcome = await self._store.transact(
                RowTransaction(
                    checks=[
                        RowCheck(report_row_id(window), 0),
                        self.progress.check(),
                    ],
                    writes=report_rows(report, self._settings.store.row_bytes),
                )
            )
            if outcome.applied:
                return report
            self._apply_progress(outcome.conflicts)
            if any(row.id != PROGRESS_ROW for row in outcome.conflicts):
                return await self.read(window)
            if window < (self.progress.sent_before(latest) or 0):
                raise DutyNotHeld(f'window {window} was sent by another')
        raise StoreUnavailable(f'report of window {window} not created')

    def _apply_progress(self, conflicts: list[StoredRow]) -> None:
        for conflict in conflicts:
            if conflict.id == PROGRESS_ROW:
                self.progress.apply(conflict)

    async def read(self, window: int) -> UsageReport | None:
        """Read the report of a window, None if it cannot be decoded."""
        key = report_row_id(window).key
        # '0' follows '/', which precedes the number of a part.
        page = await self._store.read_range(REPORTS_TABLE, '', key, key + '0')
        if not page.rows:
            raise StoreUnavailable(f'report of window {window} not read')
        found = read_reports(page.rows)
        return found[0] if found else None

    async def read_all(self) -> list[UsageReport]:
        """Read all reports, by window."""
        page = await self._store.read_range(REPORTS_TABLE, '')
        return read_reports(page.rows)

    async def read_range(self, first: int, end: int) -> list[UsageReport]:
        """Read the reports of a range of windows, in their order."""
        if end <= first:
            return []
        page = await self._store.read_range(
            REPORTS_TABLE, '', report_row_id(first).key, report_row_id(end).key
        )
        return read_reports(page.rows)

    async def windows(self, first: int, end: int) -> set[int]:
        """Return the windows of a range that have a report."""
        page = await self._store.read_range(
            REPORTS_TABLE, '', report_row_id(first).key, report_row_id(end).key
        )
        found = {window_of_key(row.id.key) for row in page.rows}
        return {window for window in found if window is not None}

    async def mark_sent(
        self, report: UsageReport, following: int, latest: int
    ) -> None:
        """Record that a report and all before `following` were sent.

        Does nothing if another holder is further. `latest` is the current
        window.
        """
        sent = replace(report, sent=True)
        for _ in range(2):
            outcome = await self._store.transact(
                RowTransaction(
                    checks=[self.progress.check()],
                    writes=[
                        *report_rows(sent, self._settings.store.row_bytes),
                        self.progress.write(following),
                    ],
                )
            )
            if outcome.applied:
                self.progress.written(following, outcome.version)
                return
            self._apply_progress(outcome.conflicts)
            if following <= (self.progress.sent_before(latest) or 0):
                return

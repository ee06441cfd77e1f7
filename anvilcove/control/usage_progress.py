"""Row that says up to which window all reports were sent."""

from msgspec import Struct, msgpack

from anvilcove.control.row_values import decode_value
from anvilcove.ports.store import (
    RowCheck,
    RowId,
    RowWrite,
    StoredRow,
    StorePort,
)

PROGRESS_TABLE = 'usage_progress'
PROGRESS_ROW = RowId(PROGRESS_TABLE, '', 'progress')
# How often a process looks up which windows were reported. All together make
# at most this number of reads, a twentieth of what the store takes.
PROGRESS_PERIOD_S = 30.0
PROGRESS_READS_PER_S = 50.0


def progress_period_s(hosts: int) -> float:
    """Return the time between two looks at what was reported."""
    return max(PROGRESS_PERIOD_S, hosts / PROGRESS_READS_PER_S)


class UsageProgress(Struct):
    """Stored row: the first window whose report is not known to be sent.

    It never falls, so the rows of the windows before it can be removed.
    """

    next_window: int


class ReportProgress:
    """The row as this process has last read or written it."""

    __slots__ = ('next_window', '_store', '_version')

    def __init__(self, store: StorePort) -> None:
        """Start without knowledge."""
        # None if there is no row, or none that can be decoded.
        self.next_window: int | None = None
        self._store = store
        self._version = 0

    async def read(self) -> None:
        """Read the row, or raise StoreUnavailable or StoreAnswerLost."""
        page = await self._store.read_range(
            PROGRESS_TABLE, '', PROGRESS_ROW.key, PROGRESS_ROW.key + '\0'
        )
        self.next_window, self._version = None, 0
        for row in page.rows:
            self.apply(row)

    def sent_before(self, latest: int) -> int | None:
        """Return the window before which all reports were sent, if known.

        `latest` is the current window; a later one was named by a wrong clock.
        """
        if self.next_window is None or self.next_window > latest:
            return None
        return self.next_window

    def apply(self, stored: StoredRow) -> None:
        """Take over a row that was read or that contradicted a check."""
        row = decode_value(stored, UsageProgress)
        self.next_window = row.next_window if row else None
        self._version = stored.version

    def check(self) -> RowCheck:
        """Return the condition that the row is as it is known here."""
        return RowCheck(PROGRESS_ROW, self._version)

    def write(self, next_window: int) -> RowWrite:
        """Return the write of a later window."""
        row = UsageProgress(next_window)
        return RowWrite(PROGRESS_ROW, msgpack.encode(row))

    def written(self, next_window: int, version: int) -> None:
        """Record that the write was applied."""
        self.next_window, self._version = next_window, version

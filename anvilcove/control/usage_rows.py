"""Rows with the counts of processes and with the reports of windows."""

from collections.abc import Collection, Iterable, Iterator, Mapping, Set
from math import floor

from loguru import logger
from msgspec import Struct, field, msgpack
from msgspec.structs import replace
from xxhash import xxh32_intdigest

from anvilcove.control.row_values import decode_value
from anvilcove.messages.numbers import parse_decimal
from anvilcove.ports.store import RowId, RowWrite, StoredRow

COUNTS_TABLE = 'usage_counts'
REPORTS_TABLE = 'usage_reports'
# The store limits the rate of writes to each partition.
COUNT_PARTITIONS = [f'u{number}' for number in range(8)]
# Rows of older windows are removed once their reports were sent.
RETENTION_S = 60.0
# Part of the largest row that names and counts may fill.
ROW_SHARE = 0.6
# Bytes of an entry beside its name, rounded up.
ENTRY_BYTES = 16
# Rows whose errors were logged once.
MAX_LOGGED = 1000

# Workspace and its count.
Entry = tuple[str, int]


class UsageCounts(Struct, gc=False):
    """Requests that one process began to run, by window and workspace.

    The numbers are totals. `work_by_workspace` is the seconds of service of
    the last 5 s before `written_s`, in true time.
    """

    counts_by_window: dict[int, dict[str, int]]
    work_by_workspace: dict[str, float] = field(default_factory=dict)
    written_s: float = 0.0
    # Version of the newest desired state that the process had read, 0 if the
    # row does not tell. Its requests were admitted under that state or an
    # earlier one, which contained their workspaces.
    state_version: int = 0


class UsageReport(Struct):
    """Counts of a window, fixed before they are sent.

    Large reports have `parts` rows; the other ones only bear counts.
    """

    window: int
    counts: dict[str, int]
    holder: str
    fence: int
    sent: bool = False
    parts: int = 1


def window_of(true_s: float, window_s: float) -> int:
    """Return the number of the window that contains a true time."""
    return floor(true_s / window_s)


def windows_apart(
    counts_by_window: Mapping[int, Mapping[str, int]],
    apart: Set[int],
    row_bytes: int,
) -> set[int]:
    """Return the windows that have rows of their own, given those before.

    Windows move there together when they no longer fit into one row, and
    never back. Rows of windows that have ended then stay as they are.
    """
    size = sum(
        _entry_bytes(name)
        for window, counts in counts_by_window.items()
        if window not in apart
        for name in counts
    )
    if size > row_bytes * ROW_SHARE:
        return set(counts_by_window)
    return {window for window in counts_by_window if window in apart}


def counts_rows(
    host: str,
    nonce: str,
    counts: UsageCounts,
    row_bytes: int,
    apart: Set[int] | None = None,
) -> list[RowWrite]:
    """Encode the counts of a process; `apart` as `windows_apart` returns it.

    The row with the other windows and the work comes last, so that a window
    that moves from it to a row of its own is always in one of them.
    """
    if apart is None:
        apart = windows_apart(counts.counts_by_window, set(), row_bytes)
    key, rows = f'{host}/{nonce}', []
    number = xxh32_intdigest(host.encode()) % len(COUNT_PARTITIONS)
    part = COUNT_PARTITIONS[number]
    main = replace(counts, counts_by_window={})
    for window, by_name in sorted(counts.counts_by_window.items()):
        if window not in apart:
            main.counts_by_window[window] = by_name
            continue
        for i, chunk in enumerate(_chunks(by_name.items(), row_bytes)):
            piece = UsageCounts(
                {window: dict(chunk)}, state_version=counts.state_version
            )
            suffix = f'{window}/{i}' if i else f'{window}'
            rows.append(
                RowWrite(
                    RowId(COUNTS_TABLE, part, f'{key}/{suffix}'),
                    msgpack.encode(piece),
                )
            )
    rows.append(RowWrite(RowId(COUNTS_TABLE, part, key), msgpack.encode(main)))
    return rows


def process_of_key(key: str) -> str:
    """Return host and nonce of the process that wrote a row of counts."""
    return '/'.join(key.split('/', 2)[:2])


def window_of_counts_key(key: str) -> int | None:
    """Return the window that a row of counts is for, None if several."""
    found = key.split('/')
    return parse_decimal(found[2]) if len(found) > 2 else None


def report_rows(report: UsageReport, row_bytes: int) -> list[RowWrite]:
    """Encode a report, in several rows if it is large."""
    chunks = list(_chunks(report.counts.items(), row_bytes)) or [[]]
    report.parts = len(chunks)
    rows = []
    for i, chunk in enumerate(chunks):
        piece = UsageReport(
            report.window,
            dict(chunk),
            report.holder,
            report.fence,
            report.sent,
            report.parts,
        )
        row_id = report_row_id(report.window, i)
        rows.append(RowWrite(row_id, msgpack.encode(piece)))
    return rows


def report_row_id(window: int, part: int = 0) -> RowId:
    """Return the id of a row of a report."""
    key = f'{window:012d}'
    return RowId(REPORTS_TABLE, '', f'{key}/{part}' if part else key)


def window_of_key(key: str) -> int | None:
    """Return the window that a key of a report names, None if none."""
    return parse_decimal(key.partition('/')[0])


def read_reports(rows: Iterable[StoredRow]) -> list[UsageReport]:
    """Decode reports, by window; their parts are written together."""
    by_window: dict[int, UsageReport] = {}
    for row in rows:
        piece = decode_value(row, UsageReport)
        if piece is None:
            continue
        known = by_window.setdefault(piece.window, piece)
        known.counts.update(piece.counts)
    return [report for _, report in sorted(by_window.items())]


class CountsReader:
    """Reader of the rows of all processes, which logs each bad row once."""

    __slots__ = ('_logged',)

    def __init__(self) -> None:
        """Start without errors."""
        self._logged: set[tuple[str, str]] = set()

    def read(self, rows: Iterable[StoredRow]) -> dict[RowId, UsageCounts]:
        """Decode the rows; skip those that are invalid."""
        found: dict[RowId, UsageCounts] = {}
        for row in rows:
            if (row.id.key, str(row.version)) in self._logged:
                continue
            counts = decode_value(row, UsageCounts)
            if counts is None:
                # `decode_value` has logged it.
                self._remember(row.id.key, str(row.version))
            else:
                found[row.id] = counts
        return found

    def total(
        self,
        counts_by_row: Mapping[RowId, UsageCounts],
        window: int,
        known: Collection[str],
    ) -> dict[str, int]:
        """Add the counts of a window of the known workspaces, by name."""
        by_process: dict[str, list[tuple[str, UsageCounts]]] = {}
        for row_id, counts in counts_by_row.items():
            process = process_of_key(row_id.key)
            by_process.setdefault(process, []).append((row_id.key, counts))
        total: dict[str, int] = {}
        for rows in by_process.values():
            self.add(total, rows, window, known)
        return sorted_total(total)

    def add(
        self,
        total: dict[str, int],
        rows: Iterable[tuple[str, UsageCounts]],
        window: int,
        known: Collection[str],
    ) -> None:
        """Add the counts of one process, whose rows are named by their keys.

        While a window moves from one row to another both may have it, the
        newer one with the larger counts, as counts only grow.
        """
        found: dict[str, int] = {}
        for key, counts in rows:
            by_name = self._valid(key, counts, window, known)
            if found:
                by_name = {
                    name: max(found.get(name, 0), by_name.get(name, 0))
                    for name in found.keys() | by_name.keys()
                }
            found = by_name
        for name, count in found.items():
            total[name] = total.get(name, 0) + count

    def _valid(
        self,
        key: str,
        counts: UsageCounts,
        window: int,
        known: Collection[str],
    ) -> dict[str, int]:
        """Return the valid counts of a window; log the other ones."""
        by_name = counts.counts_by_window.get(window, {})
        # A workspace that was removed from the desired state is known by the
        # version that the counting process had read.
        listed = counts.state_version > 0
        bad = {
            name
            for name, count in by_name.items()
            if count < 0 or not (name in known or listed)
        }
        if not bad:
            return by_name
        for name in bad:
            negative = by_name[name] < 0
            self._log(
                key, 'negative count' if negative else 'unknown workspace'
            )
        return {n: c for n, c in by_name.items() if n not in bad}

    def _log(self, key: str, reason: str) -> None:
        if (key, reason) not in self._logged:
            self._remember(key, reason)
            logger.bind(row=key, reason=reason).warning('counts ignored')

    def _remember(self, key: str, reason: str) -> None:
        if len(self._logged) >= MAX_LOGGED:
            self._logged.clear()
        self._logged.add((key, reason))


def sorted_total(total: Mapping[str, int]) -> dict[str, int]:
    """Return the counts above 0 in the order of the names."""
    return {name: total[name] for name in sorted(total) if total[name]}


def _entry_bytes(name: str) -> int:
    return len(name.encode()) + ENTRY_BYTES


def _chunks(entries: Iterable[Entry], row_bytes: int) -> Iterator[list[Entry]]:
    """Split entries into lists that fit into a row each."""
    chunk: list[Entry] = []
    size = 0
    for entry in entries:
        entry_bytes = _entry_bytes(entry[0])
        if chunk and size + entry_bytes > row_bytes * ROW_SHARE:
            yield chunk
            chunk, size = [], 0
        chunk.append(entry)
        size += entry_bytes
    if chunk:
        yield chunk

"""Rows with the number of endpoints that was ordered for each group."""

from loguru import logger
from msgspec import Struct, msgpack

from anvilcove.control.row_values import decode_value
from anvilcove.decisions.size_mix import EngineGroup
from anvilcove.ports.store import (
    RowCheck,
    RowId,
    RowTransaction,
    RowWrite,
    StoredRow,
    StorePort,
)

SIZES_TABLE = 'service_sizes'
RECLAIMABLE, RESERVED = 'reclaimable', 'reserved'
# Rows in one transaction; each counts as a check and as a write, of which the
# store accepts 100 together.
MAX_ROWS = 40


class SizeRow(Struct):
    """Number of endpoints of a group that a holder has decided on.

    `time_ms` is a time of the store's clock. `ordered` tells that the number
    was or is about to be sent; otherwise it is what the first holder found.
    """

    number: int
    time_ms: float
    fence: int
    ordered: bool = False


class KnownSize(Struct):
    """Row of a group as last read or written, with its version."""

    row: SizeRow
    version: int


SizesByGroup = dict[EngineGroup, KnownSize]


class SizeConflict(Exception):
    """Raised when another daemon has written one of the rows."""


class SizeRecords:
    """Store access for the ordered numbers."""

    __slots__ = ('_store', '_store_ms', '_unreadable')

    def __init__(self, store: StorePort) -> None:
        """Use `store` for all reads and writes."""
        self._store = store
        self._store_ms = 0.0
        # Versions of rows without a usable number, so that they are replaced.
        self._unreadable: dict[RowId, int] = {}

    async def read(self) -> dict[str, SizesByGroup]:
        """Return the rows of each service."""
        page = await self._store.read_range(SIZES_TABLE, '')
        self._store_ms = page.store_ms
        found: dict[str, SizesByGroup] = {}
        self._unreadable = {}
        for stored in page.rows:
            row = decode_value(stored, SizeRow)
            service, group = _parse_key(stored)
            if row is None or row.number < 0:
                self._unreadable[stored.id] = stored.version
            if row is None or group is None:
                continue
            if row.number < 0:
                logger.bind(row=stored.id.key).warning('invalid size skipped')
                continue
            known = KnownSize(row, stored.version)
            found.setdefault(service, {})[group] = known
        return found

    async def write(
        self,
        service: str,
        known: SizesByGroup,
        number_by_group: dict[EngineGroup, int],
        fence: int,
        ordered: bool,
    ) -> None:
        """Write numbers of groups and update `known`.

        Raises SizeConflict, StoreUnavailable or StoreAnswerLost; rows are
        unknown after each of them.
        """
        groups = list(number_by_group)
        for start in range(0, len(groups), MAX_ROWS):
            rows = {
                group: SizeRow(
                    number_by_group[group], self._store_ms, fence, ordered
                )
                for group in groups[start : start + MAX_ROWS]
            }
            outcome = await self._store.transact(
                RowTransaction(
                    checks=[
                        RowCheck(
                            _row_id(service, group),
                            self._version(service, group, known),
                        )
                        for group in rows
                    ],
                    writes=[
                        RowWrite(_row_id(service, group), msgpack.encode(row))
                        for group, row in rows.items()
                    ],
                )
            )
            self._store_ms = outcome.store_ms
            if not outcome.applied:
                raise SizeConflict(service)
            for group, row in rows.items():
                known[group] = KnownSize(row, outcome.version)

    def _version(
        self, service: str, group: EngineGroup, known: SizesByGroup
    ) -> int:
        if group in known:
            return known[group].version
        return self._unreadable.get(_row_id(service, group), 0)


def _row_id(service: str, group: EngineGroup) -> RowId:
    kind = RECLAIMABLE if group.reclaimable else RESERVED
    return RowId(SIZES_TABLE, '', f'{service}/{group.data_centre}/{kind}')


def _parse_key(row: StoredRow) -> tuple[str, EngineGroup | None]:
    service, _, rest = row.id.key.partition('/')
    data_centre, _, kind = rest.rpartition('/')
    if not data_centre or kind not in (RECLAIMABLE, RESERVED):
        logger.bind(row=row.id.key).warning('invalid size skipped')
        return service, None
    return service, EngineGroup(data_centre, kind == RECLAIMABLE)

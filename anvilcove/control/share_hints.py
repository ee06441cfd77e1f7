"""Weights of workspaces, and hints on those that use more than their share.

A host sees only a part of the calls of a workspace. The holder of the duty
`usage` sees the work of all hosts and writes one row with the workspaces that
use more than their share. Hosts divide the weights of these by their excess.
"""

from collections.abc import Iterable, Mapping

from loguru import logger
from msgspec import Struct, field, msgpack

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.row_values import decode_value
from anvilcove.decisions.shares import MIN_WEIGHT
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.store import (
    RowId,
    RowTransaction,
    RowWrite,
    StoredRow,
    StorePort,
)
from anvilcove.state.clock import Clock
from anvilcove.state.workspaces import Workspace
from anvilcove.telemetry.logs import DECISION

SHARES_TABLE = 'workspace_shares'
SHARES_ROW = RowId(SHARES_TABLE, '', 'shares')
MAX_HINTS = 64
# Below this excess a workspace is not listed, so that small differences do not
# change the row.
MIN_LISTED_EXCESS = 1.25
MAX_EXCESS = 100.0
# The row is written at most this often, and renewed this often while it lists
# workspaces, since readers ignore it after HINTS_TTL_S.
MIN_WRITE_PERIOD_S = 1.0
RENEWAL_PERIOD_S = 2.0
HINTS_TTL_S = 5.0
# Pause between two reads of the row. It grows with the number of hosts, so
# that the store gets at most 1,000 reads per second from 2,000 hosts.
MIN_READ_PAUSE_S = 1.0
MAX_READ_PAUSE_S = 2.0
HOSTS_PER_PAUSE_SECOND = 1_000


class ShareRow(Struct, array_like=True):
    """Stored row of the workspaces that use more than their share.

    The excess is the factor by which a workspace exceeds its share. `beat`
    counts the writes.
    """

    beat: int
    excess_by_workspace: dict[str, float] = field(default_factory=dict)


def excess_by_workspace(
    usages: Iterable[tuple[str, Mapping[str, float]]],
    weights: Mapping[str, Workspace],
) -> dict[str, float]:
    """Return the workspaces above their share and their excess.

    `usages` are the hosts and their seconds of service by workspace in the
    same time. Unknown workspaces and invalid figures do not count.
    """
    total_by_workspace: dict[str, float] = {}
    for _host, work_by_workspace in usages:
        for name, work_s in work_by_workspace.items():
            if name in weights and 0 < work_s < float('inf'):
                known_s = total_by_workspace.get(name, 0.0)
                total_by_workspace[name] = known_s + work_s
    all_s = sum(total_by_workspace.values())
    weight_sum = sum(
        max(weights[name].weight, MIN_WEIGHT) for name in total_by_workspace
    )
    found = []
    for name, work_s in total_by_workspace.items():
        share_s = all_s * max(weights[name].weight, MIN_WEIGHT) / weight_sum
        # Two digits are enough, and change rarely.
        excess = float(f'{min(work_s / share_s, MAX_EXCESS):.2g}')
        if excess >= MIN_LISTED_EXCESS:
            found.append((-excess, name))
    return {name: -excess for excess, name in sorted(found)[:MAX_HINTS]}


class ShareHintWriter:
    """Writer of the row, used by the holder of the duty `usage`."""

    __slots__ = ('_store', '_clock', '_written', '_written_at_s')

    def __init__(self, store: StorePort, clock: Clock) -> None:
        """Assume that there is no row."""
        self._store = store
        self._clock = clock
        self._written = ShareRow(0)
        self._written_at_s = float('-inf')

    async def update(
        self,
        usages: Iterable[tuple[str, Mapping[str, float]]],
        weights: Mapping[str, Workspace],
    ) -> bool:
        """Write the row if it is due; return whether it was written.

        Store errors are logged; the next call tries again.
        """
        now = self._clock.now()
        age_s = now - self._written_at_s
        if age_s < MIN_WRITE_PERIOD_S:
            return False
        excess = excess_by_workspace(usages, weights)
        if excess == self._written.excess_by_workspace and (
            not excess or age_s < RENEWAL_PERIOD_S
        ):
            return False
        row = ShareRow(self._written.beat + 1, excess)
        self._written_at_s = now
        try:
            await self._store.transact(
                RowTransaction(
                    writes=[RowWrite(SHARES_ROW, msgpack.encode(row))]
                )
            )
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(reason=str(error)).info('share hints not written')
            return False
        self._written = row
        return True


class WorkspaceWeights:
    """Weights of the workspaces as this host applies them."""

    __slots__ = ('_desired', '_clock', '_hints', '_read_at_s', '_version')

    def __init__(self, desired: DesiredStateView, clock: Clock) -> None:
        """Start without hints."""
        self._desired = desired
        self._clock = clock
        self._hints: dict[str, float] = {}
        self._version = 0
        self._read_at_s = float('-inf')

    def enabled(self) -> bool:
        """Tell whether the deployment has workspaces."""
        state = self._desired.current
        return state is not None and state.workspaces is not None

    def declared(self, workspace: str) -> float:
        """Return the declared weight of a workspace, 1 by default."""
        state = self._desired.current
        directory = state.workspaces if state is not None else None
        known = directory.by_name.get(workspace) if directory else None
        return max(known.weight, MIN_WEIGHT) if known else 1.0

    def effective(self, workspace: str) -> float:
        """Return the declared weight divided by the current excess."""
        return self.declared(workspace) / self.excess(workspace)

    def excess(self, workspace: str) -> float:
        """Return the excess of a workspace over all hosts, 1 if unknown."""
        if self._clock.now() - self._read_at_s > HINTS_TTL_S:
            return 1.0
        return self._hints.get(workspace, 1.0)

    def hints(self) -> dict[str, float]:
        """Return the excess of the workspaces that are above their share."""
        if self._clock.now() - self._read_at_s > HINTS_TTL_S:
            return {}
        return dict(self._hints)

    def on_rows(self, rows: list[StoredRow], full_read: bool) -> None:
        """Apply the row; its age counts from the read of its new version.

        A row that a full read repeats is not renewed by it.
        """
        for stored in rows:
            if stored.id != SHARES_ROW:
                continue
            row = decode_value(stored, ShareRow)
            if row is not None:
                self._apply(row, stored.version)

    def _apply(self, row: ShareRow, version: int) -> None:
        if version == self._version:
            return
        self._version = version
        hints = {
            name: min(excess, MAX_EXCESS)
            for name, excess in row.excess_by_workspace.items()
            if excess >= 1.0
        }
        hints = dict(list(hints.items())[:MAX_HINTS])
        if hints != self.hints():
            logger.bind(excess=hints, beat=row.beat).log(
                DECISION, 'shares of workspaces changed'
            )
        self._hints = hints
        self._read_at_s = self._clock.now()


def read_pause_s(hosts: int) -> float:
    """Return the pause between two reads of the row, in seconds."""
    pause_s = hosts / HOSTS_PER_PAUSE_SECOND
    return min(max(pause_s, MIN_READ_PAUSE_S), MAX_READ_PAUSE_S)

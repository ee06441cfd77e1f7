"""Limit of the connections that clients keep open."""

from collections.abc import Callable, Hashable
from typing import Protocol

from loguru import logger

from anvilcove.telemetry.logs import DECISION

# At the limit, this share of the connections of one listener is closed, so
# that not every further one closes another.
CLOSED_SHARE = 0.05


class LimitedConnection(Protocol):
    """Connection of a client at one of the listeners of a process."""

    @property
    def listener(self) -> Hashable:
        """Return the listener that has accepted the connection."""

    @property
    def waits_since_s(self) -> float:
        """Return when it became idle, or when its oldest request began.

        The time is on the clock of the loop.
        """

    def is_served(self) -> bool:
        """Tell whether a whole request waits for its answer."""

    def end(self) -> None:
        """Reset the connection and drop what is held."""


class ConnectionLimit:
    """Open connections of clients at all listeners of a process.

    At the limit, connections of the listener that has the most are closed:
    those that have been idle, or sending their request, for the longest time.
    Connections of whole requests that wait for their answers come last.
    """

    __slots__ = ('_max_connections', '_on_closed', '_by_listener')

    def __init__(
        self,
        max_connections: Callable[[], int],
        on_closed: Callable[[str], None],
    ) -> None:
        """Start without connections; a limit of 0 is none."""
        self._max_connections = max_connections
        self._on_closed = on_closed
        self._by_listener: dict[Hashable, set[LimitedConnection]] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return sum(map(len, self._by_listener.values()))

    def opened(self, connection: LimitedConnection) -> None:
        """Count a connection, and close others at the limit."""
        group = self._by_listener.setdefault(connection.listener, set())
        group.add(connection)
        limit = self._max_connections()
        if limit and len(self) > limit:
            self._close_some(limit)

    def closed(self, connection: LimitedConnection) -> None:
        """Count a connection no longer."""
        group = self._by_listener.get(connection.listener)
        if group is None:
            return
        group.discard(connection)
        if not group:
            del self._by_listener[connection.listener]

    def _close_some(self, limit: int) -> None:
        group = max(self._by_listener.values(), key=len)
        count = max(int(len(group) * CLOSED_SHARE), 1)
        chosen = sorted(group, key=_rank)[:count]
        logger.bind(
            limit=limit, open=len(self), listener=len(group), closed=count
        ).log(DECISION, 'connections closed: too many are open')
        for connection in chosen:
            self._on_closed('connections')
            self.closed(connection)
            connection.end()


def _rank(connection: LimitedConnection) -> tuple[bool, float]:
    """Return the rank of a connection; the lowest is closed first."""
    return connection.is_served(), connection.waits_since_s

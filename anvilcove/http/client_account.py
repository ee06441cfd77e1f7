"""Account of what the clients of a process make it keep."""

from collections.abc import Callable
from typing import Protocol

from loguru import logger
from msgspec import Struct

from anvilcove.decisions.slow_readers import HeldClient, LargestReaders
from anvilcove.http.connection_limit import ConnectionLimit
from anvilcove.http.reading_turns import ReadingTurns
from anvilcove.ports.callers import HoldingConnection
from anvilcove.settings.memory import RESERVED_SHARE
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION

# The heap is trimmed each time that so many bytes were freed. Without it,
# buffers that grow and vanish leave a heap of many times the bound.
TRIM_BYTES = 8 << 20
# Fewer bytes do not count as freed.
TRIMMED_BYTES = 65_536


class AccountSettings(Protocol):
    """Bounds of an account, which are read each time that they matter."""

    def held_bound_bytes(self) -> int:
        """Return the bytes that may be held for clients."""

    def max_client_connections(self) -> int:
        """Return the number of connections of clients, 0 for no limit."""

    def max_head_bytes(self) -> int:
        """Return the largest size of the head of a request."""


class AccountMetrics(Protocol):
    """Counters of clients that are refused or ended."""

    def slow_caller_ended(self, slow: bool) -> None:
        """Count a client that was ended as it held too much memory."""

    def connection_closed(self, reason: str) -> None:
        """Count a connection that was closed for another limit."""


class _Holder(Struct):
    """A connection, and its counts when it became its client's turn."""

    connection: HoldingConnection
    since_s: float
    is_awaited: bool
    progress_at_start: int
    # Last known number of bytes; connections take some in the meantime.
    held_bytes: int


class ClientAccount:
    """Memory and connections of all clients of a process, and their bounds.

    The bytes that are counted are never less than those held: they are read
    again from all connections only when they exceed the bound.
    """

    __slots__ = (
        'settings',
        'connections',
        'turns',
        '_clock',
        '_metrics',
        '_policy',
        '_by_key',
        'counted_bytes',
        'reserved_bytes',
        'on_freed',
        '_freed_bytes',
    )

    def __init__(
        self, settings: AccountSettings, clock: Clock, metrics: AccountMetrics
    ) -> None:
        """Start without connections."""
        self.settings = settings
        self.connections = ConnectionLimit(
            settings.max_client_connections, metrics.connection_closed
        )
        self.turns = ReadingTurns()
        self._clock = clock
        self._metrics = metrics
        self._policy = LargestReaders()
        self._by_key: dict[int, _Holder] = {}
        self.counted_bytes = 0
        # Returns the bytes of the bound that bodies of requests use.
        self.reserved_bytes: Callable[[], int] = lambda: 0
        # Called when much memory was freed.
        self.on_freed: Callable[[], None] = lambda: None
        self._freed_bytes = 0

    def __len__(self) -> int:
        """Return the number of connections for which memory is held."""
        return len(self._by_key)

    def unread_answers(self) -> int:
        """Return the number of whole answers that callers still read."""
        return sum(
            holder.connection.answer_bytes > 0
            for holder in self._by_key.values()
        )

    def hold(self, connection: HoldingConnection) -> None:
        """Count what is held for a connection, from now on or anew."""
        key = id(connection)
        if key not in self._by_key:
            self._by_key[key] = _Holder(
                connection,
                self._clock.now(),
                connection.is_awaited(),
                _progress(connection),
                0,
            )
        self.grew(connection)

    def grew(self, connection: HoldingConnection) -> None:
        """Count further bytes of a connection that is held."""
        holder = self._by_key.get(id(connection))
        if holder is not None:
            self._recount(holder)
            self.enforce()

    def release(self, connection: HoldingConnection) -> None:
        """Count a connection no longer: nothing is kept or it has ended."""
        holder = self._by_key.pop(id(connection), None)
        if holder is not None:
            self.counted_bytes -= holder.held_bytes
            self.freed(holder.held_bytes)

    def freed(self, count: int) -> None:
        """Count bytes that were returned, and trim the heap for many."""
        if count < TRIMMED_BYTES:
            return
        self._freed_bytes += count
        if self._freed_bytes >= TRIM_BYTES:
            self._freed_bytes = 0
            self.on_freed()

    def head_refused(self, count: int) -> None:
        """Log and count a client whose head exceeds its limit."""
        logger.bind(received=count, limit=self.settings.max_head_bytes()).log(
            DECISION, 'connection closed: head of a request too large'
        )
        self._metrics.connection_closed('head')

    def enforce(self) -> None:
        """End clients until the bound is kept, if it is not."""
        if self.counted_bytes <= self._bound_bytes():
            return
        # Some of the bytes may have been taken since they were counted.
        for holder in self._by_key.values():
            self._recount(holder)
        bound_bytes, now = self._bound_bytes(), self._clock.now()
        if self.counted_bytes <= bound_bytes:
            return
        held = [
            HeldClient(
                key,
                holder.held_bytes,
                holder.since_s,
                _progress(holder.connection) - holder.progress_at_start,
                not holder.is_awaited,
            )
            for key, holder in self._by_key.items()
        ]
        total_bytes = self.counted_bytes
        for client in self._policy.choose(held, bound_bytes, now):
            self._end(client, total_bytes, bound_bytes, now)

    def _bound_bytes(self) -> int:
        bound_bytes = self.settings.held_bound_bytes()
        # A body above the share of bodies is read alone. It must not end
        # clients that hold no more than their own share.
        reserved_bytes = min(
            self.reserved_bytes(), int(bound_bytes * RESERVED_SHARE)
        )
        return bound_bytes - reserved_bytes

    def _recount(self, holder: _Holder) -> None:
        connection = holder.connection
        held_bytes = connection.held_bytes()
        self.counted_bytes += held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        is_awaited = connection.is_awaited()
        if is_awaited != holder.is_awaited:
            holder.is_awaited = is_awaited
            holder.since_s = self._clock.now()
            holder.progress_at_start = _progress(connection)

    def _end(
        self, client: HeldClient, total_bytes: int, bound: int, now: float
    ) -> None:
        connection = self._by_key[client.key].connection
        logger.bind(
            request=connection.request_id[:120],
            workspace=connection.workspace,
            held=client.held_bytes,
            held_for_s=round(now - client.since_s, 2),
            progress=client.progress_bytes,
            slow=client.is_slow(now),
            served=client.is_served,
            held_by_all=total_bytes,
            bound=bound,
        ).log(DECISION, 'caller ended: too much memory held for clients')
        self._metrics.slow_caller_ended(client.is_slow(now))
        self.release(connection)
        connection.end()


def _progress(connection: HoldingConnection) -> int:
    """Return the bytes that a client has sent and taken so far.

    The framing of an answer is unsent, too, but not counted as written.
    """
    written, unsent = connection.written_bytes(), connection.unsent_bytes()
    return connection.received_bytes() + max(written - unsent, 0)

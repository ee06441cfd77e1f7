"""Check that configuration and membership are recent enough to use."""

from anvilcove.state.config import ConfigState
from anvilcove.state.peers import NEVER, PeerTable


class Confirmation:
    """Times of the last successful reads of table and membership list.

    A time is the start of the call, not the arrival of its answer: an answer
    may have waited while the process was paused and be out of date. The
    daemon takes new work once the list has been read, as long as both were
    read within the last `window_s` seconds or a majority of the hosts confirms
    the applied revision.
    """

    __slots__ = (
        'window_s',
        'config',
        'peers',
        'table_read_at_s',
        'members_read_at_s',
        'joined',
        'started_at_s',
    )

    def __init__(
        self,
        window_s: float,
        config: ConfigState,
        peers: PeerTable,
        started_at_s: float,
    ) -> None:
        """Create a state in which nothing is confirmed."""
        self.window_s = window_s
        self.started_at_s = started_at_s
        self.config = config
        self.peers = peers
        self.table_read_at_s = NEVER
        self.members_read_at_s = NEVER
        self.joined = False

    def record_table_read(self, asked_at_s: float) -> None:
        """Record that the configuration row was read and applied."""
        self.table_read_at_s = max(self.table_read_at_s, asked_at_s)
        self.joined = True

    def record_members_read(self, asked_at_s: float) -> None:
        """Record that the membership list was read and applied."""
        self.members_read_at_s = max(self.members_read_at_s, asked_at_s)

    def majority_confirms(self, now: float) -> bool:
        """Return whether a majority of hosts confirms the applied revision.

        A daemon that has not joined yet does not know which revisions it
        accepted before a restart. It then counts neither itself nor digests
        from before its start, because its former process may have accepted a
        newer revision after them.
        """
        since_s = now - self.window_s
        if not self.joined:
            since_s = max(since_s, self.started_at_s)
        confirmed = self.peers.majority_confirms(
            since_s, self.config.revision, self.joined
        )
        self.joined = self.joined or confirmed
        return confirmed

    def refusal_reason(self, now: float) -> str:
        """Return why no new work may be taken, or an empty string."""
        since_s = now - self.window_s
        if self.members_read_at_s == NEVER:
            return 'membership list was never read'
        table_is_recent = self.table_read_at_s >= since_s
        members_are_recent = self.members_read_at_s >= since_s
        if table_is_recent and members_are_recent:
            return ''
        if self.majority_confirms(now):
            return ''
        if table_is_recent:
            return 'membership list is not confirmed'
        return 'configuration is not confirmed'

    def is_confirmed(self, now: float) -> bool:
        """Return whether new work may be taken."""
        return not self.refusal_reason(now)

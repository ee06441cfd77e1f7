"""Whether this daemon may trust its configuration and membership."""

from anvilcove.state.config import ConfigState
from anvilcove.state.peers import NEVER, PeerTable


class Confirmation:
    """Times of the last contact with table and membership; in seconds.

    All times are those at which the answered call was started, so that an
    answer that waited while the process was paused confirms nothing new.
    """

    __slots__ = (
        'window_s',
        'config',
        'peers',
        'table_read_at_s',
        'list_read_at_s',
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
        """Start unconfirmed."""
        self.window_s = window_s
        self.started_at_s = started_at_s
        self.config = config
        self.peers = peers
        self.table_read_at_s = NEVER
        self.list_read_at_s = NEVER
        self.joined = False

    def table_was_read(self, asked_at_s: float) -> None:
        """Note that the configuration row was read and is in force."""
        self.table_read_at_s = max(self.table_read_at_s, asked_at_s)
        self.joined = True

    def list_was_read(self, asked_at_s: float) -> None:
        """Note that the membership list was read and adopted."""
        self.list_read_at_s = max(self.list_read_at_s, asked_at_s)

    def heard_majority(self, now: float) -> bool:
        """Tell whether a majority confirms the revision in force.

        A daemon that never joined has no memory of accepted revisions. It
        does not count itself, nor what a peer told before the start: its
        former process may have accepted a revision since.
        """
        since_s = now - self.window_s
        if not self.joined:
            since_s = max(since_s, self.started_at_s)
        heard = self.peers.heard_majority(
            since_s, self.config.revision, self.joined
        )
        self.joined = self.joined or heard
        return heard

    def problem(self, now: float) -> str:
        """Return why no new work may be taken, or an empty string."""
        since_s = now - self.window_s
        if self.list_read_at_s == NEVER:
            return 'membership list was never read'
        table = self.table_read_at_s >= since_s
        listed = self.list_read_at_s >= since_s
        if table and listed:
            return ''
        if self.heard_majority(now):
            return ''
        if table:
            return 'membership list is not confirmed'
        return 'configuration is not confirmed'

    def holds(self, now: float) -> bool:
        """Tell whether new work may be taken."""
        return not self.problem(now)

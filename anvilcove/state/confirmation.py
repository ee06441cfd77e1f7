"""Whether this daemon may trust its configuration and membership."""


class Confirmation:
    """Times of the last contact with the table; in seconds."""

    __slots__ = ('window_s', 'table_read_at_s')

    def __init__(self, window_s: float) -> None:
        """Start unconfirmed."""
        self.window_s = window_s
        self.table_read_at_s = float('-inf')

    def table_was_read(self, now: float) -> None:
        """Note that the configuration row was read."""
        self.table_read_at_s = now

    def holds(self, now: float) -> bool:
        """Tell whether new work may be taken."""
        return now - self.table_read_at_s <= self.window_s

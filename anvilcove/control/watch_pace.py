"""Choice of how often a daemon reads a table of the store."""

from collections.abc import Callable

from anvilcove.control.nodes import NodeDirectory
from anvilcove.control.watch import POLL_PAUSE_S, poll_pause_s
from anvilcove.settings.node import NodeSettings

# Pause between two calls for tables that a daemon only follows. Each call
# costs about 1 ms of processor time.
FOLLOWER_PAUSE_S = 0.35
# The first daemons in the takeover order are ready to take over at once.
STANDBY_RANKS = 3


class WatchPace:
    """Set the pauses of the watches by the work that a daemon does.

    A daemon reads a busy table often only while it acts on what it reads, or
    is about to: it holds the orders lease, is one of the next to hold it, runs
    jobs, or somebody waits here for a job. So the cost of the watches does not
    grow with the number of daemons that only follow.
    """

    __slots__ = ('_settings', '_nodes', '_holds_orders_lease', 'has_job_work')

    def __init__(
        self,
        settings: NodeSettings,
        nodes: NodeDirectory,
        holds_orders_lease: Callable[[], bool],
    ) -> None:
        """Use the directory for the rank; no jobs are known."""
        self._settings = settings
        self._nodes = nodes
        self._holds_orders_lease = holds_orders_lease
        # Tells whether jobs run here or somebody waits here for one.
        self.has_job_work: Callable[[], bool] = lambda: False

    def is_standby(self) -> bool:
        """Tell whether this daemon gives the orders or is one of the next."""
        return (
            self._holds_orders_lease()
            or self._nodes.takeover_rank_estimate() < STANDBY_RANKS
        )

    def endpoints_pause_s(self) -> float:
        """Return the pause for the table of endpoints."""
        involved = self.has_job_work() or self.is_standby()
        return POLL_PAUSE_S if involved else FOLLOWER_PAUSE_S

    def jobs_pause_s(self) -> float:
        """Return the pause for the table of jobs."""
        if self.has_job_work() or self.is_standby():
            return self.operator_pause_s()
        return FOLLOWER_PAUSE_S

    def operator_pause_s(self) -> float:
        """Return the pause for a table whose changes steps wait for."""
        return poll_pause_s(
            len(self._nodes.by_host), self._settings.store.reads_per_s
        )

"""Delay of the event loop, and whether the processor was the cause."""

import time
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from anvilcove.state.clock import Clock

# The loop is expected to run at least this often.
PERIOD_S = 0.2
# A longer delay is logged: timeouts of store calls and of leases are of this
# order.
LOGGED_DELAY_S = 1.0
# Share of a delay that the thread has to have run for the loop to count as
# blocked by its own work.
BLOCKED_SHARE = 0.5
# The maximum decays by this factor per measurement.
DECAY = 0.95
# Seconds that the main thread waited for a processor are its second number,
# in nanoseconds.
SCHEDULER_STATISTICS = '/proc/{}/schedstat'
BLOCKED, WITHOUT_PROCESSOR, SUSPENDED = (
    'blocked',
    'without processor',
    'suspended',
)


def processor_wait_s(process: str = 'self') -> float:
    """Return how long a main thread has waited for a processor, in seconds.

    It is 0 where the kernel does not count it, and for an ended process.
    """
    path = Path(SCHEDULER_STATISTICS.format(process))
    try:
        return int(path.read_text().split()[1]) / 1e9
    except (OSError, ValueError, IndexError):
        return 0.0


class LoopDelay:
    """Measure the delays of the event loop and log the long ones.

    `max_s` is the longest of the last seconds.
    """

    __slots__ = (
        'max_s',
        '_clock',
        '_processor_s',
        '_processor_wait_s',
    )

    def __init__(
        self,
        clock: Clock,
        processor_s: Callable[[], float] = time.thread_time,
        processor_wait: Callable[[], float] = processor_wait_s,
    ) -> None:
        """Read the clock, and the processor time and waits of the thread."""
        self.max_s = 0.0
        self._clock = clock
        self._processor_s = processor_s
        self._processor_wait_s = processor_wait

    async def wait(self) -> None:
        """Wait for PERIOD_S and measure by how much that was too long."""
        due_at_s = self._clock.now() + PERIOD_S
        used_s, waited_s = self._processor_s(), self._processor_wait_s()
        await self._clock.sleep(PERIOD_S)
        late_s = max(self._clock.now() - due_at_s, 0.0)
        self.max_s = max(late_s, self.max_s * DECAY)
        if late_s > LOGGED_DELAY_S:
            used_s = self._processor_s() - used_s
            waited_s = self._processor_wait_s() - waited_s
            logger.bind(
                late_s=round(late_s, 2),
                processor_s=round(used_s, 2),
                processor_wait_s=round(waited_s, 2),
                cause=delay_cause(late_s, used_s, waited_s),
            ).warning('event loop late')


def delay_cause(
    late_s: float, processor_s: float, processor_wait_s: float
) -> str:
    """Tell what kept the event loop from running.

    A loop that is neither at work nor waiting for a processor is suspended,
    or waits in a system call.
    """
    if processor_s >= BLOCKED_SHARE * late_s:
        return BLOCKED
    if processor_wait_s >= BLOCKED_SHARE * late_s:
        return WITHOUT_PROCESSOR
    return SUSPENDED

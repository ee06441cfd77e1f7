"""Tasks that have to live as long as their process."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger
from msgspec import Struct

from anvilcove.state.clock import Clock

Work = Callable[[], Coroutine[Any, Any, None]]

# Bounds of the exponential delay before a task is started again. It begins
# anew after a run of RESET_S.
MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
RESET_S = 30.0


class TaskRecord(Struct):
    """Number of times that a task ended, and the cause of the last end."""

    ends: int = 0
    cause: str = ''
    running: bool = True


class BackgroundTasks:
    """Tasks that are started again, counted and logged if they end."""

    __slots__ = ('by_name', '_clock', '_on_end', '_tasks')

    def __init__(
        self, clock: Clock, on_end: Callable[[str], None] = lambda name: None
    ) -> None:
        """Start without tasks; `on_end` gets the name of a task that ended."""
        self.by_name: dict[str, TaskRecord] = {}
        self._clock = clock
        self._on_end = on_end
        self._tasks: list[asyncio.Task[None]] = []

    def keep(self, name: str, work: Work) -> None:
        """Run the coroutines of `work` one after the other until `cancel`."""
        record = self.by_name.setdefault(name, TaskRecord())
        self._tasks.append(
            asyncio.create_task(self._run(name, record, work), name=name)
        )

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def join(self) -> None:
        """Wait until all cancelled tasks have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def restarting(self) -> list[str]:
        """Return the names of tasks that have ended and do not run yet."""
        return sorted(n for n, r in self.by_name.items() if not r.running)

    def status(self) -> dict[str, dict[str, Any]]:
        """Return the tasks that have ended at least once, by name."""
        return {
            name: {
                'state': 'running' if record.running else 'restarting',
                'ends': record.ends,
                'cause': record.cause,
            }
            for name, record in sorted(self.by_name.items())
            if record.ends
        }

    async def _run(self, name: str, record: TaskRecord, work: Work) -> None:
        delay_s = MIN_RESTART_DELAY_S
        while True:
            started_at_s = self._clock.now()
            record.running = True
            cause = await _cause_of_end(name, work)
            record.running = False
            record.ends += 1
            record.cause = cause
            self._on_end(name)
            if self._clock.now() - started_at_s >= RESET_S:
                delay_s = MIN_RESTART_DELAY_S
            logger.bind(
                task=name, cause=cause, ends=record.ends, delay_s=delay_s
            ).error('background task ended, it is started again')
            await self._clock.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)


async def _cause_of_end(name: str, work: Work) -> str:
    """Await a coroutine of `work`; return why it ended."""
    try:
        await work()
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
        return 'cancelled from within'
    except Exception as error:
        logger.bind(task=name).exception('background task failed')
        return repr(error)[:300]
    return 'returned'


def spawn_logged(
    work: Coroutine[Any, Any, None],
    name: str,
    expected: tuple[type[Exception], ...] = (),
) -> asyncio.Task[None]:
    """Start a task that runs once and log an error that is not `expected`."""

    def log_failure(task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, expected):
            logger.bind(task=name).opt(exception=error).error(
                'background task failed'
            )

    task = asyncio.create_task(work, name=name)
    task.add_done_callback(log_failure)
    return task

"""Steps for the removal of expired batch jobs."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from anvilcove.jobs.sweep import JobSweeper
from anvilcove.settings.node import NodeBounds
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop
from anvilcove.telemetry.metrics import NodeMetrics

EXPIRED_S = 7200.0


class ExpiredJobs:
    """View and records of jobs that may all be removed."""

    def __init__(self):
        """Start without jobs."""
        self.by_id = {}
        self.ended = set()

    def add(self, job_id):
        """Add an expired job."""
        head = SimpleNamespace(job_id=job_id, listed=0, total=0)
        self.by_id[job_id] = SimpleNamespace(head=head)

    def age_s(self, head):
        """Return an age over any retention time."""
        return EXPIRED_S

    async def remove(self, job_id):
        """Remove a job in the time of five store calls of 4 ms."""
        await asyncio.sleep(0.02)
        del self.by_id[job_id]


@given('a sweeper of jobs on virtual time')
def start_sweeper(context):
    """Start a sweeper that holds the lease."""
    context.virtual_loop = VirtualLoop()
    context.jobs = ExpiredJobs()
    sweeper = JobSweeper(
        NodeBounds(),
        context.jobs,
        context.jobs,
        NodeMetrics(),
        LoopClock(context.virtual_loop),
        lambda: True,
    )
    task = context.virtual_loop.create_task(sweeper.run())
    context.add_cleanup(stop, context.virtual_loop, task)


def stop(loop, task):
    """Cancel a task and close its loop."""
    task.cancel()
    loop.run_until_complete(asyncio.wait([task]))
    loop.close()


@when('{count:d} jobs per second expire for {seconds:d} s')
def expire_jobs(context, count, seconds):
    """Let jobs expire evenly."""
    for number in range(count * seconds):
        context.jobs.add(f'j{number}')
        context.virtual_loop.run_until_complete(asyncio.sleep(1 / count))


@then('at most {count:d} expired jobs are left')
def check_left(context, count):
    """Count the jobs that were not removed."""
    assert len(context.jobs.by_id) <= count, len(context.jobs.by_id)

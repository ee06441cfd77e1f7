"""Loads of workspaces on the slots of endpoints, in virtual time."""

import asyncio
import random
from collections import Counter, defaultdict
from types import SimpleNamespace

import retry_steps
from loguru import logger
from retry_steps import SERVICE, permits_of, settings

from anvilcove.control.desired import DesiredState, DesiredStateView
from anvilcove.control.share_hints import WorkspaceWeights
from anvilcove.decisions.types import INTERACTIVE, OK, RouteRequest
from anvilcove.proxy.outcomes import refusal
from anvilcove.proxy.pools import EndpointPools
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop
from anvilcove.state.workspaces import (
    Workspace,
    WorkspaceDirectory,
    WorkspaceKeys,
)
from anvilcove.telemetry.metrics import NodeMetrics

SLOTS = 6
WAIT_S = 0.03
TARGET_S = 0.15


def desired_of(policy, workspaces):
    """Return a desired state; it has workspaces for policy `weighted`."""
    directory = WorkspaceDirectory([WorkspaceKeys(w) for w in workspaces])
    view = DesiredStateView()
    known = directory if policy == 'weighted' else None
    view.apply(DesiredState(1, workspaces=known), 0.0)
    return view


def registry_of(count):
    """Return a registry of endpoints that serve calls and items."""
    registry = retry_steps.registry_of(
        [SimpleNamespace(address=f'10.0.0.{n}:80') for n in range(count)]
    )
    for entry in registry.entry_by_endpoint.values():
        entry.version_by_model = {'m': 1}
    return registry


def new_clock():
    """Return a new loop of virtual time and its clock."""
    logger.remove()
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    return loop, LoopClock(loop)


class Load:
    """Calls of workspaces at one host, and what became of them."""

    def __init__(self, policy, workspaces=(), endpoints=2, seed=1):
        """Build the slots of a host with the policy of the shares."""
        self.loop, clock = new_clock()
        self.rng = random.Random(seed)
        self.registry = registry_of(endpoints)
        self.weights = WorkspaceWeights(desired_of(policy, workspaces), clock)
        self.metrics = NodeMetrics()
        self.pools = EndpointPools(
            settings(),
            self.registry,
            clock,
            random.Random(seed),
            self.metrics,
            permits_of(self.registry, clock),
            self.weights,
        )
        # The endpoints have the slots that they declare.
        self.pools._limits = SimpleNamespace(
            finished=lambda now, result: None, limit=lambda endpoint: SLOTS
        )
        for state in self.registry.view.by_id.values():
            state.limit = SLOTS
        self.sent, self.in_time = Counter(), Counter()
        self.work_s = Counter()
        self.waits_s = defaultdict(list)
        self.refused_after_s = []
        self.retries = 0

    def run(self, seconds, *senders):
        """Run the senders for a time, then let the calls end."""

        async def all_senders():
            tasks = [asyncio.create_task(sender) for sender in senders]
            await asyncio.sleep(seconds)
            for task in tasks:
                task.cancel()
            await asyncio.sleep(1.0)

        self.loop.run_until_complete(all_senders())
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
        return self

    async def send(self, name, per_s, work_s=0.025, priority=0, **options):
        """Send calls of a workspace at random times, without end."""
        rng = random.Random(f'{name}/{self.rng.random()}')
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            asyncio.create_task(self.call(name, work_s, priority, **options))

    async def call(
        self, name, work_s=0.025, priority=0, retries=0, wait_s=WAIT_S
    ):
        """Make a call; a refused one comes back up to `retries` times."""
        request = RouteRequest(
            'r',
            f'c{work_s}',
            INTERACTIVE,
            SERVICE,
            deadline_at_s=self.loop.time() + 2.0,
            workspace=name,
        )
        began_s = self.loop.time()
        self.sent[name] += 1
        state = await self.pools.acquire(request, priority, wait_s)
        waited_s = self.loop.time() - began_s
        if state is None:
            self.refused_after_s.append(waited_s)
            if retries:
                share_s = self.pools.share_retry_s(request)
                answer = refusal(TARGET_S, self.rng, share_s=share_s)
                await asyncio.sleep(answer.retry_after_s)
                self.retries += 1
                await self.call(name, work_s, priority, retries - 1, wait_s)
            return
        self.waits_s[name].append(waited_s)
        await asyncio.sleep(work_s)
        self.work_s[name] += work_s
        self.in_time[name] += waited_s + work_s <= TARGET_S
        self.pools.finish(state, OK, work_s, f'c{work_s}', INTERACTIVE)

    def total(self, prefix=''):
        """Return the calls in time of the workspaces with a prefix."""
        return sum(
            count
            for name, count in self.in_time.items()
            if name.startswith(prefix)
        )


def names(prefix, count):
    """Return workspaces of equal weight."""
    return [Workspace(f'{prefix}{number}') for number in range(count)]


def jain(values):
    """Return Jain's index of fairness: 1 if all values are equal."""
    values = list(values)
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values))

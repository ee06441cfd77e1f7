"""Steps that compare the policies of the shares under named loads."""

import asyncio
import operator
import random

from behave import given, then, when
from msgspec import msgpack
from retry_steps import SERVICE, permits_of
from share_loads import (
    SLOTS,
    Load,
    desired_of,
    jain,
    names,
    new_clock,
    registry_of,
)

from anvilcove.commands.requests.pool_queue import PoolQueue
from anvilcove.control.desired import DesiredState
from anvilcove.control.share_hints import (
    SHARES_ROW,
    ShareHintWriter,
    ShareRow,
    WorkspaceWeights,
    excess_by_workspace,
)
from anvilcove.decisions.types import INTERACTIVE, RouteRequest
from anvilcove.jobs.engine_slots import EngineSlots
from anvilcove.jobs.reward_gate import RewardGate
from anvilcove.jobs.slot_queue import EngineRequirements, SlotQueue
from anvilcove.ports.store import StoredRow
from anvilcove.standins.memory_store import MemoryStore
from anvilcove.state.workspaces import Workspace

# Calls of 25 ms that 36 slots run per second.
CAPACITY = 36 / 0.025
# Part of the capacity that the shares of all 71 workspaces need. At 0.95 the
# others lose 0.8 to 1.1% by the seed: the flood's own share no longer fits.
FLOOD_LOAD = 0.93
COMPARE = {'<': operator.lt, '<=': operator.le, '>=': operator.ge}
COMPARE['>'] = operator.gt
POLICIES = ('arrival', 'weighted')


def flood(policy, lost_endpoints=0, seconds=4.0, load=FLOOD_LOAD):
    """Let one workspace send 10 times its share while 70 send theirs."""
    share = CAPACITY * load / 71
    runs = []
    for flooding in (False, True):
        run = Load(policy, names('s', 70) + names('f', 1), 6)
        senders = [run.send(f's{number}', share) for number in range(70)]
        if flooding:
            senders.append(run.send('f0', 10 * share))

        async def lose(view=run.registry.view):
            await asyncio.sleep(seconds / 2)
            for endpoint in list(view.by_id)[:lost_endpoints]:
                view.mark_leaving(endpoint)

        runs.append(run.run(seconds, lose(), *senders))
    alone, together = runs
    return {
        'others relative to alone': together.total('s') / alone.total('s'),
        'work of the flood': together.total('f'),
    }


def half_gone(policy):
    """Let half of the endpoints go in the middle of a flood."""
    return flood(policy, 3, load=FLOOD_LOAD / 2)


def two_large(policy):
    """Let 2 large and 70 small workspaces send twice the capacity."""
    run = Load(policy, names('s', 70) + names('b', 2), 6)
    small = [run.send(f's{n}', CAPACITY * 1.4 / 70) for n in range(70)]
    large = [run.send(f'b{n}', CAPACITY * 0.3) for n in range(2)]
    run.run(4.0, *small, *large)
    return {
        'index of fairness': jain(run.work_s.values()),
        'throughput': run.total() / (CAPACITY * 4.0),
    }


def pause(policy):
    """Let a workspace come back into a flood, first with one call."""
    run = Load(policy, names('p', 1) + names('f', 1), 2)

    async def come_back():
        await asyncio.sleep(2.0)
        await run.call('p0')
        run.first_wait_s = (run.waits_s['p0'] or [1.0])[0]
        await asyncio.sleep(1.0)
        run.work_s.clear()
        sender = asyncio.create_task(run.send('p0', 960))
        await asyncio.sleep(1.0)
        sender.cancel()
        run.part = run.work_s['p0'] / sum(run.work_s.values())

    run.run(4.1, run.send('f0', 960), come_back())
    return {'first wait': run.first_wait_s, 'part after it': run.part}


def one_host(policy):
    """Let all calls of a workspace arrive where a global flood also does."""
    run = Load(policy, names('a', 1) + names('f', 1), 2)

    async def hint():
        row = ShareRow(1, {'f0': 8.0})
        for number in range(4):
            row.beat = number + 1
            value = msgpack.encode(row)
            run.weights.on_rows([StoredRow(SHARES_ROW, value, row.beat)], 0)
            await asyncio.sleep(2.0)

    run.run(4.0, hint(), run.send('a0', 400), run.send('f0', 400))
    return {'part of its calls in time': run.total('a') / run.sent['a0']}


def long_and_short(policy):
    """Let calls of 250 ms compete with calls of 25 ms."""
    run = Load(policy, names('l', 1) + names('s', 1), 2)
    run.run(4.0, run.send('l0', 90, 0.25), run.send('s0', 480))
    return {'part of the short calls': run.work_s['s0'] / (12 * 4.0)}


def retries(policy):
    """Let 300 calls arrive at once and come back when they are told to."""
    run = Load(policy, names('a', 1), 2)
    calls = [run.call('a0', retries=50) for _ in range(300)]
    run.run(3.0, *calls)
    return {
        'retries per call': run.retries / 300,
        'time to refusal': sorted(run.refused_after_s)[run.retries // 2],
        'done': run.work_s['a0'] / (300 * 0.025),
    }


def priorities(policy):
    """Let a workspace flood the highest priority; one has a lower one."""
    run = Load(policy, names('f', 1) + names('h', 1) + names('l', 1), 2)
    run.run(
        4.0,
        run.send('f0', 960),
        run.send('h0', 100),
        run.send('l0', 100, priority=1),
    )
    work_s = run.work_s
    return {
        'others of the priority': run.total('h') / run.sent['h0'],
        'part of the lower one': work_s['l0'] / sum(work_s.values()),
    }


def hinted(policy, workspaces, clock, excess):
    """Return weights with a row of hints that has just been read."""
    weights = WorkspaceWeights(desired_of(policy, workspaces), clock)
    row = msgpack.encode(ShareRow(1, excess))
    weights.on_rows([StoredRow(SHARES_ROW, row, 1)], True)
    return weights


def item_run(policy, steps, seconds=60.0, unserved=False, excess=None):
    """Run steps (time, workspace, items, objective) on 12 slots of 0.5 s.

    With `unserved`, an item waits all the time for a version that no engine
    has. Hosts are told the `excess` by workspace at the start.
    """
    loop, clock = new_clock()
    registry = registry_of(2)
    weights = hinted(policy, names('w', 3), clock, excess or {})
    slots = EngineSlots(
        registry, clock, random.Random(1), permits_of(registry, clock), weights
    )
    ended, order = {}, []

    async def item(number, workspace, rank, version=1):
        needs = EngineRequirements(SERVICE, 'm', version, f'{number}', set())
        needs.workspace = workspace
        entry = await slots.acquire(needs, rank)
        order.append((number, rank))
        await asyncio.sleep(0.5)
        ended.setdefault(number, []).append(clock.now())
        slots.release(entry.endpoint, needs)

    async def step(number, at_s, workspace, count, objective_s):
        await asyncio.sleep(at_s)
        latest_s = at_s + objective_s - 0.5
        await asyncio.gather(
            *(
                item(number, workspace, (latest_s, float(place)))
                for place in range(count)
            )
        )

    async def run():
        tasks = [step(number, *plan) for number, plan in enumerate(steps)]
        waiting = []
        if unserved:
            late = item(-1, 'w2', (-1.0, 0.0), version=9)
            waiting.append(asyncio.create_task(late))
        async with asyncio.timeout(seconds):
            await asyncio.gather(*tasks)
        for task in waiting:
            task.cancel()

    loop.run_until_complete(run())
    loop.close()
    in_time = {
        number
        for number, (at_s, _, _, objective_s) in enumerate(steps)
        if max(ended[number]) <= at_s + objective_s + 1e-6
    }
    return order, in_time, max(max(times) for times in ended.values())


def trainers(policy):
    """Let a trainer submit 4 times its part; another one submits little."""
    steps = [(4.0 * n, 'w0', 160, 7.5) for n in range(5)]
    steps += [(4.0 * n + 1, 'w1', 24, 7.5) for n in range(5)]
    _, in_time, end_s = item_run(policy, steps)
    return {
        'small steps in time': len([n for n in in_time if n >= 5]),
        'end of all items': end_s,
    }


def unequal_waits(policy):
    """Let calls that may wait for long meet some that may not."""
    run = Load(policy, names('l', 1) + names('s', 1), 2)
    # 12 slots run the 60 calls of 25 ms within 0.125 s.
    long = [run.call('l0', wait_s=1.0) for _ in range(60)]

    async def short():
        await asyncio.sleep(0.001)
        await asyncio.gather(*(run.call('s0', wait_s=0.002) for _ in range(4)))

    run.run(1.5, short(), *long)
    return {'long waits served': run.work_s['l0'] / (60 * 0.025)}


def idle_hedge(policy):
    """Hedge while a stream waits for a version that no endpoint has."""
    run = Load(policy, names('a', 1), 2)

    def wanted(software=None):
        return RouteRequest(
            'r', 'c', INTERACTIVE, SERVICE, workspace='a', software=software
        )

    async def hedge():
        await asyncio.sleep(0.1)
        return await run.pools.acquire(wanted(), 0, 0.0)

    async def both():
        stream = run.pools.acquire(wanted('none'), 0, 0.2)
        return await asyncio.gather(hedge(), stream)

    found = run.loop.run_until_complete(both())
    run.loop.close()
    return {'sent': sum(state is not None for state in found)}


LOADS = (flood, half_gone, two_large, pause, one_host, long_and_short)
LOADS += (retries, priorities, trainers, unequal_waits)
LOADS += (idle_hedge,)
LOAD_BY_NAME = {load.__name__.replace('_', ' '): load for load in LOADS}


@when('the load "{name}" runs with each policy')
def run_load(context, name):
    """Keep the figures of the load by policy."""
    context.figures = {
        policy: LOAD_BY_NAME[name](policy) for policy in POLICIES
    }


@then('these bounds hold')
def check_bounds(context):
    """Check each figure against the bounds of the policies."""
    for row in context.table:
        for policy in POLICIES:
            value = context.figures[policy][row['figure']]
            sign, _, bound = row[policy].partition(' ')
            if sign:
                assert COMPARE[sign](value, float(bound)), (
                    row['figure'],
                    context.figures,
                )


@then('steps that fit start in the order of their ranks')
def check_ranks(context):
    """Check that shares change no start while all steps are in time."""
    steps = [
        (2.0 * n, f'w{n % 2}', 40 if n % 2 else 20, 7.5) for n in range(9)
    ]
    arrival = item_run('arrival', steps)
    assert item_run('weighted', steps) == arrival
    assert len(arrival[1]) == len(steps), arrival[1]


@then('they also do while an item waits for a version that no engine has')
def check_ranks_unserved(context):
    """Check steps of which the first only just fits, alone."""
    steps = [(0.0, 'w0', 170, 7.5), (1.0, 'w1', 80, 20.0)]
    arrival = item_run('arrival', steps, unserved=True)
    weighted = item_run('weighted', steps, unserved=True)
    assert len(arrival[1]) == len(steps), arrival[1]
    assert weighted == arrival, (weighted[1:], arrival[1:])


@then('items that start while one waits for long leave no figures')
def check_figures_of_starts(context):
    """Start items without shares, and as shares end in an overload."""
    loop, _ = new_clock()

    async def check(shares):
        queue = SlotQueue()
        queue.shares = shares
        add = loop.create_future
        never = EngineRequirements(SERVICE, 'm', 9, 'g', set())
        queue.add((-1.0, 0.0), never, add())
        assert queue.first((), 0.0) and queue.overloaded == shares
        queue.shares = False
        for number in range(200):
            needs = EngineRequirements(SERVICE, 'm', 1, 'g', set())
            queue.add((0.0, 0.0), needs, add())
            waiter = queue.first({never.key()}, float(number))
            waiter.future.set_result(None)
            queue.started(waiter, float(number))
        assert not queue.overloaded
        assert not queue._start_rate._times

    for shares in (False, True):
        loop.run_until_complete(check(shares))
    loop.close()


@then('items of a workspace start in the order of their ranks')
def check_order_within(context):
    """Check the order of the later steps of an overload."""
    steps = [(n, f'w{n % 2}', 160, 7.5) for n in range(4)]
    order, _, _ = item_run('weighted', steps)
    for workspace in range(2):
        ranks = [r for n, r in order if n % 2 == workspace and n >= 2]
        assert ranks == sorted(ranks) and len(ranks) == 160


@then('requests without shares leave by priority, deadline and arrival')
def check_arrival(context):
    """Check a random queue against the sorted requests."""
    rng, (loop, _) = random.Random(3), new_clock()

    async def check():
        queue = PoolQueue()
        expected = []
        for number in range(300):
            request = RouteRequest(f'{number}', 'c', INTERACTIVE, SERVICE)
            request.workspace = f'w{number % 7}'
            request.deadline_at_s = float(rng.randrange(40))
            waiter = queue.add(request, rng.randrange(3), rng.random())
            expected.append((waiter.priority, request.deadline_at_s, number))
        found = []
        while (waiter := queue.first()) is not None:
            if rng.random() < 0.3:
                queue.restore([queue.pop()])
            queue.take()
            assert queue.first() is not waiter
            waiter.future.set_result(None)
            request = waiter.request
            place = int(request.request_id)
            found.append((waiter.priority, request.deadline_at_s, place))
        assert found == sorted(expected)

    loop.run_until_complete(check())
    loop.close()


@then('a first reward call of another workspace passes {count:d} but one')
def check_rewards(context, count):
    """Check how many calls of a first workspace run before the second's."""
    for policy in POLICIES:
        loop, clock = new_clock()
        weights = WorkspaceWeights(desired_of(policy, names('w', 2)), clock)
        gate = RewardGate(registry_of(2), weights)
        order = []

        async def call(workspace, gate=gate, order=order):
            async with gate.enter(SERVICE, workspace):
                order.append(workspace)
                await asyncio.sleep(0.1)

        async def run(call=call):
            await asyncio.gather(
                *(call('w0') for _ in range(SLOTS + count)), call('w1')
            )

        loop.run_until_complete(run())
        place = order.index('w1') - SLOTS
        assert place == (count if policy == 'arrival' else 1), (policy, place)


def reward_order(weights, loop, names_of_calls, *changes):
    """Return the order of calls that arrive together, with `changes`."""
    gate, order = RewardGate(registry_of(2), weights), []

    async def call(workspace):
        async with gate.enter(SERVICE, workspace):
            order.append(workspace)
            await asyncio.sleep(0.1)

    async def change_all():
        for change in changes:
            await asyncio.sleep(0.05)
            change()
            await asyncio.sleep(0.05)

    async def all_calls():
        calls = (call(name) for name in names_of_calls)
        await asyncio.gather(*calls, change_all())

    loop.run_until_complete(all_calls())
    return order


@then('reward calls that wait follow the workspaces as soon as there are any')
def check_switch(context):
    """Add workspaces and remove them while calls of two of them wait."""
    loop, clock = new_clock()
    view = desired_of('arrival', [])
    shares = desired_of('weighted', names('w', 2)).current.workspaces
    order = reward_order(
        WorkspaceWeights(view, clock),
        loop,
        ['w0'] * (SLOTS + 30) + ['w1'] * SLOTS,
        lambda: view.apply(DesiredState(2, workspaces=shares), 0.0),
        lambda: view.apply(DesiredState(3, workspaces=None), 0.0),
    )
    # The first release after the change lets both go in turns; then the
    # calls that are left go in the order of their arrival.
    half = SLOTS // 2
    assert order[SLOTS : 2 * SLOTS].count('w1') == half, order
    assert order[2 * SLOTS :] == ['w0'] * (30 - half) + ['w1'] * half, order


@then(
    'reward calls of a workspace with an excess of {excess:d} are 1 of {n:d}'
)
def check_reward_hints(context, excess, n):
    """Let two workspaces with equal weights wait."""
    loop, clock = new_clock()
    weights = hinted('weighted', names('w', 2), clock, {'w0': float(excess)})
    order = reward_order(weights, loop, ['w1'] * SLOTS + ['w0', 'w1'] * 40)
    waited = order[SLOTS : SLOTS + 10 * n]
    assert waited.count('w0') == 10, order


@then('items of a workspace with an excess of {excess:d} are 1 of {n:d}')
def check_item_hints(context, excess, n):
    """Let two workspaces submit the same step, far more than fits."""
    steps = [(0.0, 'w0', 240, 1.0), (0.0, 'w1', 240, 1.0)]
    order, _, _ = item_run('weighted', steps, excess={'w0': float(excess)})
    # The hints are in force for 5 s, in which 120 items start.
    part = [number for number, _ in order[:120]].count(0)
    # Workspaces may differ by a quantum of items for their weight.
    assert abs(part - 120 / n) <= 16, part


@given('the work of three hosts by workspace')
def give_work(context):
    """Keep the weights and the work; one host reports invalid figures."""
    context.workspaces = {w.name: w for w in names('w', 4)}
    context.workspaces['w3'] = Workspace('w3', weight=4.0)
    context.usages = [
        ('h0', {'w0': 3.0, 'w1': 0.5, 'w3': 2.0}),
        ('h1', {'w0': 3.0, 'w2': 0.5, 'w3': 2.0, 'gone': 50.0}),
        ('h2', {'w1': float('nan'), 'w2': -1.0, 'w3': 0.0}),
    ]


@then('the row lists w0 with an excess of {excess:g}')
def check_excess(context, excess):
    """Check the workspaces above their share."""
    found = excess_by_workspace(context.usages, context.workspaces)
    assert found == {'w0': excess}, found


@then('it is written when it changes, and renewed each 2 s')
def check_writes(context):
    """Check the times of the writes of 8 s in which the work ends at 4 s."""
    loop, clock = new_clock()
    store = MemoryStore(loop)
    writer = ShareHintWriter(store, clock)
    written = []

    async def run():
        while clock.now() < 8.0:
            usages = context.usages if clock.now() < 4.0 else []
            at_s = round(clock.now())
            if await writer.update(usages, context.workspaces):
                written.append(at_s)
            await asyncio.sleep(0.25)

    loop.run_until_complete(run())
    assert written == [0, 2, 4], written


@then('hosts divide the weight of w0 by it for 5 s')
def check_weights(context):
    """Check the weight after reads of a row, a repeat and a broken one."""
    _, clock = new_clock()
    view = desired_of('weighted', context.workspaces.values())
    weights = WorkspaceWeights(view, clock)
    row = StoredRow(SHARES_ROW, msgpack.encode(ShareRow(1, {'w0': 3.0})), 7)
    weights.on_rows([row], True)
    assert weights.effective('w0') == 1 / 3 and weights.effective('w1') == 1
    clock.ahead_s = 4.9
    weights.on_rows([row], True)
    weights.on_rows([StoredRow(SHARES_ROW, b'\xc1', 8)], False)
    assert weights.effective('w0') == 1 / 3
    clock.ahead_s = 5.1
    assert weights.effective('w0') == 1 and not weights.hints()


@then('at most {limit:d} workspaces have labels of their own')
def check_labels(context, limit):
    """Check the labels after the calls of many workspaces."""
    metrics = Load('weighted').metrics
    for number in range(limit + 50):
        metrics.workspace_refused(f'w{number}', 'no room')
    metrics.workspace_refused('w0', 'no room')
    text = metrics.render().decode()
    # `other` is one of the values.
    assert text.count('anvilcove_workspace_refusals_total{') == limit, text
    assert 'workspace="other"} 51' in text, text

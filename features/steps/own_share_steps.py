"""Steps on shares of workspaces in the own interface, in virtual time."""

import asyncio
import random
from collections import Counter
from hashlib import sha256
from types import SimpleNamespace
from unittest.mock import patch

from behave import then, when
from msgspec import Raw, convert, to_builtins
from queue_model import POOL, daemon_settings, members
from share_loads import new_clock

from anvilcove.cli.status import format_status
from anvilcove.commands.requests.dispatch import Dispatcher
from anvilcove.commands.requests.submit import SubmitComponent
from anvilcove.commands.rollouts.samples import SampleRunner
from anvilcove.daemon.app import load_modules
from anvilcove.daemon.context import Context
from anvilcove.decisions.limits import INITIAL_LIMIT
from anvilcove.decisions.types import (
    CANCELLED,
    INTERACTIVE,
    TRAINER,
    RouteRequest,
)
from anvilcove.messages.callers import ANSWERED, SubmitRequest
from anvilcove.messages.engines import TokenEvent
from anvilcove.messages.services import ServiceAnswer
from anvilcove.messages.steps import StepRow
from anvilcove.messages.trainers import SubmitStep
from anvilcove.queries.status import StatusComponent
from anvilcove.state.answers import RequestRecord
from anvilcove.state.steps import StepRun

ENDPOINTS = 2
CALL_S = 0.05
# Calls per second that the endpoints can serve.
CAPACITY = ENDPOINTS * INITIAL_LIMIT / CALL_S
# Request that takes a slot.
FILLER = RouteRequest('f', 'c', INTERACTIVE, POOL)
# Row of a step, whose workspace is in another row.
ROW = dict(state='open', epoch=1, fence=1, holder='h1', nonce='n', beat=0)
ROW |= dict(class_name='t', model='m', bound=4, body='')
CLASSES = [
    dict(kind='interactive', name='c', pool=POOL, deadline_ms=500),
    dict(kind='interactive', name='long', pool=POOL, deadline_ms=600_000),
    dict(kind='trainer', name='t', pool=POOL, model='m')
    | dict(step_within_ms=60_000, max_staleness_versions=4),
]


def document(**workspaces):
    """Return class declarations with the fields of each workspace."""
    return {
        'classes': CLASSES,
        'workspaces': [
            {
                'name': name,
                'key_digests': [sha256(name.encode()).hexdigest()],
                **fields,
            }
            for name, fields in workspaces.items()
        ],
    }


def new_context(declared):
    """Return a new loop and the context of a daemon with fake services."""
    load_modules()
    loop, clock = new_clock()

    async def build():
        return Context(daemon_settings(), clock, random.Random(1), None)

    context = loop.run_until_complete(build())
    context.confirmation = SimpleNamespace(refusal_reason=lambda now: '')
    context.policies['limits'] = SimpleNamespace(
        finished=lambda now, result: None, limit=lambda _: INITIAL_LIMIT
    )
    context.policies['hedging'] = SimpleNamespace(
        delay_s=lambda name: None, finished=lambda name, latency_s: None
    )
    context.config.apply(1, declared, 0.0)
    context.endpoints.update(members(ENDPOINTS), 0.0)
    return loop, context


class OwnLoad:
    """Calls of workspaces at one daemon, and what became of them."""

    def __init__(self, declared):
        """Build a daemon whose services answer after CALL_S."""
        self.loop, self.context = new_context(declared)
        self.submit = self.context.component(SubmitComponent)
        self.dispatcher = self.context.component(Dispatcher)
        self.sent, self.answered = Counter(), Counter()
        self.retry_after_ms = []
        for state in self.context.endpoints.by_id.values():
            port = SimpleNamespace(call=self.serve)
            key = (state.kind, state.address, False)
            self.context._endpoint_ports[key] = port

    async def serve(self, call, timeout_s, fresh_connection=False):
        """Answer as a service does."""
        await asyncio.sleep(CALL_S)
        return ServiceAnswer(request_id=call.request_id, complete=True)

    async def call(self, name, ended=lambda reason: None, class_name='c'):
        """Send one call of a workspace, if there are any."""
        self.sent[name] += 1
        directory = self.context.config.workspaces
        known = directory.by_name[name] if directory else None
        message = SubmitRequest(
            request_id=f'{name}-{self.sent[name]}',
            class_name=class_name,
            caller='x',
            body=Raw(b'{}'),
            repeatable=True,
        )
        record = RequestRecord(message.request_id, '', '', True, known)
        await self.submit._run_and_publish(message, record)
        ended(record.outcome.reason)
        self.answered[name] += record.outcome.outcome == ANSWERED
        if record.outcome.retry_after_ms:
            self.retry_after_ms.append(record.outcome.retry_after_ms)

    def fill(self):
        """Take all slots and return them."""
        return list(iter(lambda: self.dispatcher.try_acquire(FILLER), None))

    async def send(self, name, per_s):
        """Send calls at a rate until cancelled."""
        rng, tasks = random.Random(name), set()
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            tasks.add(asyncio.create_task(self.call(name)))

    def run(self, seconds, rates):
        """Send calls at the rates, then wait for the open ones."""

        async def send():
            senders = [
                asyncio.create_task(self.send(name, per_s))
                for name, per_s in rates.items()
            ]
            await asyncio.sleep(seconds)
            for sender in senders:
                sender.cancel()
            await asyncio.sleep(1.0)

        self.complete(send())
        return self

    def complete(self, work):
        """Run a coroutine, which is the last one."""
        self.loop.run_until_complete(work)
        self.loop.close()


@when(
    'workspace {name} floods the own interface with {factor:g} times its room'
)
def flood(context, name, factor):
    """Let two small workspaces send a tenth each; once without shares."""
    rates = {'s1': CAPACITY / 10, 's2': CAPACITY / 10, name: CAPACITY * factor}
    shared = document(s1={}, s2={}, **{name: {}})
    context.weighted = OwnLoad(shared).run(4.0, rates)
    context.arrival = OwnLoad({'classes': CLASSES}).run(4.0, rates)


@then(
    'of the calls of {name}, at least {weighted:g} are answered, '
    'without workspaces at most {arrival:g}'
)
def check_answered(context, name, weighted, arrival):
    """Compare the parts of the calls that were answered."""
    found, naive = (
        load.answered[name] / load.sent[name]
        for load in (context.weighted, context.arrival)
    )
    assert found >= weighted and naive <= arrival, (found, naive)


@then('the endpoints are used by at least {part:g}')
def check_used(context, part):
    """Check that no room is left idle for the sake of shares."""
    used = sum(context.weighted.answered.values()) / (CAPACITY * 4.0)
    assert used >= part, used


@then('refused callers are told different times to come back')
def check_retry_times(context):
    """Check the jitter: without it, most are told the longest time."""
    times = Counter(context.weighted.retry_after_ms)
    assert max(times.values()) < times.total() / 300, times.most_common(3)


def order_of(declared, names, change=None):
    """Return the order in which calls that wait together are served.

    The class declarations become `change` while they wait.
    """
    load = OwnLoad(declared)
    order = []

    async def serve(call, timeout_s, fresh_connection=False):
        order.append(call.request_id.partition('-')[0])
        return await load.serve(call, timeout_s)

    for port in load.context._endpoint_ports.values():
        port.call = serve

    async def wait_and_run():
        slots = load.fill()
        calls = asyncio.gather(*(load.call(name) for name in names))
        await asyncio.sleep(0.001)
        if change is not None:
            load.context.config.apply(2, change, 0.0)
        for slot in slots:
            slot.release(CANCELLED)
        await calls

    load.complete(wait_and_run())
    assert sum(load.answered.values()) == len(names), load.answered
    return order


@then('as others arrive, what no longer fits is refused at once, of f only')
def check_excess(context):
    """Let 4 workspaces arrive after f has filled the queue alone."""
    names = ['f', 's1', 's2', 's3', 's4']
    load = OwnLoad(document(**dict.fromkeys(names, {})))
    reasons = {name: Counter() for name in names}
    excess = 'too much of its workspace waits'

    async def arrive():
        # The service time is known from a first call.
        await load.call('f')
        slots = load.fill()
        tasks = []
        for name in names:
            count = reasons[name].update
            for _ in range(100):
                sending = load.call(name, lambda why, c=count: c([why]))
                tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(0.001)
        at_once = reasons['f'][excess]
        status = load.context.component(StatusComponent)
        shown = format_status(to_builtins(status.report()))
        place = shown.index('workspace  weight  waiting_calls_s')
        assert shown[place:].count('\n') == len(names), shown
        for slot in slots:
            slot.release(CANCELLED)
        await asyncio.gather(*tasks)
        return at_once

    at_once = load.loop.run_until_complete(arrive())
    load.loop.close()
    assert at_once and at_once == reasons['f'][excess], reasons
    # Admission refuses the others by their shares; all it takes are answered.
    refused = {'', 'expected wait exceeds the deadline'}
    assert all(set(reasons[name]) == refused for name in names[1:]), reasons


@then('no more calls wait than a pool may queue, as many of each workspace')
def check_queue_bound(context):
    """Let 8 workspaces with deadlines of minutes fill the queue in turn."""
    names = [f'w{number}' for number in range(8)]
    load = OwnLoad(document(**dict.fromkeys(names, {})))
    bound, sizes = 96, []

    async def arrive():
        await load.call(names[0])
        load.fill()
        # A sample of the first workspace waits all the time.
        until_s = load.context.clock.now() + 60.0
        sample = RouteRequest('s', 't', TRAINER, POOL, deadline_at_s=until_s)
        sample.workspace = names[0]
        acquired = load.dispatcher.acquire(sample, 2)
        waiting.append(asyncio.create_task(acquired))
        await asyncio.sleep(0.001)
        for name in names:
            tasks = [load.call(name, class_name='long') for _ in range(bound)]
            waiting.extend(asyncio.create_task(task) for task in tasks)
            await asyncio.sleep(0.001)
            sizes.append(load.dispatcher.queued(POOL))
        work_s = load.dispatcher.waiting_s_by_workspace()
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        return work_s

    waiting = []
    path = 'anvilcove.{}.MAX_QUEUED'.format
    with (
        patch(path('decisions.admission'), bound),
        patch(path('commands.requests.workspace_shares'), bound),
    ):
        work_s = load.loop.run_until_complete(arrive())
    load.loop.close()
    assert sizes[0] == max(sizes) == bound + 1, sizes
    calls = [work_s.get(name, 0.0) / CALL_S for name in names]
    assert max(calls) - min(calls) <= 2, calls


@then('waiting calls follow the weights, and only where there are workspaces')
def check_weights(context):
    """Let 24 calls of each of two workspaces wait, the second has weight 3."""
    names = ['a'] * 24 + ['b'] * 24
    shared, plain = document(a={}, b={'weight': 3}), {'classes': CLASSES}
    found = order_of(shared, names)
    assert found[:32].count('a') == 8, found
    assert order_of(plain, names) == names
    # Also for calls that already wait when the declarations change; those
    # that came without a workspace are one flow.
    assert order_of(shared, names, plain) == names
    assert order_of(plain, names, shared) == names


@then('weights of {large:g} and {small:g} end no call with an exception')
def check_extreme_weights(context, large, small):
    """Let calls of two large weights and a small one wait."""
    declared = document(
        a={'weight': large}, b={'weight': large}, c={'weight': small}
    )
    # The calls of the small weight go last.
    found = order_of(declared, ['c'] * 10 + ['a'] * 10 + ['b'] * 10)
    assert found[1:21].count('c') <= 1, found


@then(
    'waiting calls of a higher priority go first, lower ones are not starved'
)
def check_priorities(context):
    """Let 4 calls of a lower priority wait before 60 of a higher one."""
    names = ['l'] * 4 + ['h'] * 60
    declared = document(l={'priority': 1}, h={'priority': 0})
    found = order_of(declared, names)
    first = [place for place, name in enumerate(found) if name == 'l']
    # One in 20 calls is of the lower priority.
    assert 15 <= first[0] <= 25 and first[1] <= 45, first


def order_of_samples(declared, steps, taken=120):
    """Return the workspaces of samples in the order in which they start.

    Each step (workspace, samples, tokens) is that of its own trainer; without
    workspaces the trainers are returned.
    """
    load, order = OwnLoad(declared), []

    async def generate(request):
        trainer = request.request_id.partition('/')[0]
        order.append(getattr(request, 'workspace', trainer))
        for index in range(request.max_tokens):
            await asyncio.sleep(0.01)
            yield TokenEvent(
                request_id=trainer, index=index, text='t', version=1
            )

    for port in load.context._endpoint_ports.values():
        port.generate = generate
        port.cancel = lambda request_id: asyncio.sleep(0)
    runner = load.context.component(SampleRunner)

    async def start():
        for number, (name, samples, tokens) in enumerate(steps):
            fields = {'trainer': name, 'class_name': 't', 'step': 1}
            fields['groups'] = [
                dict(group=f'{n}', prompt=f'{n}', samples=1, max_tokens=tokens)
                for n in range(samples)
            ]
            owner = name if 'workspaces' in declared else ''
            body = convert(fields, SubmitStep)
            step = StepRun(body, convert(ROW, StepRow), 1, number, owner)
            runner.registry.add(step)
            runner.start(step)
        while len(order) < taken:
            await asyncio.sleep(0.1)
        await runner.close()

    load.complete(start())
    return order[:taken]


@then('the metrics of the own interface name {count:d} workspaces')
def check_metrics(context, count):
    """Count the label values after calls of more workspaces, and of none."""
    names = [f'w{number}' for number in range(count + 50)]
    load = OwnLoad(document(**{name: {} for name in names}))

    async def call_all():
        for name in names:
            await load.call(name)

    load.complete(call_all())
    text = load.context.metrics.render().decode()
    metric = 'anvilcove_requests_by_workspace_total{'
    assert text.count(metric) == count, text
    assert f'{metric}status="200",workspace="other"}} 51' in text, text
    plain = context.arrival.context.metrics.render().decode()
    assert 'workspace' not in plain, plain


@then('samples of steps follow the shares of tokens between workspaces')
def check_samples(context):
    """Let samples of 4 and of 16 tokens wait, and those of two priorities."""
    steps = [('a', 200, 16), ('b', 200, 4)]
    declared = document(a={}, b={})
    found = order_of_samples(declared, steps)
    # Equal tokens: 4 samples of b for each of a, once all engines are busy.
    later = found[ENDPOINTS * int(INITIAL_LIMIT) :]
    assert 0.7 <= later.count('b') / len(later) <= 0.85, found
    plain = {'classes': CLASSES}
    assert order_of_samples(plain, steps) == ['a'] * 120
    declared = document(a={'priority': 1}, b={'priority': 0})
    later = order_of_samples(declared, steps)
    assert 0.9 <= later.count('b') / len(later) < 1, later


@then('workspaces of a lower priority share what a flood leaves')
def check_lower_priority(context):
    """Let samples of a flood and of two lower workspaces wait."""
    lower = {'priority': 1}
    declared = document(h={'priority': 0}, b=lower, c={**lower, 'weight': 3})
    steps = [('h', 900, 4), ('b', 100, 4), ('c', 100, 4)]
    order = order_of_samples(declared, steps, 500)
    found = Counter(order[ENDPOINTS * int(INITIAL_LIMIT) :])
    assert found['b'] >= 4 and 2 <= found['c'] / found['b'] <= 4, found

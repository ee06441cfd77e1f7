"""Steps for failing contents and endpoints at the own interface."""

import asyncio
import itertools

from behave import given, then, when
from msgspec import Raw, convert
from own_share_steps import CALL_S, CLASSES, ROW, OwnLoad
from queue_model import members

from anvilcove.commands.rollouts.samples import SampleRunner
from anvilcove.messages.base import encode
from anvilcove.messages.callers import ANSWERED, SubmitRequest
from anvilcove.messages.engines import TokenEvent
from anvilcove.messages.services import ServiceAnswer
from anvilcove.messages.steps import StepRow
from anvilcove.messages.trainers import SubmitStep
from anvilcove.ports.errors import EndpointFailed
from anvilcove.standins.memory_run_faults import (
    RUN_FAULTS,
    EndpointFault,
    RunFailed,
    run_sound,
)
from anvilcove.state.answers import RequestRecord
from anvilcove.state.steps import StepRun

ENDPOINTS = 4
TOKENS = 6
TOKEN_S = 0.04
SAMPLES, FAILING_SAMPLES = 104, 16
# Each sound call takes 0.05 s; four endpoints of 8 slots serve 640 a second.
SOUND_PERIOD_S = 0.01
SOUND_PER_FAILING = 5
DEADLINE_S = 0.5
BAD = 'bad'


class FakePort:
    """Endpoint of the own interface whose runs of some contents fail."""

    def __init__(self, owner, fault=None):
        """Report runs to `owner`; `fault` strikes those of all contents."""
        self.owner = owner
        self.fault = fault

    async def _strike(self, content, events, state):
        fault = state.get('fault')
        if fault is None:
            fault = run_sound
            if BAD in content:
                fault = self.owner.fault
            elif self.fault is not None:
                fault = self.fault.next_run() or run_sound
            state['fault'] = fault
        try:
            await fault(events)
        except RunFailed as error:
            raise EndpointFailed('status 500') from error

    async def call(self, call, timeout_s, fresh_connection=False):
        """Answer a call."""
        self.owner.runs.append((self, bytes(call.body).decode()))
        async with asyncio.timeout(timeout_s) as timeout:
            try:
                await self._strike(bytes(call.body).decode(), 0, {})
                await asyncio.sleep(CALL_S)
            except asyncio.CancelledError as error:
                if timeout.expired():
                    raise EndpointFailed('no answer in time') from error
                raise
        return ServiceAnswer(request_id=call.request_id, complete=True)

    async def generate(self, request):
        """Stream the tokens of a sample."""
        self.owner.runs.append((self, request.prompt))
        state = {}
        first = len(request.resume_tokens)
        await self._strike(request.prompt, first, state)
        for index in range(first, request.max_tokens):
            await asyncio.sleep(TOKEN_S)
            await self._strike(request.prompt, index, state)
            yield TokenEvent(
                request_id=request.request_id,
                index=index,
                text='t',
                version=1,
            )

    async def load(self):
        """Answer a check whether the endpoint is reached."""

    async def cancel(self, request_id):
        """End a generation."""


class FailingLoad(OwnLoad):
    """Calls and samples, some of which fail, at one daemon."""

    def __init__(self, fault, faulty=0, share=1.0):
        """Let contents, or all contents at `faulty` endpoints, fail."""
        super().__init__({'classes': CLASSES})
        self.fault = RUN_FAULTS[fault]
        self.runs = []
        self.ports = []
        self.context.endpoints.update(members(ENDPOINTS), 0.0)
        for state in self.context.endpoints.by_id.values():
            strikes = len(self.ports) < faulty
            port = FakePort(
                self, EndpointFault(fault, share) if strikes else None
            )
            key = (state.kind, state.address, False)
            self.context._endpoint_ports[key] = port
            self.ports.append(port)
        self.outcomes = []
        self.steps = {}
        self.numbers = itertools.count()

    async def call_content(self, content):
        """Send one call; keep whether a sound one was answered."""
        name = f'{content}-{next(self.numbers)}'
        message = SubmitRequest(
            request_id=name,
            class_name='c',
            caller='x',
            body=Raw(encode({'content': name})),
            repeatable=True,
        )
        record = RequestRecord(name, '', '', True, None)
        await self.submit._run_and_publish(message, record)
        if content != BAD:
            self.outcomes.append(record.outcome.outcome == ANSWERED)

    async def send_calls(self, seconds, failing):
        """Send sound calls at a steady rate, and failing ones with them."""
        tasks = set()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        for number in itertools.count(1):
            if loop.time() >= until_s:
                break
            tasks.add(asyncio.create_task(self.call_content('sound')))
            if failing and number % SOUND_PER_FAILING == 0:
                tasks.add(asyncio.create_task(self.call_content(BAD)))
            await asyncio.sleep(SOUND_PERIOD_S)
        await asyncio.wait(tasks)

    async def run_steps(self, seconds, failing):
        """Run two steps, the first of which has samples that fail."""
        runner = self.context.component(SampleRunner)
        for number, trainer in enumerate(('t1', 't2')):
            bad = FAILING_SAMPLES if failing and trainer == 't1' else 0
            fields = {'trainer': trainer, 'class_name': 't', 'step': 1}
            fields['groups'] = [
                dict(
                    group=f'{n}',
                    prompt=f'{trainer} {BAD if n < bad else "sound"} {n}',
                    samples=1,
                    max_tokens=TOKENS,
                )
                for n in range(SAMPLES)
            ]
            body = convert(fields, SubmitStep)
            step = StepRun(body, convert(ROW, StepRow), 1, number, '')
            self.steps[trainer] = step
            runner.registry.add(step)
            runner.start(step)
        await asyncio.sleep(seconds)
        await runner.close()

    def missing(self):
        """Return the prompts of sound samples without a whole result."""
        return [
            sample.group.prompt
            for step in self.steps.values()
            for sample in step.samples
            if BAD not in sample.group.prompt
            and (sample.result is None or len(sample.result.tokens) != TOKENS)
        ]


@given('calls of the own interface of which some each {kind} at each run')
def fail_calls(context, kind):
    """Let contents fail at every endpoint."""
    context.own = FailingLoad(kind)


@given(
    '{faulty:d} of 4 endpoints of the own interface each {kind} in {share:f} '
    'of the runs'
)
def fail_endpoints(context, faulty, kind, share):
    """Let endpoints fail whatever they run."""
    context.own = FailingLoad(kind, faulty, share)


@when('calls are sent to the own interface for {seconds:g} s')
def send_calls(context, seconds):
    """Send calls of one class."""
    own = context.own
    failing = all(port.fault is None for port in own.ports)
    own.complete(own.send_calls(seconds, failing))


@when('two steps of 104 samples run at the own interface for {seconds:g} s')
def run_steps(context, seconds):
    """Run steps of two trainers."""
    own = context.own
    failing = all(port.fault is None for port in own.ports)
    own.complete(own.run_steps(seconds, failing))


@then('every sound call of the own interface was answered')
def check_calls(context):
    """Check that no sound call was refused or failed."""
    outcomes = context.own.outcomes
    assert outcomes and all(outcomes), (
        outcomes.count(False),
        len(outcomes),
    )


@then('every sound sample of the own interface has its tokens')
def check_samples(context):
    """Check that no sound sample lacks a result."""
    missing = context.own.missing()
    assert not missing, (len(missing), missing[:5])


@then('no failing sample ran again before each other sample ran')
def check_order(context):
    """Check that failing samples went after those that were not tried."""
    prompts = [prompt for _, prompt in context.own.runs]
    last_first = max(prompts.index(prompt) for prompt in set(prompts))
    early = [
        prompt
        for prompt in {prompt for prompt in prompts if BAD in prompt}
        if prompts[:last_first].count(prompt) > 1
    ]
    assert not early, early


@then('few of the last runs were at the faulty endpoints')
def check_left_out(context):
    """Check that at most a fifth of the later half of the runs were there."""
    runs = context.own.runs
    later = runs[len(runs) // 2 :]
    faulty = sum(port.fault is not None for port, _ in later)
    assert faulty <= len(later) / 5, (faulty, len(later))

"""Steps of a trainer: submit, fetch, acknowledge, and check deliveries."""

import asyncio
import json

import yaml
from behave import given, then, when
from fault_steps import engine_lines
from site_steps import host_url, run, wait_for

from anvilcove.client.trainer import Trainer, TrainerSettings
from anvilcove.messages.base import decode
from anvilcove.messages.trainers import Batch, GroupSpec

TAKE_LIMIT_S = 45.0
MAX_TOKENS = 2_000


def groups_of(groups, samples, tokens):
    """Return the specification of some equal groups."""
    return [
        GroupSpec(
            group=f'g{number}',
            prompt=f'prompt {number}',
            samples=samples,
            max_tokens=tokens,
        )
        for number in range(1, groups + 1)
    ]


def records(context):
    """Return what the trainers submitted and received in this scenario."""
    if not hasattr(context, 'submitted'):
        context.submitted = {}
        context.delivered = {}
        context.fetches = []
        context.newest = 0
    return context


def settings(context, trainer, hosts):
    """Return the settings of a trainer that uses some hosts."""
    by_host = context.site.settings_by_host
    return TrainerSettings(
        trainer=trainer,
        class_name='rollouts',
        entries=[by_host[host].listen_address for host in hosts],
        discover=False,
    )


@given('a trainer class with a bound of {bound:d} versions')
def declare_class(context, bound):
    """Declare the class of the trainers at every host."""
    context.declared = yaml.safe_dump(
        {
            'classes': [
                {
                    'kind': 'trainer',
                    'name': 'rollouts',
                    'pool': 'advisor-llm',
                    'model': 'advisor-llm',
                    'step_within_ms': 1000,
                    'max_staleness_versions': bound,
                }
            ]
        }
    )
    context.execute_steps(
        f'Given the class declarations\n"""\n{context.declared}\n"""'
    )


@when(
    'trainer {trainer} submits step {step:d} with {groups:d} groups of '
    '{samples:d} samples of {tokens:d} tokens at host {host}'
)
def submit(context, trainer, step, groups, samples, tokens, host):
    """Submit a step at one host and keep the status."""
    specs = groups_of(groups, samples, tokens)
    body = {
        'trainer': trainer,
        'class_name': 'rollouts',
        'step': step,
        'groups': [
            {
                'group': spec.group,
                'prompt': spec.prompt,
                'samples': spec.samples,
                'max_tokens': spec.max_tokens,
            }
            for spec in specs
        ],
    }

    async def send():
        url = f'{host_url(context, host)}/v1/steps'
        async with context.session.post(url, json=body) as response:
            context.answer = (response.status, await response.read())

    run(context, send())
    if context.answer[0] == 200:
        records(context).submitted[trainer, step] = specs


def check_bound(context, batch):
    """Check that no sample is older than the bound when it arrives."""
    target = yaml.safe_load(context.declared)['classes'][0]
    oldest = min(
        part.version for sample in batch.samples for part in sample.versions
    )
    bound = target['max_staleness_versions']
    assert context.newest - oldest <= bound, (context.newest, oldest)


@when('trainer {trainer} takes {count:d} steps from hosts {hosts}')
def take_steps(context, trainer, count, hosts):
    """Take and acknowledge batches with the trainer's library."""
    names = [name.strip() for name in hosts.split(',')]
    take_with(context, count, settings(context, trainer, names))


@when(
    'trainer {trainer} takes {count:d} steps from the hosts that {host} names'
)
def take_discovered(context, trainer, count, host):
    """Take batches from the entry hosts that one host names."""
    chosen = settings(context, trainer, [host])
    chosen.discover = True
    take_with(context, count, chosen)


def take_with(context, count, chosen):
    """Take batches until the trainer has a number of steps."""
    trainer = chosen.trainer
    taken = records(context).delivered.setdefault(trainer, [])

    async def take():
        async with (
            asyncio.timeout(TAKE_LIMIT_S),
            Trainer(chosen) as client,
        ):
            async for batch in client.batches(after=len(taken)):
                taken.append(batch)
                check_bound(context, batch)
                await batch.ack()
                if len(taken) == count:
                    return

    run(context, take())


@when('trainer {trainer} fetches step {step:d} at host {host}')
def fetch(context, trainer, step, host):
    """Fetch a step at one host until it is there."""

    async def get():
        url = (
            f'{host_url(context, host)}/v1/trainers/{trainer}/batch'
            f'?after={step - 1}&wait_ms=1000'
        )
        async with asyncio.timeout(TAKE_LIMIT_S):
            while True:
                async with context.session.get(url) as response:
                    if response.status == 200:
                        data = await response.read()
                        check_bound(context, decode(data, Batch))
                        return data, response.headers['X-Digest']
                    assert response.status == 204, await response.text()

    records(context).fetches.append(run(context, get()))


@when('trainer {trainer} acknowledges the fetched batch at host {host}')
@when(
    'trainer {trainer} acknowledges the fetched batch with epoch {epoch:d} '
    'at host {host}'
)
def acknowledge(context, trainer, host, epoch=None):
    """Acknowledge the batch that was fetched last."""
    send_ack(context, trainer, host, context.fetches[-1], epoch)


def send_ack(context, trainer, host, fetched, epoch=None):
    """Acknowledge a fetched batch and keep the answer."""
    data, digest = fetched
    batch = decode(data, Batch)
    body = {
        'step': batch.step,
        'epoch': batch.epoch if epoch is None else epoch,
        'digest': digest,
    }

    async def send():
        url = f'{host_url(context, host)}/v1/trainers/{trainer}/ack'
        async with context.session.post(url, json=body) as response:
            context.answer = (response.status, await response.read())

    run(context, send())


@then('the answer has status {status:d}')
def check_status(context, status):
    """Check the status of the last call."""
    assert context.answer[0] == status, context.answer


@then('both fetches have the same bytes')
def check_bytes(context):
    """Compare the last two fetches."""
    assert context.fetches[-1] == context.fetches[-2]


@then('trainer {trainer} has each sample of steps {first:d} to {last:d} once')
def check_samples(context, trainer, first, last):
    """Compare the delivered samples with the submitted steps."""
    batches = context.delivered[trainer]
    assert [b.step for b in batches] == list(range(first, last + 1)), [
        b.step for b in batches
    ]
    for batch in batches:
        specs = context.submitted[trainer, batch.step]
        expected = [
            f'{trainer}/{batch.step}/{batch.epoch}/{spec.group}/{index}'
            for spec in specs
            for index in range(spec.samples)
        ]
        assert [s.sample_id for s in batch.samples] == expected


@then(
    'a fetch of step {step:d} by trainer {trainer} at host {host} '
    'has status {status:d}'
)
def check_fetch_status(context, step, trainer, host, status):
    """Fetch once and check the status."""

    async def get():
        url = (
            f'{host_url(context, host)}/v1/trainers/{trainer}/batch'
            f'?after={step - 1}&wait_ms=500'
        )
        async with context.session.get(url) as response:
            return response.status

    found = run(context, get())
    assert found == status, found


@when('step {step:d} of trainer {trainer} has {count:d} finished samples')
def wait_finished(context, step, trainer, count):
    """Wait until the engines have completed enough samples of a step."""
    prefix = f'{trainer}/{step}/'

    async def finished():
        done = {
            line['request_id'].partition('~')[0]
            for lines in engine_lines(context).values()
            for line in lines
            if line['event'] == 'finished'
            and line['completed']
            and line['request_id'].startswith(prefix)
        }
        return len(done) >= count

    run(context, wait_for(finished))


@when(
    'version {version:d} is published between the reads and the fix of '
    'step {step:d} of trainer {trainer}'
)
def publish_in_fix(context, version, step, trainer):
    """Publish at once with a fetch; with a slow store the two overlap."""
    path = f'/v1/trainers/{trainer}/batch?after={step - 1}&wait_ms=1000'
    message = {'model': 'advisor-llm', 'version': version}

    async def fetch_once():
        async with context.session.get(
            f'{host_url(context, "h1")}{path}'
        ) as response:
            if response.status == 200:
                check_bound(context, decode(await response.read(), Batch))

    async def send():
        async with context.session.post(
            f'{host_url(context, "h2")}/v1/weights', json=message
        ) as response:
            assert response.status == 200, await response.text()

    async def both():
        await asyncio.gather(fetch_once(), send())

    run(context, both())
    records(context).newest = version


@when(
    'a fetch of step {step:d} by {trainer} at {host} meets the '
    'acknowledgement at {other} {later:f} s later'
)
def fetch_and_acknowledge(context, trainer, step, host, other, later):
    """Fetch again while the first batch is acknowledged; either may win."""
    data, digest = context.fetches[0]
    path = f'/v1/trainers/{trainer}/batch?after={step - 1}&wait_ms=1000'
    message = {
        'step': step,
        'epoch': decode(data, Batch).epoch,
        'digest': digest,
    }

    async def fetch_once():
        async with context.session.get(
            f'{host_url(context, host)}{path}'
        ) as response:
            assert response.status in (200, 204, 409), response.status

    async def send_late():
        await asyncio.sleep(later)
        url = f'{host_url(context, other)}/v1/trainers/{trainer}/ack'
        async with context.session.post(url, json=message) as response:
            assert response.status in (200, 409), response.status

    async def both():
        await asyncio.gather(fetch_once(), send_late())

    run(context, both())


@when('trainer {trainer} acknowledges the first fetched batch at host {host}')
def acknowledge_first(context, trainer, host):
    """Acknowledge the batch that was fetched first."""
    send_ack(context, trainer, host, context.fetches[0])


@then('the fetched batches have the epochs {epochs}')
def check_epochs(context, epochs):
    """Compare the epochs of all fetches."""
    found = [decode(data, Batch).epoch for data, _ in context.fetches]
    assert found == json.loads(f'[{epochs}]'), found


@then('publishing version {version:d} at host {host} has status {status:d}')
def check_publish(context, version, host, status):
    """Publish once and check the status."""
    message = {'model': 'advisor-llm', 'version': version}

    async def send():
        async with context.session.post(
            f'{host_url(context, host)}/v1/weights', json=message
        ) as response:
            return response.status

    found = run(context, send())
    assert found == status, found


@then('each sample of step {step:d} of trainer {trainer} ran once')
def check_ran_once(context, step, trainer):
    """Check that no sample was started twice at the engines."""
    started = [
        line['request_id'].partition('~')[0]
        for lines in engine_lines(context).values()
        for line in lines
        if line['event'] == 'started'
        and line['request_id'].startswith(f'{trainer}/{step}/')
    ]
    assert len(started) == len(set(started)), started

"""Steps of a trainer that submits, fetches and acknowledges steps."""

import asyncio
import json

import yaml
from behave import given, then, when
from fault_steps import engine_lines
from site_steps import host_url, run, wait_for

from anvilcove.client.trainer import Trainer, TrainerSettings
from anvilcove.messages.base import decode
from anvilcove.messages.trainers import Batch, GroupSpec

RECEIVE_TIMEOUT_S = 45.0
MAX_TOKENS = 2_000


def group_specs(groups, samples, tokens):
    """Return the specifications of groups that differ in their prompts."""
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
    """Return the context, with the records of the trainers in it.

    They are the submitted groups and delivered batches of each trainer, the
    fetches, and the newest published version.
    """
    if not hasattr(context, 'submitted'):
        context.submitted = {}
        context.delivered = {}
        context.fetches = []
        context.newest = 0
    return context


def settings(context, trainer, hosts):
    """Return the settings of a trainer that connects to the given hosts."""
    by_host = context.site.settings_by_host
    return TrainerSettings(
        trainer=trainer,
        class_name='rollouts',
        entries=[by_host[host].listen_address for host in hosts],
        discover=False,
    )


@given('a trainer class with a bound of {bound:d} versions')
def declare_class(context, bound):
    """Apply the declaration of the trainer class at every host."""
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
    """Submit a step at one host and store the response."""
    specs = group_specs(groups, samples, tokens)
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
    """Check that no sample exceeds the staleness bound when it arrives."""
    target = yaml.safe_load(context.declared)['classes'][0]
    oldest = min(
        part.version for sample in batch.samples for part in sample.versions
    )
    bound = target['max_staleness_versions']
    assert context.newest - oldest <= bound, (context.newest, oldest)


@when('trainer {trainer} receives {count:d} steps in total from hosts {hosts}')
def receive_steps(context, trainer, count, hosts):
    """Receive and acknowledge batches with the trainer library."""
    names = [name.strip() for name in hosts.split(',')]
    receive_until(context, count, settings(context, trainer, names))


@when(
    'trainer {trainer} receives {count:d} steps in total from the hosts '
    'that {host} lists'
)
def receive_from_listed(context, trainer, count, host):
    """Receive batches from the entry hosts that one host lists."""
    trainer_settings = settings(context, trainer, [host])
    trainer_settings.discover = True
    receive_until(context, count, trainer_settings)


def receive_until(context, count, trainer_settings):
    """Receive batches until the trainer has `count` steps in total."""
    trainer = trainer_settings.trainer
    received = records(context).delivered.setdefault(trainer, [])

    async def receive():
        async with (
            asyncio.timeout(RECEIVE_TIMEOUT_S),
            Trainer(trainer_settings) as client,
        ):
            async for batch in client.batches(after=len(received)):
                received.append(batch)
                check_bound(context, batch)
                await batch.ack()
                if len(received) == count:
                    return

    run(context, receive())


@when('trainer {trainer} fetches step {step:d} at host {host}')
def fetch(context, trainer, step, host):
    """Poll one host until it returns the batch of a step."""

    async def get():
        url = (
            f'{host_url(context, host)}/v1/trainers/{trainer}/batch'
            f'?after={step - 1}&wait_ms=1000'
        )
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
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
    """Acknowledge a fetched batch and store the response."""
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
    """Check the status of the last submission or acknowledgement."""
    assert context.answer[0] == status, context.answer


@then('both fetches have the same bytes')
def check_bytes(context):
    """Compare the last two fetches."""
    assert context.fetches[-1] == context.fetches[-2]


@then('trainer {trainer} has each sample of steps {first:d} to {last:d} once')
def check_samples(context, trainer, first, last):
    """Compare the delivered sample ids with the submitted steps."""
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
    'version {version:d} is published while a fetch makes final step '
    '{step:d} of trainer {trainer}'
)
def publish_during_fetch(context, version, step, trainer):
    """Publish and fetch concurrently; a slow store makes them overlap."""
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
    'step {step:d} is fetched by {trainer} at {host} and acknowledged at '
    '{other} {later:f} s later'
)
def fetch_and_acknowledge(context, trainer, step, host, other, later):
    """Fetch again while the first batch is acknowledged.

    Either may take effect first.
    """
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

    async def acknowledge_later():
        await asyncio.sleep(later)
        url = f'{host_url(context, other)}/v1/trainers/{trainer}/ack'
        async with context.session.post(url, json=message) as response:
            assert response.status in (200, 409), response.status

    async def both():
        await asyncio.gather(fetch_once(), acknowledge_later())

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
    """Check that no engine started a sample of the step again."""
    started = [
        line['request_id'].partition('~')[0]
        for lines in engine_lines(context).values()
        for line in lines
        if line['event'] == 'started'
        and line['request_id'].startswith(f'{trainer}/{step}/')
    ]
    assert len(started) == len(set(started)), started

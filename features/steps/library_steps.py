"""Steps that test the trainer library against a simulated entry host."""

import asyncio

from aiohttp import web
from behave import given, then, when
from site_steps import run
from xxhash import xxh3_128_hexdigest

from anvilcove.client.trainer import Trainer, TrainerSettings
from anvilcove.messages.base import encode
from anvilcove.messages.callers import VersionRange
from anvilcove.messages.trainers import Batch, Sample

# Time that passes before a late response.
LATE_S = 2.5


class SimulatedEntryHost:
    """Simulated entry host with prepared responses and a clock."""

    def __init__(self, responses):
        """Start with the responses in their order, (kind, epoch) each."""
        self.responses = responses
        self.now_s = 0.0
        self.fetches = 0
        self.refused = set()
        self.acknowledged = []
        self.cursor = None

    def clock(self):
        """Return the simulated time that the library uses."""
        return self.now_s

    async def fetch(self, request):
        """Return the next prepared response to a fetch."""
        self.fetches += 1
        kind, epoch = self.responses.pop(0)
        step = int(request.query['after']) + (2 if kind == 'foreign' else 1)
        data = encode(one_sample_batch(step, epoch))
        digest = xxh3_128_hexdigest(data)
        if kind == 'late':
            self.now_s += LATE_S
        if kind == 'damaged':
            data = data.replace(b'"t0"', b'"t1"')
        headers = {'X-Epoch': str(epoch), 'X-Digest': digest}
        return web.Response(body=data, headers=headers)

    async def ack(self, request):
        """Acknowledge unless the epoch is refused."""
        message = await request.json()
        if message['epoch'] in self.refused:
            return web.json_response({}, status=409)
        if self.cursor not in (None, message['step'] - 1):
            return web.json_response({}, status=409)
        self.cursor = message['step']
        self.acknowledged.append(message['epoch'])
        return web.json_response({'cursor': message['step']})


def one_sample_batch(step, epoch):
    """Return a batch with one sample."""
    sample = Sample(
        sample_id=f't1/{step}/{epoch}/g1/0',
        group='g1',
        index=0,
        tokens=['t0'],
        versions=[VersionRange(version=0, start=0, end=1)],
    )
    return Batch(
        trainer='t1', step=step, epoch=epoch, model='m', samples=[sample]
    )


@given('an entry host that answers fetches with')
def prepare_entry(context):
    """Prepare the responses of the table."""
    context.entry = SimulatedEntryHost(
        [(row['answer'], int(row['epoch'])) for row in context.table]
    )


@given('the entry host refuses acknowledgements of epoch {epoch:d}')
def refuse_epoch(context, epoch):
    """Respond with 409 to acknowledgements of an epoch."""
    context.entry.refused.add(epoch)


@given('the entry host has the cursor at step {step:d}')
def set_cursor(context, step):
    """Accept acknowledgements only of the step after the cursor."""
    context.entry.cursor = step


@when('the library takes {count:d} step')
@when('the library takes {count:d} step after step {after:d}')
def receive(context, count, after=0):
    """Receive and acknowledge steps."""
    run(context, receive_batches(context, count, after))


async def receive_batches(context, count, after):
    """Serve the entry host and receive batches from it."""
    app = web.Application()
    app.router.add_get('/v1/trainers/t1/batch', context.entry.fetch)
    app.router.add_post('/v1/trainers/t1/ack', context.entry.ack)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    ip, port = runner.addresses[0]
    settings = TrainerSettings(
        trainer='t1',
        class_name='rollouts',
        entries=[f'{ip}:{port}'],
        discover=False,
    )
    context.received = []
    async with (
        asyncio.timeout(30),
        Trainer(settings, clock=context.entry.clock) as trainer,
    ):
        async for batch in trainer.batches(after=after):
            context.received.append(batch)
            await batch.ack()
            if len(context.received) == count:
                break
    await runner.cleanup()


@then('the steps have the epochs {epoch:d}')
def check_received_epochs(context, epoch):
    """Compare the epochs of the received batches."""
    assert [batch.epoch for batch in context.received] == [epoch]


@then('the entry host was asked {count:d} times for a batch')
def check_fetches(context, count):
    """Check that the library fetched again after each dropped response."""
    assert context.entry.fetches == count, context.entry.fetches


@then('the entry host acknowledged epoch {epoch:d}')
def check_ack(context, epoch):
    """Check that only this epoch was acknowledged."""
    assert context.entry.acknowledged == [epoch]


@then('the cursor of the entry host is at step {step:d}')
def check_cursor(context, step):
    """Check the step that was last acknowledged."""
    assert context.entry.cursor == step, context.entry.cursor

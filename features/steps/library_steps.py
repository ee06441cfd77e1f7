"""Steps that check the trainer's library against an entry host in memory."""

import asyncio

from aiohttp import web
from behave import given, then, when
from site_steps import run
from xxhash import xxh3_128_hexdigest

from anvilcove.client.trainer import Trainer, TrainerSettings
from anvilcove.messages.base import encode
from anvilcove.messages.callers import VersionRange
from anvilcove.messages.trainers import Batch, Sample

LATE_S = 2.5


class FakeEntry:
    """Entry host that gives prepared answers and moves the clock."""

    def __init__(self, answers):
        """Keep the answers in their order."""
        self.answers = answers
        self.now_s = 0.0
        self.fetches = 0
        self.refused = set()
        self.acknowledged = []
        self.cursor = None

    def clock(self):
        """Return the time that the library sees."""
        return self.now_s

    async def fetch(self, request):
        """Give the next answer."""
        self.fetches += 1
        kind, epoch = self.answers.pop(0)
        step = int(request.query['after']) + (2 if kind == 'foreign' else 1)
        data = encode(batch_of(step, epoch))
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


def batch_of(step, epoch):
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
    """Prepare the answers of the table."""
    context.entry = FakeEntry(
        [(row['answer'], int(row['epoch'])) for row in context.table]
    )


@given('the entry host refuses acknowledgements of epoch {epoch:d}')
def refuse_epoch(context, epoch):
    """Answer 409 for an epoch."""
    context.entry.refused.add(epoch)


@given('the entry host has the cursor at step {step:d}')
def set_cursor(context, step):
    """Refuse acknowledgements of any step but the next one."""
    context.entry.cursor = step


@when('the library takes {count:d} step')
@when('the library takes {count:d} step after step {after:d}')
def take(context, count, after=0):
    """Take and acknowledge steps."""
    run(context, take_batches(context, count, after))


async def take_batches(context, count, after):
    """Serve the entry host and take batches from it."""
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
    context.taken = []
    async with (
        asyncio.timeout(30),
        Trainer(settings, clock=context.entry.clock) as trainer,
    ):
        async for batch in trainer.batches(after=after):
            context.taken.append(batch)
            await batch.ack()
            if len(context.taken) == count:
                break
    await runner.cleanup()


@then('the steps have the epochs {epoch:d}')
def check_taken(context, epoch):
    """Check what the trainer got."""
    assert [batch.epoch for batch in context.taken] == [epoch]


@then('the entry host was asked {count:d} times for a batch')
def check_fetches(context, count):
    """Check that dropped responses were asked for again."""
    assert context.entry.fetches == count, context.entry.fetches


@then('the entry host acknowledged epoch {epoch:d}')
def check_ack(context, epoch):
    """Check the acknowledged epochs."""
    assert context.entry.acknowledged == [epoch]


@then('the cursor of the entry host is at step {step:d}')
def check_cursor(context, step):
    """Check the step that was acknowledged last."""
    assert context.entry.cursor == step, context.entry.cursor

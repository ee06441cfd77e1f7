"""Steps with large submissions at real daemons."""

import asyncio

from aiohttp import ClientError, ClientTimeout
from behave import then, when

from anvilcove.platform.standin_steps import SHAPES
from anvilcove.platform.standin_wire import request_headers
from anvilcove.soak.process_usage import UsageSampler
from anvilcove.soak.site import CALLERS_PORT, HOST, JOBS, MODEL

# Longer than the timeout of the route.
ANSWER_S = 30.0
MAX_ATTEMPTS = 5
NO_PROMISE = {0, 502}
# Time for which the jobs run after the last answer.
RUN_S = 2.0


async def post_step(context, job_id, body):
    """Submit a step as trainers do, and return the status.

    After 502 or no answer it is submitted again, and so it is after 503
    where a later attempt has to be accepted: a machine without a free
    processor stores a step too late.
    """
    for _ in range(MAX_ATTEMPTS):
        status = await post_once(context, job_id, body)
        if status not in context.repeated:
            break
    return status


async def post_once(context, job_id, body):
    """Submit a step and return the status, 0 without an answer."""
    daemon = context.site.daemons[0]
    try:
        async with context.session.post(
            f'http://{daemon.ip}:{CALLERS_PORT}{JOBS}{job_id}',
            data=body,
            headers=request_headers(HOST, job_id),
            timeout=ClientTimeout(total=ANSWER_S),
        ) as response:
            await response.read()
            return response.status
    except (ClientError, OSError, TimeoutError):
        return 0


@when('a step of {size:d} bytes with {shape} is submitted')
def submit_one(context, size, shape):
    """Submit one step."""
    submit_at_once(context, 1, size, shape)


@when(
    'a step of {size:d} bytes with {shape} is submitted until it is accepted'
)
def submit_until_accepted(context, size, shape):
    """Submit one step, again after a refusal."""
    submit_at_once(context, 1, size, shape, {503, *NO_PROMISE})


@when('{count:d} steps of {size:d} bytes with {shape} come at once')
def submit_at_once(context, count, size, shape, repeated=NO_PROMISE):
    """Submit steps at the same time, and let their items run."""
    context.repeated = repeated
    bodies = {
        f'j{n}': SHAPES[shape](HOST, MODEL, f'j{n}', size)
        for n in range(count)
    }
    assert all(0.8 * size <= len(b) <= size for b in bodies.values())

    async def submit():
        answers = await asyncio.gather(
            *(post_step(context, job, body) for job, body in bodies.items())
        )
        await asyncio.sleep(RUN_S)
        return answers

    daemon = context.site.daemons[0]
    sampler = UsageSampler(daemon.process.pid, daemon.ip)
    context.usage = sampler.usage
    with sampler:
        context.answers = context.loop.run_until_complete(submit())


@then('the step is answered {answers}')
@then('each step is answered {answers}')
def check_answers(context, answers):
    """Compare the statuses."""
    print(context.answers)
    allowed = {int(status) for status in answers.split(' or ')}
    assert set(context.answers) <= allowed, context.answers

"""Steps that test the stand-in of a model engine."""

import asyncio
import json

from behave import then, when
from msgspec import to_builtins
from site_steps import run, wait_for
from standin_steps import (
    attempt,
    generate,
    lines,
    serve,
)

from anvilcove.messages.engines import EngineOrder, Generate
from anvilcove.ports import errors
from anvilcove.standins.platform import PlatformStandin


@when('generations first at 0, low at 0 and high at 5 compete for 1 slot')
def queue_generations(context):
    """Queue generations behind one that runs until it is cancelled."""

    async def queue():
        context.tasks = []
        for name, priority in (('first', 0), ('low', 0), ('high', 5)):
            tokens = 10**6 if name == 'first' else 1
            call = generate(
                context, name, tokens, name=name, priority=priority
            )
            context.tasks.append(asyncio.ensure_future(call))

            async def received(name=name):
                return name in [
                    line['request_id'] for line in lines(context, 'received')
                ]

            await wait_for(received)

    run(context, queue())


@when('generation first is cancelled')
def cancel_first(context):
    """Cancel the generation that holds the slot."""

    async def cancel():
        await context.engine.cancel('first')
        return await asyncio.gather(*context.tasks, return_exceptions=True)

    first, low, high = run(context, cancel())
    assert isinstance(first, errors.EndpointCrashed), first
    assert len(low) == len(high) == 1


@then('a generation that resumes 2 of 4 tokens yields tokens 2 and 3')
def check_resume(context):
    """Resume after 2 tokens and compare the indexes of the others."""
    events = run(context, generate(context, 'p', tokens=4, resume=2))
    assert [event.index for event in events] == [2, 3]


@when('prompts "{prompts}" are generated with room for 1 prefix')
def generate_prompts(context, prompts):
    """Generate one token for each prompt in turn."""
    for prompt in prompts.split():
        run(context, generate(context, prompt, tokens=1))


@then('the stand-in journal has {name} "{values}"')
def check_started(context, name, values):
    """Compare a field of the `started` lines of the journal."""
    found = [str(line[name]) for line in lines(context, 'started')]
    assert found == values.split(), found


@then('the cache events are "{expected}"')
@then('the cache events are ""')
def check_cache_events(context, expected=''):
    """Compare all cache events; `+` means stored and `-` removed."""
    events = run(context, context.engine.cache_events(0)).events
    found = [f'{"-+"[event.stored]}{event.prefix}' for event in events]
    assert found == expected.split(), found


@when('a generation is resumed without and with its KV cache')
def resume_generation(context):
    """Export the KV cache of a generation and resume after its import."""

    async def resume():
        await generate(context, 'p', tokens=2, name='moved')
        data = await context.engine.export_kv('moved')
        await generate(context, 'p', tokens=3, resume=2, name='moved')
        await context.engine.import_kv('moved', data)
        await generate(context, 'p', tokens=3, resume=2, name='moved')

    run(context, resume())


def order_version(context, version, fence):
    """Order the engine to load a version of the weights."""
    return context.engine.order(
        EngineOrder(fence=fence, kind='load_version', version=version)
    )


@then('order {order_text} leads to the state {state_text}')
def check_order_state(context, order_text, state_text):
    """Send any order and wait until the engine reports the state."""
    message = EngineOrder(fence=1, **json.loads(order_text))
    run(context, context.engine.order(message))

    async def reached():
        state = to_builtins(await context.engine.state())
        return state.items() >= json.loads(state_text).items()

    run(context, wait_for(reached))


@then('a generation with model {model} ends with {result}')
def check_model(context, model, result):
    """Generate with a model that may not be loaded."""
    call = generate(context, 'p', model=model)
    assert run(context, attempt(context, call)) == result


async def finished_loading(context):
    """Return whether the engine is not loading a version."""
    return not (await context.engine.state()).swapping


@then('a generation during order 2 has versions 0 and 2')
def check_versions_of_order(context):
    """Order a version at the first token and read until it is used."""
    store = PlatformStandin()
    address = run(context, serve(context, store.app()))
    context.standin.options.weights_address = address
    call = Generate(request_id='r', prompt='p', max_tokens=10**6)

    async def versions_until_order():
        versions = set()
        async with asyncio.timeout(30.0):
            async for event in context.engine.generate(call):
                if not versions:
                    await order_version(context, 2, 1)
                versions.add(event.version)
                if event.version == 2:
                    return versions

    assert run(context, versions_until_order()) == {0, 2}
    assert store.journal[-1]['event'] == 'transfer_finished'


@then(
    'order {version:d} of fence {fence:d} leaves version {held:d} '
    'after {failed:d} failed swap'
)
def check_swap(context, version, fence, held, failed):
    """Order a version and wait until the engine has stopped loading."""
    run(context, order_version(context, version, fence))
    run(context, wait_for(lambda: finished_loading(context)))
    state = run(context, context.engine.state())
    assert (state.version, state.extra['failed_swaps']) == (held, failed)


@then('order {version:d} of fence {fence:d} is refused')
def check_old_fence(context, version, fence):
    """Check that the engine refuses an old fencing token."""
    call = order_version(context, version, fence)
    assert run(context, attempt(context, call)) == 'EndpointFailed'


@then('{count:d} of 4 tokens do not name their version')
def check_missing_versions(context, count):
    """Count tokens without a version."""
    versions = [
        event.version for event in run(context, generate(context, 'p'))
    ]
    assert versions.count(-1) == count, versions

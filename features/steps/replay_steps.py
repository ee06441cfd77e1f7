"""Steps that record decisions and replay them."""

import random

from behave import given, then
from msgspec.json import encode
from queue_model import POOL, build, daemon_settings, members

from anvilcove.decisions.types import INTERACTIVE, OK, AttemptResult
from anvilcove.decisions.types import RouteRequest as Request
from anvilcove.messages.engines import CacheEvent
from anvilcove.replay.outcomes import unmet_outcomes
from anvilcove.replay.recorder import RecordedPolicy, Recorder
from anvilcove.replay.replay import read_trace, replay
from anvilcove.state.endpoints import EndpointView

PROMPT_TEXT = 'account of a customer'


@given('a recorded trace of {count:d} routed prompts')
def record_trace(context, count):
    """Record the decisions of a routing policy for generated prompts."""
    context.trace = context.folder / 'trace.jsonl'
    settings = daemon_settings()
    settings.recorder_file = str(context.trace)
    settings.seed = 5
    recorder = Recorder(settings)
    router = RecordedPolicy(
        'routing', build('routing', 'real'), recorder, settings
    )
    view = EndpointView()
    view.update(members(4))
    for number in range(count):
        request = Request(
            request_id=f'r{number}',
            class_name='ask',
            kind=INTERACTIVE,
            pool=POOL,
            prefixes=[f'{PROMPT_TEXT} {number % 5}|{number}'],
        )
        now = number * 0.1
        route = router.choose(now, request, view, random.Random())
        result = AttemptResult(route.endpoint, OK, 0.05, 1, 'ask')
        router.finished(now, result, POOL, INTERACTIVE)
        event = CacheEvent(
            sequence=number + 1,
            prefix=f'{PROMPT_TEXT} {number % 5}',
            stored=True,
        )
        router.observe_cache(now, route.endpoint, [event])
    recorder.flush()


@then('the trace contains no prompts')
def check_no_prompt(context):
    """Check that the trace file does not contain the text of the prompts."""
    assert PROMPT_TEXT not in context.trace.read_text()


@then('two replays give the recorded results')
def check_replays(context):
    """Compare two replays with the trace and with each other."""
    _, rows = read_trace(context.trace)
    first = replay(context.trace)
    assert [row[3] for row in rows] == [decision.result for decision in first]
    assert encode(first) == encode(replay(context.trace))


@then('the outcome "{name}" of {missed:g} fails and of {met:g} holds')
def check_outcome_bound(context, name, missed, met):
    """Check that a missed bound is reported and a met bound is not."""
    decisions = replay(context.trace)
    assert unmet_outcomes(decisions, {name: missed})
    assert not unmet_outcomes(decisions, {name: met})

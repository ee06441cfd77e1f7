"""Steps that test crash accounting with a simulated clock and endpoint."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from msgspec.structs import replace

from anvilcove.commands.requests.crashes import CrashAccounting
from anvilcove.decisions.quarantine import DIGEST_LIMIT, ContentQuarantine
from anvilcove.decisions.types import CRASH, Allow, Isolate, Reject
from anvilcove.messages.membership import ENGINE, EndpointMember
from anvilcove.ports.errors import EndpointNotRun
from anvilcove.state.endpoints import EndpointState

CONTENT = 'content-1'
MEMBER = EndpointMember(
    endpoint='e1',
    address='127.0.0.1:1',
    data_centre='a',
    pool='p',
    kind=ENGINE,
)


class SimulatedPort:
    """Simulated endpoint whose load call may fail."""

    def __init__(self):
        """Start running and reachable."""
        self.alive = True
        self.unreachable = False

    async def load(self):
        """Return, or fail with a refused connection or a timeout."""
        if self.unreachable:
            raise EndpointNotRun('connection timeout', unreachable=True)
        if not self.alive:
            raise EndpointNotRun('connection refused')


@given('{count:d} requests of one content in flight at an endpoint')
def start_requests(context, count):
    """Start the requests at time 1."""
    context.now = 1.0
    context.port = SimulatedPort()
    context.quarantine = ContentQuarantine(None)
    shared = SimpleNamespace(
        clock=SimpleNamespace(now=lambda: context.now),
        policy=lambda topic: context.quarantine,
        component=lambda kind: SimpleNamespace(announce_suspects=lambda: None),
        endpoint_port=lambda state: context.port,
    )
    context.state = EndpointState(MEMBER)
    context.crashes = CrashAccounting(shared)
    context.count = count
    for _ in range(count):
        context.crashes.started('e1', CONTENT)


def break_connections(context, alive):
    """End every request with a broken connection at time 2."""

    async def end():
        context.port.alive = alive
        started_at_s, context.now = context.now, context.now + 1.0
        for _ in range(context.count):
            context.crashes.ended(
                context.now, context.state, CONTENT, started_at_s, CRASH
            )
        await asyncio.gather(*context.crashes._check_tasks)

    context.loop.run_until_complete(end())


@when('the endpoint crashes')
def crash(context):
    """Break the connections; new ones are refused."""
    break_connections(context, alive=False)


@when('the endpoint breaks its connections and keeps running')
def break_only(context):
    """Break the connections of an endpoint that accepts new ones."""
    break_connections(context, alive=True)


@when('the endpoint breaks its connections and cannot be reached')
def partition(context):
    """Break the connections; new ones time out."""
    context.port.unreachable = True
    break_connections(context, alive=True)


@when('the content is run at a second endpoint with the same result')
def partition_again(context):
    """Run the content at another endpoint behind the same partition."""
    context.now += 1.0
    context.state = EndpointState(replace(MEMBER, endpoint='e2'))
    context.crashes.started('e2', CONTENT)
    context.count = 1
    break_connections(context, alive=True)


@when('the same content is run again and crashes the endpoint')
def crash_again(context):
    """Run the content once more and crash the endpoint again."""
    context.now += 1.0
    context.crashes.started('e1', CONTENT)
    context.count = 1
    break_connections(context, alive=False)


@then('the content may run isolated')
def check_isolated(context):
    """Check the verdict after one crash."""
    verdict = context.quarantine.verdict(context.now, CONTENT)
    assert verdict == Isolate(1), verdict


@then('the content may run normally')
def check_allowed(context):
    """Check the verdict after a crash that was taken back."""
    verdict = context.quarantine.verdict(context.now, CONTENT)
    assert verdict == Allow(), verdict


@then('the content is rejected')
def check_rejected(context):
    """Check the verdict after two crashes."""
    verdict = context.quarantine.verdict(context.now, CONTENT)
    assert verdict == Reject(2), verdict


@given('a content and another one that were in flight at 2 crashes')
def share_crashes(context):
    """Count two crashes for both contents."""
    context.quarantine = ContentQuarantine(None)
    context.now = 1.0
    for endpoint in ('e1', 'e2'):
        context.quarantine.crashed(1.0, endpoint, [CONTENT, 'other'])


@given('a content in flight at a crash of each of two other contents')
def share_with_two(context):
    """Count a crash with each of two contents."""
    context.quarantine = ContentQuarantine(None)
    context.now = 1.0
    context.quarantine.crashed(1.0, 'e1', [CONTENT, 'first'])
    context.quarantine.crashed(1.0, 'e2', [CONTENT, 'second'])


@given('a second crash of each of the two others')
def crash_alone(context):
    """Count a crash for each of them alone."""
    context.quarantine.crashed(1.0, 'e3', ['first'])
    context.quarantine.crashed(1.0, 'e4', ['second'])


@given('a content that has crashed 2 endpoints')
def crash_two(context):
    """Count two crashes for one content."""
    context.quarantine = ContentQuarantine(None)
    context.now = 1.0
    for endpoint in ('e1', 'e2'):
        context.quarantine.crashed(1.0, endpoint, [CONTENT])


@when('the other content runs to its end')
def finish_other(context):
    """Clear the crashes of the other content."""
    context.quarantine.finished(1.0, 'other')


@when('the content crashes a third endpoint alone')
def crash_third(context):
    """Count a third crash for the content only."""
    context.quarantine.crashed(1.0, 'e3', [CONTENT])


@when('{count:d} other contents were in flight at later crashes')
def crash_others(context, count):
    """Count one crash for each of the other contents."""
    for number in range(count):
        context.quarantine.crashed(1.0, f'f{number}', [f'other {number}'])


@then('both may run isolated')
def check_both_isolated(context):
    """Check the verdict on both contents."""
    for content in (CONTENT, 'other'):
        verdict = context.quarantine.verdict(1.0, content)
        assert verdict == Isolate(2), verdict


@then('the content is rejected and the other one may run')
def check_one_rejected(context):
    """Check the verdict on both contents."""
    assert context.quarantine.verdict(1.0, CONTENT) == Reject(2)
    assert context.quarantine.verdict(1.0, 'other') == Allow()


@then('the content may run isolated and the two others are rejected')
def check_two_rejected(context):
    """Check the verdict on the three contents."""
    assert context.quarantine.verdict(1.0, CONTENT) == Isolate(2)
    for content in ('first', 'second'):
        assert context.quarantine.verdict(1.0, content) == Reject(2), content


@then('the content is rejected for good')
def check_third(context):
    """Check the verdict after the third crash."""
    assert context.quarantine.verdict(1.0, CONTENT) == Reject(3)


@then('the shared counts of one host get the content rejected at another')
def check_shared(context):
    """Merge the digests at another host and check their number."""
    digests = context.quarantine.digests(1.0)
    assert len(digests) <= DIGEST_LIMIT, len(digests)
    other = ContentQuarantine(None)
    other.merge(1.0, digests)
    assert other.verdict(1.0, CONTENT) == Reject(2)

"""Steps that publish weight versions and check those of samples."""

from aiohttp import ClientError
from behave import then, when
from fault_steps import engine_lines
from site_steps import run, wait_for
from training_steps import MAX_TOKENS, records, settings

from anvilcove.client.trainer import Trainer


def tokens_that_ran(context):
    """Return (sample, index, version) of each token that an engine ran."""
    ran = set()
    for lines in engine_lines(context).values():
        ran |= tokens_in_journal(lines)
    return ran


def tokens_in_journal(lines):
    """Return the tokens that the runs in a journal may have produced.

    A run begins with a `started` line; each `version` line applies until the
    next one of the same request. The end of a run is taken as MAX_TOKENS, as
    the delivered samples contain their length.
    """
    starts = {}
    ran = set()
    for line in lines:
        request_id = line.get('request_id', '')
        if line['event'] == 'started':
            starts[request_id] = None
        elif line['event'] == 'version' and request_id in starts:
            add_range(ran, request_id, starts[request_id], line['index'])
            starts[request_id] = (line['version'], line['index'])
    for request_id, last in starts.items():
        add_range(ran, request_id, last, MAX_TOKENS)
    return ran


def add_range(ran, request_id, last, end):
    """Add the tokens of one version from its start up to an end."""
    if last is not None:
        version, start = last
        sample = request_id.partition('~')[0]
        ran.update((sample, index, version) for index in range(start, end))


@then('the versions of each sample match the journals of the engines')
def check_versions(context):
    """Check every version range against the engines' journals."""
    ran = tokens_that_ran(context)
    for batches in context.delivered.values():
        for batch in batches:
            for sample in batch.samples:
                check_ranges(sample, ran)


def check_ranges(sample, ran):
    """Check that the ranges cover all tokens and match those that ran."""
    position = 0
    for part in sample.versions:
        assert part.start == position, sample
        position = part.end
        for index in range(part.start, part.end):
            key = (sample.sample_id, index, part.version)
            assert key in ran, f'no engine ran {key}'
    assert position == len(sample.tokens), sample


@when('the trainer publishes version {version:d} at host {host}')
def publish(context, version, host):
    """Upload weights to the platform and publish their version."""

    async def send():
        base = f'http://{context.site.platform_address}'
        url = f'{base}/weights/advisor-llm/{version}'
        async with context.session.put(url) as response:
            assert response.status == 200
        async with Trainer(settings(context, 't0', [host])) as client:
            await client.publish('advisor-llm', version)

    run(context, send())
    records(context).newest = version


@when('the trainer publishes version {version:d} at a host that is not paused')
def publish_at_running_host(context, version):
    """Publish at a host that is not paused."""
    hosts = sorted(context.site.settings_by_host)
    host = next(host for host in hosts if host != context.paused)
    publish(context, version, host)


@then('every engine reports version {version:d}')
def check_engines(context, version):
    """Wait until every engine has loaded the version."""

    async def reported():
        versions = set()
        for member in context.site.members.endpoints:
            if member.kind == 'engine':
                url = f'http://{member.address}/state'
                try:
                    async with context.session.get(url) as response:
                        versions.add((await response.json())['version'])
                except ClientError:
                    return False
        return versions == {version}

    run(context, wait_for(reported))


def delivered_versions(context):
    """Return the versions that the delivered samples name."""
    return {
        part.version
        for batches in context.delivered.values()
        for batch in batches
        for sample in batch.samples
        for part in sample.versions
    }


@then('every delivered token is of version {version:d}')
def check_delivered_version(context, version):
    """Check the ranges of all delivered samples."""
    found = delivered_versions(context)
    assert found == {version}, found


@then('the delivered samples name more than one version')
def check_several_versions(context):
    """Check that weights changed while the samples were generated."""
    assert len(delivered_versions(context)) > 1


@then('no delivered token lacks its version')
def check_versions_known(context):
    """Check that no token has version -1, which means unknown."""
    assert min(delivered_versions(context)) >= 0

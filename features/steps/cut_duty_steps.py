"""Steps with daemons that lose their ways to endpoints, on virtual time."""

from behave import given, then, when

from anvilcove.ports.errors import EndpointCrashed

ENDPOINTS_FAILED = 2


def lose_ways(context, names):
    """Let connections of daemons to all endpoints fail from now on."""
    site = context.memory
    site.cut_names.update(names)
    for name in names:
        for address in site.server_addresses[:ENDPOINTS_FAILED]:
            site.daemons[name].ways.failed(address, 'lost by the test')


def holders(context):
    """Return the daemons that hold the orders lease."""
    return [
        name
        for name, daemon in context.memory.daemons.items()
        if daemon.lease.fence() is not None
    ]


@when('the holder of the orders lease is cut from all endpoints')
def cut_holder(context):
    """Cut the holder off."""
    (context.former,) = holders(context)
    lose_ways(context, [context.former])


@when('all daemons are cut from all endpoints')
def cut_all(context):
    """Cut every daemon off."""
    lose_ways(context, list(context.memory.daemons))


@when('daemon {name} is cut from all endpoints')
def cut_one(context, name):
    """Cut a daemon off."""
    lose_ways(context, [name])


@given('daemon {name} has lost its ways and does not know it')
def lose_quietly(context, name):
    """Let connections of a daemon fail from now on."""
    context.memory.cut_names.add(name)


@when('its ways are restored')
def restore_ways(context):
    """Let connections of all daemons succeed again."""
    context.memory.cut_names.clear()


@when('the other daemons are killed')
def kill_others(context):
    """Leave only the former holder of the lease."""
    site = context.memory
    for name in [n for n in site.daemons if n != context.former]:
        site.kill(name)
        site.daemons.pop(name)


@when(
    'the connections of content {content} break at daemon {name} at all '
    'services, which refuse it new ones'
)
def break_runs(context, content, name):
    """Report broken runs of a content, and refuse probes."""
    site = context.memory
    daemon = site.daemons[name]
    for endpoint, entry in daemon.registry.entry_by_endpoint.items():
        if entry.service == 'app':
            daemon.crashes.on_failure(
                'q1', content, endpoint, EndpointCrashed('reset')
            )


@when(
    'the ways of daemon {name} to {count:d} services fail and the others '
    'accept connections'
)
def fail_some(context, name, count):
    """Report failures to some services only."""
    site = context.memory
    for address in site.server_addresses[:count]:
        site.crashes.down.add(address)
        site.daemons[name].ways.failed(address, 'lost by the test')


@then('a daemon that is not cut off holds the orders lease')
def check_handed_over(context):
    """Check that one other daemon holds the lease."""
    found = holders(context)
    assert len(found) == 1 and found != [context.former], found


@then('the same daemon holds the orders lease for the next {seconds:d} s')
def check_kept(context, seconds):
    """Check the holder again and again."""
    before = holders(context)
    assert len(before) == 1, before
    for _ in range(seconds * 4):
        context.memory.pass_time(0.25)
        assert holders(context) == before, (holders(context), before)


@then('the daemon that was cut off holds the orders lease')
def check_returned(context):
    """Check the holder."""
    assert holders(context) == [context.former]


@then('all engines hold version {version:d}, ordered by one daemon')
def check_versions(context, version):
    """Check versions and the holder that the orders name."""
    engines = context.memory.engines
    assert all(engine.version == version for engine in engines), [
        engine.version for engine in engines
    ]
    named = {order.holder for engine in engines for _, order in engine.orders}
    assert len(named) == 1 and context.former not in named, named


@then('every daemon names {names} to callers')
def check_lookup(context, names):
    """Check the addresses that daemons return."""
    expected = [f'{n}:1' for n in names.replace(' and', ',').split(', ')]
    for name, daemon in context.memory.daemons.items():
        found = daemon.service.addresses('r')
        assert found == expected, (name, found)


@then('daemon {name} knows that it is cut off')
def check_cut(context, name):
    """Check the judgement of a daemon."""
    assert context.memory.daemons[name].ways.is_cut


@then('daemon {name} does not take itself to be cut off')
def check_not_cut(context, name):
    """Check the judgement of a daemon."""
    assert not context.memory.daemons[name].ways.is_cut


@then('no daemon suspects content {content}')
def check_suspects(context, content):
    """Check the counts of crashes that daemons share."""
    for daemon in context.memory.daemons.values():
        assert not daemon.crashes.digests(), daemon.crashes.digests()


@when(
    'the ways of daemon {name} to {count:d} services fail {times:d} times '
    'within {seconds:g} s'
)
def fail_often(context, name, count, times, seconds):
    """Report failures again and again; the others accept connections."""
    site = context.memory
    ways = site.daemons[name].ways
    site.crashes.down.update(site.server_addresses[:count])
    context.cuts = []
    ways.on_cut = lambda: context.cuts.append(site.loop.time())
    probed = len(site.crashes.probed)
    for _ in range(times):
        for address in site.server_addresses[:count]:
            ways.failed(address, 'lost by the test')
        site.pass_time(seconds / times)
    context.probes = len(site.crashes.probed) - probed


@then('daemon {name} has not taken itself to be cut off')
def check_never_cut(context, name):
    """Check that the daemon never changed its mind."""
    assert not context.cuts, context.cuts
    assert not context.memory.daemons[name].ways.is_cut


@then('it has tried at most {count:d} endpoints')
def check_probes(context, count):
    """Check the number of connections that only try endpoints."""
    assert 0 < context.probes <= count, context.probes

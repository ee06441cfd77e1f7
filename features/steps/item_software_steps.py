"""Steps with engines of several software versions, on virtual time."""

from behave import given, then, when
from endpoint_limit_steps import numbers_of


@given('engines {numbers} run software {version}')
def set_software(context, numbers, version):
    """Change the software version that engines announce."""
    site = context.memory
    for number in numbers_of(numbers):
        engine = site.engines[number]
        site.software_by_address[engine.address] = version
        site.write_engine(engine, started_ms=1)
    site.pass_time(1.0)


@given('each item of job {job} breaks off after {events:d} events')
def break_items(context, job, events):
    """Let the first run of each item at each engine break off."""
    for engine in context.memory.engines:
        engine.break_after = {f'{job}-{n}': events for n in range(100)}


@given('engine {number:d} is gone after {seconds:g} s')
def remove_engine(context, number, seconds):
    """Crash an engine and remove its row."""
    site = context.memory
    address = site.engines[number].address

    def end():
        site.crashes.on_crash = lambda crashed: None
        site.crashes.crash(address, b'')
        site.remove('servers', address)

    site.loop.call_later(seconds, end)


@given('engines make {events:d} events for each item')
def set_events(context, events):
    """Set the length of all texts."""
    for engine in context.memory.engines:
        engine.events = events


@given('engine {number:d} becomes {factor:g} times slower after {seconds:g} s')
def slow_down(context, number, factor, seconds):
    """Slow an engine down later."""
    site = context.memory
    engine = site.engines[number]
    site.loop.call_later(seconds, setattr, engine, 'slowdown', factor)


@then('some items were resumed after event {event:d}')
def check_resumed(context, event):
    """Check that runs went on after an event."""
    runs = [run for e in context.memory.engines for run in e.runs]
    assert any(after == event for _, after in runs), runs


@then('some items were resumed from a checkpoint')
def check_resumed_at_all(context):
    """Check that runs went on after any event."""
    runs = [run for e in context.memory.engines for run in e.runs]
    assert any(after for _, after in runs), runs


@then('some items were resumed at engine {number:d}')
def check_resumed_at(context, number):
    """Check that runs went on at an engine."""
    runs = context.memory.engines[number].runs
    assert any(after for _, after in runs), runs


@then('no text of job {job} has events of two software versions')
def check_software(context, job):
    """Check the engines that made the events of each text last."""
    site = context.memory
    versions = {}
    for (item, _), address in site.engine_client.made_by.items():
        if item.startswith(f'{job}-'):
            version = site.software_by_address.get(address, 'v1')
            versions.setdefault(item, set()).add(version)
    mixed = {item for item, found in versions.items() if len(found) > 1}
    assert versions and not mixed, mixed


@when('the owner of job {job} is killed')
def kill_owner(context, job):
    """End the daemon that runs a job without handing anything over."""
    site = context.memory
    owners = [n for n, d in site.daemons.items() if job in d.owner.runs]
    assert len(owners) == 1, owners
    site.kill(owners[0])
    site.daemons.pop(owners[0])


@then(
    'engine {number:d} resumed each item that it began after event {event:d}'
)
def check_all_resumed_at(context, number, event):
    """Check that no text that an engine began was discarded."""
    runs = context.memory.engines[number].runs
    began = {item for item, after in runs if not after}
    resumed = {item for item, after in runs if after == event}
    assert began and resumed == began, (began, resumed)

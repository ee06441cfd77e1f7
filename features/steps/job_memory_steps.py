"""Steps for the memory of batch jobs, on virtual time."""

import asyncio

from behave import given, then, when
from memory_site import HOST, JOBS, MemorySite, job_spec
from msgspec.structs import astuple

from anvilcove.jobs.intake import JobNotAccepted
from anvilcove.jobs.job_memory import JobSize
from anvilcove.jobs.reader import JobNotFound
from anvilcove.jobs.types import LargeJobSpec
from anvilcove.ports.errors import StoreUnavailable

# Time within which a refused job is answered: no attempt is repeated.
AT_ONCE_S = 0.05


class DecodedItems:
    """Items of a large job, as a decoder yields them."""

    def __init__(self, items):
        """Yield these items each time."""
        self.size = JobSize()
        self.items = items
        for item in items:
            self.size.add(item)

    def __iter__(self):
        """Return an iterator over the items."""
        return iter(self.items)


class CountedStore:
    """Store that counts the objects that one daemon reads."""

    def __init__(self, store):
        """Pass all calls to a store."""
        self.store = store
        self.reads = 0

    async def get_object(self, name):
        """Read an object and count it."""
        self.reads += 1
        return await self.store.get_object(name)

    def __getattr__(self, name):
        """Leave the other calls to the store."""
        return getattr(self.store, name)


class FailingStore(CountedStore):
    """Store that has no more room after a number of objects."""

    def __init__(self, store, count):
        """Store up to `count` objects."""
        super().__init__(store)
        self.left = count

    async def put_object(self, name, data):
        """Store an object, or fail."""
        self.left -= 1
        if self.left < 0:
            raise StoreUnavailable('the object store is full')
        await self.store.put_object(name, data)


def large_job(job, count, size):
    """Return a submission without items, and its items."""
    spec = job_spec(job, count)
    for item in spec.items:
        item.body = item.body.ljust(size, b'x')
    items = DecodedItems(spec.items)
    spec.items = []
    return LargeJobSpec(*astuple(spec)), items


def accept_large(daemon, job, count, size, deadline_at_s=1e9):
    """Submit a large job."""
    spec, items = large_job(job, count, size)
    return daemon.intake.accept(spec, deadline_at_s, large=items)


@given(
    'a platform with {count:d} engines and daemons a, b and c of {size:d} MB'
)
def start_small_hosts(context, count, size):
    """Start daemons on hosts of a size, with long-lived items."""
    context.memory = site = MemorySite(engines=count)
    context.add_cleanup(site.close)
    site.write_operator(version=2, item_lifetime_s=1000.0)
    for seed, name in enumerate('abc'):
        site.start(name, seed=seed + 1).settings.memory_mb = size
    site.pass_time(2.0)


@when(
    'daemon {name} accepts large job {job} with {count:d} items of {size:d} '
    'bytes'
)
def accept_one(context, name, job, count, size):
    """Submit a large job; its items live long enough for few engines."""
    site = context.memory
    site.write_operator(version=2, item_lifetime_s=1000.0)
    site.pass_time(0.5)
    site.run(accept_large(site.daemons[name], job, count, size))
    context.body_bytes = count * size


@when(
    'daemons a and b accept large job {job} with {count:d} items of {size:d} '
    'bytes at once'
)
def accept_twice(context, job, count, size):
    """Submit a large job at two daemons."""
    site = context.memory
    site.write_operator(version=2, item_lifetime_s=1000.0)
    site.pass_time(0.5)

    async def accept():
        await asyncio.gather(
            *(
                accept_large(site.daemons[name], job, count, size)
                for name in 'ab'
            )
        )

    site.run(accept())


@then('no object of the store is larger than {size:d} bytes')
def check_objects(context, size):
    """Check the sizes of all objects."""
    assert max(len(d) for d in context.memory.store.objects.values()) <= size


def owner_of(context, job):
    """Return the daemon that runs a job."""
    daemons = context.memory.daemons.values()
    return next(d for d in daemons if job in d.owner.runs)


@then('the owner of job {job} holds less than a third of its bodies')
def check_owner(context, job):
    """Check the bodies of its items, and what is held for them."""
    context.memory.pass_time(0.2)
    owner = owner_of(context, job)
    run = owner.owner.runs[job]
    held = sum(len(p.item.body) for p in run._running.values())
    assert run.spec.items == []
    assert 0 < held < context.body_bytes / 3, held
    assert held <= owner.memory_room.job_bytes


@then(
    '{seconds:d} s later the new owner of job {job} holds less than a third '
    'of its bodies'
)
def check_new_owner(context, seconds, job):
    """Check the next owner in the same way."""
    context.memory.pass_time(seconds)
    check_owner(context, job)


@when('the owner of large job {job} is killed')
def kill_owner(context, job):
    """End the owner without handing anything over."""
    site = context.memory
    name = next(n for n, d in site.daemons.items() if job in d.owner.runs)
    site.kill(name)
    del site.daemons[name]


@then('daemon {name} lists {count:d} completed results of large job {job}')
def check_results(context, name, count, job):
    """Read all results at a daemon."""
    site = context.memory
    reader, results = site.daemons[name].reader, []
    while page := site.run(reader.page(job, len(results), 0.0)).results:
        results += page
    found = {result.item_id for result in results if result.completed}
    assert len(found) == len(results) == count, (len(found), len(results))


@then('daemons list {count:d} completed results of large job {job}')
def check_all_results(context, count, job):
    """Read all results at each daemon that is left."""
    for name in context.memory.daemons:
        check_results(context, name, count, job)


@then('daemon {name} returns the body of item {number:d} of large job {job}')
def check_body(context, name, number, job):
    """Read one body, and count the objects that are read for it."""
    site = context.memory
    daemon = site.daemons[name]
    submissions = daemon.reader._records.submissions
    context.counted = CountedStore(submissions._store)
    submissions._store = context.counted
    body = site.run(daemon.reader.body(job, f'{job}-{number}'))
    assert body.startswith(f'body {number}x'.encode()), body[:20]


@then('daemon {name} has read at most {count:d} objects')
def check_reads(context, name, count):
    """Check the number of objects."""
    assert context.counted.reads <= count, context.counted.reads


@then('daemon {name} knows no item {number:d} of large job {job}')
def check_unknown(context, name, number, job):
    """Read a body that does not exist."""
    daemon = context.memory.daemons[name]
    try:
        context.memory.run(daemon.reader.body(job, f'{job}-{number}'))
    except JobNotFound:
        return
    raise AssertionError('found')


@then('the store holds the parts of job {job} once')
def check_parts(context, job):
    """Compare the objects with those that the submission names."""
    site = context.memory
    records = site.daemons['a'].reader._records
    spec = site.run(records.load(job))
    named = {name for part in spec.parts for name in part.objects}
    assert named == set(site.store.objects) - {f'job-{job}'}


@when(
    'the store fails after {count:d} objects while daemon {name} accepts '
    'large job {job}'
)
def accept_without_room(context, count, name, job):
    """Submit a job of more objects until the deadline."""
    site = context.memory
    daemon = site.daemons[name]
    submissions = daemon.reader._records.submissions
    submissions._store = FailingStore(submissions._store, count)
    try:
        site.run(accept_large(daemon, job, 300, 45000, site.loop.time() + 2))
    except JobNotAccepted as error:
        context.refused = error


@then('it is not accepted and the store holds no object')
def check_refused(context):
    """Check that the refusal is certain and nothing is left."""
    assert not context.refused.uncertain
    check_empty(context)
    daemons = context.memory.daemons.values()
    assert not any(d.memory_room.job_bytes for d in daemons)


@when('large job {job} is removed')
def remove(context, job):
    """Remove it as the sweeper does."""
    daemon = context.memory.daemons['a']
    context.memory.run(daemon.reader._records.remove(job))


@then('the store holds no object')
def check_empty(context):
    """Check that all objects are removed."""
    assert not context.memory.store.objects, list(context.memory.store.objects)


@when('daemon {name} accepts {count:d} jobs of {items:d} items')
def accept_jobs(context, name, count, items):
    """Submit jobs, all of which have to be accepted."""
    send_jobs(context, name, count, items)
    assert len(context.accepted) == count, context.accepted


@when('daemon {name} is sent {count:d} jobs of {items:d} items')
def send_jobs(context, name, count, items):
    """Submit jobs, and note which are accepted."""
    site = context.memory
    context.accepted, context.refusals = [], []
    for number in range(count):
        spec = job_spec(f'j{number}', items)
        sent_at_s = site.loop.time()
        accept = site.daemons[name].intake.accept(spec, sent_at_s + 4.0)
        try:
            site.run(accept)
            context.accepted.append(spec.job_id)
        except JobNotAccepted as error:
            context.refusals.append((error, site.loop.time() - sent_at_s))


@then('no daemon holds more than {size:d} bytes for jobs')
def check_held(context, size):
    """Check what is held while the jobs begin."""
    for _ in range(10):
        for daemon in context.memory.daemons.values():
            assert daemon.memory_room.job_bytes <= size
        context.memory.pass_time(0.1)


@then('each daemon owns a job')
def check_owners(context):
    """Check that the jobs are spread."""
    for name, daemon in context.memory.daemons.items():
        assert daemon.owner.runs, name


@then('some are accepted and the others refused at once')
def check_refusals(context):
    """Check both kinds of answers."""
    assert context.accepted and context.refusals
    for error, seconds in context.refusals:
        assert not error.uncertain and seconds <= AT_ONCE_S, (error, seconds)


@when('two of the daemons are killed')
def kill_two(context):
    """End those that hold the orders lease last."""
    for name in ('b', 'c'):
        context.memory.kill(name)
        del context.memory.daemons[name]


@then('all accepted jobs are complete')
def check_complete(context):
    """Read the results at a daemon that is left."""
    for job in context.accepted:
        check_results(context, 'a', 400, job)


@then('no daemon holds memory for jobs')
def check_nothing_held(context):
    """Check the accounts after the end."""
    for daemon in context.memory.daemons.values():
        assert daemon.memory_room.job_bytes == 0


@then('jobs may take {bound:d} MB, and all {room:d} MB')
def check_bounds(context, bound, room):
    """Check the bounds by the settings of the host."""
    found = context.settings.job_bound_bytes(), context.settings.room_bytes()
    assert found == (bound << 20, room << 20), found


@then('each accepted job is accepted again at daemon {name}')
def accept_again(context, name):
    """Submit each accepted job once more; none is refused."""
    site = context.memory
    intake = site.daemons[name].intake
    for job in context.accepted:
        site.run(intake.accept(job_spec(job, 400), site.loop.time() + 4.0))


@then(
    'daemon {name} answers 502 to an accepted job and 503 to another one for '
    'which it has no memory'
)
def check_answers_without_memory(context, name):
    """Refuse submissions as the listener does for want of memory."""
    site = context.memory
    service = site.daemons[name].service
    route = service.route(HOST, f'{JOBS}x')
    answers = [
        site.run(service.refuse_submission(job, route)).status
        for job in (context.accepted[0], 'another')
    ]
    assert answers == [502, 503], answers

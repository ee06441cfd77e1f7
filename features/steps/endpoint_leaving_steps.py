"""Steps with endpoints that say that they are leaving, on virtual time."""

from behave import given, then, when
from endpoint_limit_steps import numbers_of
from loguru import logger
from retry_steps import request_for, sending, start_servers

from anvilcove.platform.servers import PlatformServers
from anvilcove.ports.errors import EndpointNotRun
from anvilcove.ports.reports import (
    UNSOUND_LIMIT,
    EndpointReport,
)

LEAVING = EndpointReport(leaving=True)


def set_report(context, number, report):
    """Let a service send a report in each answer."""
    site = context.memory
    address = site.server_addresses[number]
    site.servers.report_by_address[address] = report
    site.streams.report_by_address[address] = report


@given('service {number:d} says that it is leaving')
def say_leaving(context, number):
    """Let a service say in its answers that it leaves."""
    set_report(context, number, LEAVING)


@given('services {numbers} say that they are leaving')
def say_all_leaving(context, numbers):
    """Let services say in their answers that they leave."""
    for number in numbers_of(numbers):
        set_report(context, number, LEAVING)


@given(
    'service {number:d} says that it is leaving and takes {limit:g} requests '
    'a second'
)
def say_both(context, number, limit):
    """Let a service say both in its answers."""
    set_report(context, number, EndpointReport(True, limit))


@given('service {number:d} says that it is leaving in each refusal')
def say_in_refusals(context, number):
    """Let a service refuse everything as it leaves."""
    set_report(context, number, LEAVING)
    site = context.memory
    site.servers.refusing.add(site.server_addresses[number])


@given('service {number:d} says that it is leaving in each failed run')
def say_in_failures(context, number):
    """Let a service fail everything as it leaves."""
    set_report(context, number, LEAVING)
    site = context.memory
    site.servers.failing_every[site.server_addresses[number]] = 1


@given('engine {number:d} says that it is leaving')
def say_engine_leaving(context, number):
    """Let an engine say in its answers that it leaves."""
    context.memory.engines[number].report = LEAVING


@given('the rows of services are written anew')
def rewrite_rows(context):
    """Write the row of every service again and again, as ready."""
    site = context.memory

    def write_all():
        for address in site.server_addresses:
            site.write_server(address)
        site.loop.call_later(0.5, write_all)

    write_all()


@when('service {number:d} starts again')
def restart_service(context, number):
    """Start a service that no longer leaves, at the same address."""
    site = context.memory
    set_report(context, number, EndpointReport())
    site.restart_server(site.server_addresses[number])
    site.pass_time(1.0)


@when('the row of service {number:d} is gone for {seconds:d} s and comes back')
def lose_row(context, number, seconds):
    """Remove the row of a service for a while."""
    site = context.memory
    address = site.server_addresses[number]
    site.remove('servers', address)
    site.pass_time(seconds)
    site.write_server(address)
    site.pass_time(1.0)


def leaving_known(daemon, address):
    """Tell whether a daemon counts the endpoint at an address as leaving."""
    return any(
        state.leaving
        for state in daemon.registry.view.by_id.values()
        if state.address == address
    )


def check_calls(context, address):
    """Check that each daemon sent nothing after it was told the first time."""
    site = context.memory
    told_at_s = {}
    for call in site.calls:
        if call.address == address:
            known_s = told_at_s.get(call.daemon, float('inf'))
            told_at_s[call.daemon] = min(known_s, call.left_at_s)
    assert min(told_at_s.values(), default=float('inf')) < site.loop.time()
    late = [
        (call.daemon, call.sent_at_s, told_at_s[call.daemon])
        for call in site.calls
        if call.address == address and call.sent_at_s > told_at_s[call.daemon]
    ]
    assert not late, late


@then('no daemon sent to service {number:d} after the first answer to it')
def check_requests(context, number):
    """Check the requests and that the endpoint has said it to a daemon."""
    address = context.memory.server_addresses[number]
    check_calls(context, address)
    daemons = context.memory.daemons.values()
    assert any(leaving_known(daemon, address) for daemon in daemons)


@then('a daemon knows that service {number:d} leaves by its refusal')
def check_refusal_known(context, number):
    """Check that refusals are read."""
    address = context.memory.server_addresses[number]
    daemons = context.memory.daemons.values()
    assert any(leaving_known(daemon, address) for daemon in daemons)


@then('service {number:d} got at most {count:d} stream from each daemon')
def check_streams(context, number, count):
    """Check the streams of a service."""
    site = context.memory
    address = site.server_addresses[number]
    streams = [run for run in site.streams.runs if run[0] == address]
    assert 0 < len(streams) <= count * len(site.daemons), streams


@then(
    'each request after the first {first:d} s was refused within '
    '{seconds:g} s, with a Retry-After time'
)
def check_refused_at_once(context, first, seconds):
    """Check the answers after the first ones of each daemon."""
    skipped = 30 * first
    answers = context.answers[skipped:]
    assert answers
    for answer, latency_s in zip(
        answers, context.latencies_s[skipped:], strict=True
    ):
        assert answer.status == 503 and answer.retry_after_s, answer
        assert latency_s <= seconds, latency_s


@then(
    'no daemon sent an item to engine {number:d} after the first answer to it'
)
def check_items(context, number):
    """Check the items of each daemon."""
    check_calls(context, context.memory.engines[number].address)


@then(
    'daemon {name} knows that service {number:d} leaves and takes '
    '{limit:g} requests a second'
)
def check_both(context, name, number, limit):
    """Check both parts of a report."""
    site = context.memory
    address = site.server_addresses[number]
    states = [
        state
        for state in site.daemons[name].registry.view.by_id.values()
        if state.address == address
    ]
    assert states and states[0].leaving, states
    assert states[0].rate_limit_per_s == limit, states[0].rate_limit_per_s


@given('1 raw server that answers with the headers {headers}')
def start_reporting(context, headers):
    """Start a server that adds headers to its answers."""
    lines = [
        line.replace('400 digits', '1' * 400).encode()
        for line in headers.split(', ')
    ]
    start_servers(context, 1)
    context.servers[0].behaviours = [
        sending(
            b'HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Stamp: s\r\n'
            + b'\r\n'.join(lines)
            + b'\r\nContent-Length: 2\r\n\r\nok'
        )
    ]


@given('1 raw server that sends Server-Leaving in a trailer')
def start_with_trailer(context):
    """Start a server whose chunked body ends with a trailer."""
    start_servers(context, 1)
    context.servers[0].behaviours = [
        sending(
            b'HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Stamp: s\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n'
            b'Server-Leaving: 1\r\n\r\n'
        )
    ]


@given('1 raw server that answers 421 with the headers {headers}')
def start_misdirected(context, headers):
    """Start a server that is another one than the daemon expects."""
    start_servers(context, 1)
    context.servers[0].behaviours = [
        sending(
            b'HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: q1\r\n'
            + headers.encode()
            + b'\r\nContent-Length: 0\r\n\r\n'
        )
    ]


@when('a request is sent to it')
def send_to_raw(context):
    """Send a request; keep the answer, or the error that ends it."""
    client = PlatformServers(context.connections)
    address = context.servers[0].address
    context.error = context.answer = None
    try:
        context.answer = context.loop.run_until_complete(
            client.send(address, 'i', request_for('q1'), 2.0, True)
        )
    except EndpointNotRun as error:
        context.error = error


@then('the answer is whole and its report is {text}')
def check_report(context, text):
    """Compare the report with its description."""
    assert context.answer is not None, context.error
    assert context.answer.body == b'ok'
    words = text.split(', ')
    limits = [w.removesuffix(' a second') for w in words if 'second' in w]
    expected = EndpointReport(
        'leaving' in words,
        float(limits[0]) if limits else None,
        tuple(
            word.removeprefix('malformed ')
            for word in words
            if word.startswith('malformed')
        ),
    )
    assert context.answer.report == expected, context.answer.report


@then('it fails as not run and without a report')
def check_no_report(context):
    """Check the error."""
    assert isinstance(context.error, EndpointNotRun), context.answer
    assert context.error.report is None, context.error.report


@when('service {number:d} sends a malformed limit')
def send_malformed(context, number):
    """Let a service send a limit that cannot be read."""
    context.records = records = []
    sink = logger.add(lambda line: records.append(line.record))
    context.add_cleanup(logger.remove, sink)
    set_report(context, number, EndpointReport(unsound=(UNSOUND_LIMIT,)))


@then(
    'daemon {name} knows that service {number:d} takes {limit:g} requests a '
    'second'
)
def check_limit_known(context, name, number, limit):
    """Check the limit that a daemon knows."""
    address = context.memory.server_addresses[number]
    limits = [
        state.rate_limit_per_s
        for state in context.memory.daemons[name].registry.view.by_id.values()
        if state.address == address
    ]
    assert limits == [limit], limits


@then('each daemon has logged the malformed report once')
def check_logged_once(context):
    """Count the log lines."""
    messages = [
        record['message']
        for record in context.records
        if 'malformed' in record['message']
    ]
    count = len(context.memory.daemons)
    assert 0 < len(messages) <= count, messages

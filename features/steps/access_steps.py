"""Steps for authorization, request limits, logs and TLS."""

import asyncio
import contextlib
import datetime
import ipaddress
import json
import ssl

import yaml
from behave import given, then, when
from control_steps import call, journal, plan_site
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from site_steps import host_url, run, wait_for

from anvilcove.demo.site import OPERATOR_KEY
from anvilcove.settings.classes import declaration_errors

RESPONSE_TIMEOUT_S = 20.0


def key_headers(key):
    """Return the authorization header for a key; no header for `none`."""
    return {} if key == 'none' else {'Authorization': f'Bearer {key}'}


def check_refusal(row, status, answer, expected):
    """Check the status, error and reason of a refused call."""
    assert status == expected, (row.cells, status, answer)
    assert answer['error'] and answer['reason'], (row.cells, answer)


@then('each of these calls to host {host} is refused with 401')
def check_unauthorized(context, host):
    """Make the calls of the table; each lacks the key that it needs."""
    for row in context.table:
        status, answer = run(
            context,
            call(
                context,
                host,
                row['method'],
                row['path'],
                row['body'] or None,
                key_headers(row['key']),
            ),
        )
        check_refusal(row, status, answer, 401)


@then('each of these calls to host {host} is refused')
def check_invalid_calls(context, host):
    """Make the calls of the table; each must get its status and a reason."""
    for row in context.table:
        body = row['body']
        if body == 'oversize':
            body = json.dumps({'request_id': 'r' * 4000})
        status, answer = run(
            context, call(context, host, row['method'], row['path'], body)
        )
        check_refusal(row, status, answer, int(row['status']))


async def send_raw(context, host, data):
    """Send bytes and return the response up to its first closing brace."""
    address = context.site.settings_by_host[host].listen_address
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        writer.write(data)
        answer = await reader.readuntil(b'}')
    writer.close()
    return answer


@then('a body that never ends is refused with 408 at host {host}')
def check_slow_body(context, host):
    """Send a part of a body and wait."""
    head = (
        b'POST /v1/requests HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n'
    )
    answer = run(context, send_raw(context, host, head + b'{"request'))
    assert b' 408 ' in answer and b'slow_body' in answer, answer


@then('a body declared as 200 MB is refused with 413 at once at host {host}')
def check_oversize_body(context, host):
    """Declare a body above the limit and send none of it."""
    head = (
        b'POST /v1/requests HTTP/1.1\r\nHost: h\r\n'
        b'Content-Length: 200000000\r\n\r\n'
    )
    answer = run(context, send_raw(context, host, head))
    assert b' 413 ' in answer and b'body_too_large' in answer, answer


@then('a body that names a field twice is refused with 400 at host {host}')
def check_repeated_field(context, host):
    """Repeat a field at the top level and in the nested body."""
    for body in (
        b'{"request_id": "r", "request_id": "s", "class_name": "lookup", '
        b'"caller": "c", "body": {}}',
        b'{"request_id": "r", "class_name": "lookup", "caller": "c", '
        b'"body": {"account": 1, "account": 2}}',
    ):
        head = (
            b'POST /v1/requests HTTP/1.1\r\nHost: h\r\n'
            b'Content-Length: %d\r\n\r\n' % len(body)
        )
        answer = run(context, send_raw(context, host, head + body))
        assert b' 400 ' in answer and b'twice' in answer, answer


@then('headers that never end are refused with 408 at host {host}')
def check_slow_headers(context, host):
    """Send a part of the headers and wait."""
    head = b'POST /v1/requests HTTP/1.1\r\nHos'
    answer = run(context, send_raw(context, host, head))
    assert b' 408 ' in answer and b'slow_headers' in answer, answer


@then('connection {number:d} to host {host} is refused with 503')
def check_connection_limit(context, number, host):
    """Open one connection after another; the last one must be refused."""

    async def open_all():
        address = context.site.settings_by_host[host].listen_address
        ip, _, port = address.rpartition(':')
        opened = []
        try:
            for _ in range(number):
                opened.append(await asyncio.open_connection(ip, int(port)))
            last = opened[-1][0]
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                return await last.read()
        finally:
            for _, writer in opened:
                writer.close()

    answer = run(context, open_all())
    assert b' 503 ' in answer and b'too_many_connections' in answer, answer


@then('no service received a call')
def check_no_calls(context):
    """Check that no journal of a service has a call."""
    for member in context.site.members.endpoints:
        lines = run(context, journal(context, member.endpoint))
        calls = [line for line in lines if 'request_id' in line]
        assert not calls, calls


@then('these calls with keys of workspaces get')
def check_calls_with_keys(context):
    """Make the calls of the table; posts are the same request."""
    message = {
        'request_id': 'r1',
        'class_name': 'lookup',
        'caller': 'c',
        'body': {'account': 'x'},
    }
    for row in context.table:
        status, answer = run(
            context,
            call(
                context,
                row['host'],
                row['method'],
                row['path'],
                message if row['method'] == 'POST' else None,
                key_headers(row['key']),
            ),
        )
        assert status == int(row['status']), (row.cells, status, answer)


@then('the services were told workspace {name}')
def check_told(context, name):
    """Check the workspace of each call in the journals."""
    told = [
        line['workspace']
        for member in context.site.members.endpoints
        for line in run(context, journal(context, member.endpoint))
        if 'workspace' in line
    ]
    assert told and set(told) == {name}, told


@then('these declarations are refused without showing {key}')
def check_declarations(context, key):
    """Check the errors of declarations."""
    errors = declaration_errors(yaml.safe_load(context.text))
    places = [error.partition(':')[0] for error in errors]
    assert places == [
        'document.workspaces[1].weight',
        'document.workspaces',
        'document.workspaces[0].key_digests[0]',
    ], errors
    assert not any(key in error for error in errors), errors


@when('the log level of host {host} is set to {level}')
def set_log_level(context, host, level):
    """Change the log level while the daemon runs."""
    body = {'level': level}
    answer = run(context, call(context, host, 'PUT', '/v1/log-level', body))
    assert answer == (200, body), answer


def log_text(context, host):
    """Return the log of a host."""
    return (context.site.processes.folder / f'{host}.log').read_text()


@then('every line in the log of host {host} is a JSON object')
def check_json_lines(context, host):
    """Check that each line is a JSON object with a message."""
    lines = [json.loads(line) for line in log_text(context, host).splitlines()]
    assert lines and all('message' in line for line in lines), lines


@then('the log of host {host} does not contain {text}')
def check_not_logged(context, host, text):
    """Check that the log does not contain a secret."""
    assert text not in log_text(context, host)


def write_certificate(folder, ip):
    """Write a self-signed certificate for an IP address."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, 'hosts')])
    start = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
    subject = x509.IPAddress(ipaddress.ip_address(ip))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36_500))
        .add_extension(x509.SubjectAlternativeName([subject]), critical=False)
        .add_extension(x509.BasicConstraints(True, None), critical=True)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / 'host.pem').write_bytes(certificate.public_bytes(pem))
    (folder / 'host.key').write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


@given('a site with {hosts:d} hosts, {services:d} services and TLS')
def start_tls_site(context, hosts, services):
    """Start daemons that serve over TLS."""
    files = {
        'certificate_file': str(context.folder / 'host.pem'),
        'key_file': str(context.folder / 'host.key'),
    }
    plan_site(context, hosts, services, {'tls': files})
    first = next(iter(context.site.settings_by_host.values()))
    write_certificate(context.folder, first.outgoing_ip)
    # Site.start waits until each daemon is ready over plain HTTP, which these
    # daemons refuse. It therefore starts the stand-ins alone; the hosts are
    # listed and started afterwards.
    settings_by_host = context.site.settings_by_host
    hosts_with_tls = context.site.members.hosts[:]
    context.site.settings_by_host = {}

    async def start():
        context.site.members.hosts[:] = []
        await context.site.start(context.session)
        context.site.members.hosts[:] = hosts_with_tls
        context.site.settings_by_host = settings_by_host
        await context.session.put(
            f'http://{context.site.platform_address}/members',
            json=json.loads(encode_members(context.site.members)),
        )
        for host in settings_by_host:
            await context.site.start_host(host)

    run(context, start())


def encode_members(members):
    """Return a membership list as JSON."""
    from anvilcove.messages.base import encode

    return encode(members)


@then(
    'host {host} is ready over TLS and has received digests from '
    '{count:d} hosts'
)
def check_ready_over_tls(context, host, count):
    """Wait until the daemon reports over TLS the digests that it received."""
    tls_context = ssl.create_default_context(
        cafile=context.folder / 'host.pem'
    )
    tls_context.check_hostname = False
    url = host_url(context, host).replace('http:', 'https:') + '/v1/status'

    async def has_digests():
        with contextlib.suppress(OSError):
            async with context.session.get(
                url, ssl=tls_context, headers=key_headers(OPERATOR_KEY)
            ) as response:
                hosts = (await response.json())['hosts'].values()
                return (
                    sum(h['heard_ago_s'] is not None for h in hosts) == count
                )
        return False

    run(context, wait_for(has_digests))


@then('a connection without TLS to host {host} gets no answer')
def check_no_plain_answer(context, host):
    """Check that plain HTTP is not served."""

    async def ask():
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            return await send_raw(
                context, host, b'GET /healthz HTTP/1.1\r\n\r\n'
            )
        return b''

    assert b'alive' not in run(context, ask())

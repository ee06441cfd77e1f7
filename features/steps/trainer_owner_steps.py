"""Steps on trainers of the own interface and the workspaces they belong to."""

from access_steps import key_headers
from behave import then
from control_steps import call, platform_journal
from site_steps import run


@then('these calls on steps get')
def check_step_calls(context):
    """Make the calls of the table; `submit N` is step N of trainer t."""
    group = dict(group='g', prompt='p', samples=1, max_tokens=1)
    for row in context.table:
        name, number = row['call'].split()
        step = int(number)
        asked = {
            'submit': ('POST', '/v1/steps'),
            'read': ('GET', f'/v1/trainers/t/batch?after={step - 1}'),
            'ack': ('POST', '/v1/trainers/t/ack'),
        }[name]
        body = dict(step=step, epoch=1, digest='d')
        if name == 'submit':
            body = dict(trainer='t', class_name='t', step=step, groups=[group])
        for host in row['hosts'].split(', '):
            sent = call(context, host, *asked, body, key_headers(row['key']))
            status, answer = run(context, sent)
            assert status == int(row['status']), (row.cells, status, answer)


@then('the row of trainer t names workspace a, no row of a step names one')
def check_rows(context):
    """Check the rows that were written."""
    lines = run(context, platform_journal(context))
    puts = [(x['key'], x['value']) for x in lines if x['event'] == 'put']
    steps = [value for key, value in puts if key.startswith('step/')]
    assert steps and not any('workspace' in value for value in steps), steps
    owners = [put for put in puts if put[0].startswith('owner/')]
    assert owners == [('owner/t', {'workspace': 'a'})], owners

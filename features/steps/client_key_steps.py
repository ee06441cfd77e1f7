"""Steps with clients that send the key of a workspace."""

import subprocess
import sys

from behave import then
from client_steps import EXAMPLES
from site_steps import run
from training_steps import group_specs, settings

from anvilcove.client.keys import ApiKey
from anvilcove.client.settings import ClientSettings
from anvilcove.client.trainer import Trainer, TrainerError


@then('the program `call` with these key files gets')
def check_program(context):
    """Call the first host; the output shows nothing of the key file."""
    address = context.site.settings_by_host['h1'].listen_address
    for row in context.table:
        command = [sys.executable, '-m', 'anvilcove', 'call', 'lookup']
        command += ['{"account": "x"}', f'--address={address}']
        command += row['flags'].split()
        if row['text'] != 'none':
            text = row['text'].encode().decode('unicode_escape')
            path = context.folder / 'api.key'
            path.write_bytes(text.encode('latin-1'))
            command.append(f'--key_file={path}')
        done = subprocess.run(
            command, capture_output=True, text=True, cwd=EXAMPLES.parent
        )
        shown = done.stdout + done.stderr
        assert done.returncode == int(row['status']), (row.cells, shown)
        assert row['shown'] in shown and 'key-' not in shown, shown


@then(
    'the trainer library submits a step with {good}, and gets 401 with {bad}'
)
def check_library(context, good, bad):
    """Submit the same step with both keys."""

    async def submit(key):
        chosen = settings(context, 't', ['h1'])
        chosen.class_name, chosen.key = 't', ApiKey(key)
        async with Trainer(chosen) as trainer:
            return await trainer.submit(1, group_specs(1, 1, 1))

    assert run(context, submit(good)) == 1
    try:
        run(context, submit(bad))
    except TrainerError as error:
        assert error.status == 401 and bad not in str(error), error
    else:
        raise AssertionError('the key was accepted')


@then('the text of the settings of clients does not show their key')
def check_repr(context):
    """Check the texts that logs and tracebacks would have."""
    shown = repr(ClientSettings(caller='c', key=ApiKey('key-a')))
    assert 'key-a' not in shown and 'ApiKey' in shown, shown

"""Steps that change the settings of a running daemon."""

import asyncio
import json
import re
import signal

from behave import then, when
from loopback_calls import post

from anvilcove.soak.site import SHOP

DEADLINE_S = 20.0


def settings_file(context):
    """Return the settings file of the first daemon."""
    site = context.loopback
    return site.folder / f'{site.daemons[0].name}.toml'


def replace_setting(context, pattern, text):
    """Replace the matches of a pattern in the settings file."""
    path = settings_file(context)
    path.write_text(re.sub(pattern, text, path.read_text()))


def find_line(context, matches):
    """Wait until the daemon has logged a matching line."""
    log = settings_file(context).with_suffix('.log')

    async def poll():
        async with asyncio.timeout(DEADLINE_S):
            while True:
                lines = log.read_text().splitlines()
                if any(matches(json.loads(line)) for line in lines):
                    return
                await asyncio.sleep(0.1)

    context.finish(poll())


@when('the bounds in the settings file change and the daemon gets SIGHUP')
def change_bounds(context):
    """Change the grace period and send SIGHUP."""
    replace_setting(context, r'grace-s = \S+', 'grace-s = 9')
    context.loopback.daemons[0].signal(signal.SIGHUP)


@when('the seed nodes in the settings file change without a signal')
def change_seeds(context):
    """Set one seed node."""
    replace_setting(
        context, r'seed-nodes = .*', 'seed-nodes = ["127.9.9.9:1"]'
    )


@when('the settings file is truncated')
def cut_settings(context):
    """Leave a file that cannot be parsed."""
    path = settings_file(context)
    text = path.read_text()
    path.write_text(text[: text.index('[listen]') + 4])


@then('its log reports that {name} were reloaded')
def check_reloaded(context, name):
    """Wait for the log line that lists the reloaded settings."""
    find_line(
        context,
        lambda line: (
            line['message'] == 'reload' and name in line.get('adopted', [])
        ),
    )


@then('its log reports that the settings could not be read')
def check_not_read(context):
    """Wait for the warning in the log."""
    find_line(context, lambda line: line['message'] == 'settings not read')


@then('the daemon answers a request')
def check_answers(context):
    """Send a request to the daemon and check its status."""
    status, _, _ = context.finish(post(context, SHOP, 'after-reload', b'x'))
    assert status == 200, status

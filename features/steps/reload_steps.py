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


def change(context, pattern, text):
    """Replace what a pattern finds in the settings."""
    path = settings_file(context)
    path.write_text(re.sub(pattern, text, path.read_text()))


def find_line(context, matches):
    """Wait until the daemon has logged a matching line."""
    log = settings_file(context).with_suffix('.log')

    async def look():
        async with asyncio.timeout(DEADLINE_S):
            while True:
                lines = log.read_text().splitlines()
                if any(matches(json.loads(line)) for line in lines):
                    return
                await asyncio.sleep(0.1)

    context.finish(look())


@when('the settings get other bounds and the daemon gets SIGHUP')
def change_bounds(context):
    """Change the grace period."""
    change(context, r'grace-s = \S+', 'grace-s = 9')
    context.loopback.daemons[0].signal(signal.SIGHUP)


@when('the settings get other seeds without a signal')
def change_seeds(context):
    """Name one seed."""
    change(context, r'seed-nodes = .*', 'seed-nodes = ["127.9.9.9:1"]')


@when('the settings file is cut in half')
def cut_settings(context):
    """Leave a file that cannot be parsed."""
    path = settings_file(context)
    text = path.read_text()
    path.write_text(text[: text.index('[listen]') + 4])


@then('its log tells that {name} hold now')
def adopted(context, name):
    """Look for the line of the reload."""
    find_line(
        context,
        lambda line: (
            line['message'] == 'reload' and name in line.get('adopted', [])
        ),
    )


@then('its log tells that the settings were not read')
def refused(context):
    """Look for the warning."""
    find_line(context, lambda line: line['message'] == 'settings not read')


@then('a request is answered by it')
def answered(context):
    """Send a request to the daemon."""
    status, _, _ = context.finish(post(context, SHOP, 'after-reload', b'x'))
    assert status == 200, status

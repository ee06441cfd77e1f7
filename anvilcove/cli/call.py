"""Send one call to the service and print its answer."""

import asyncio
import json
import sys
from typing import Any

from absl import flags

from anvilcove.cli import operator
from anvilcove.cli.operator import chosen_key, report
from anvilcove.cli.registry import program
from anvilcove.client.caller import Client
from anvilcove.client.errors import CallError
from anvilcove.client.settings import ClientSettings

FLAGS = flags.FLAGS
flags.DEFINE_string('caller', 'command-line', 'Name of the caller.')
flags.DEFINE_integer('deadline_ms', 30_000, 'Deadline of the call in ms.')

USAGE = 'usage: anvilcove call CLASS JSON [--key_file FILE]'


@program('call', f'Send a repeatable call: {USAGE[7:]}')
def call(arguments: list[str]) -> int:
    """Print the answer; return 1 if there is none, 2 for invalid input."""
    body = _decode(arguments[1]) if len(arguments) == 2 else None
    if body is None:
        print(USAGE, file=sys.stderr)
        return 2
    if FLAGS.tls:
        # The key would be sent unencrypted.
        print('--tls: calls are sent without TLS only', file=sys.stderr)
        return 2
    try:
        settings = ClientSettings(
            caller=FLAGS.caller,
            addresses=[FLAGS.address],
            deadline_ms=FLAGS.deadline_ms,
            key=chosen_key(),
        )
    except operator.CallError as error:
        return report(error)
    try:
        answer = asyncio.run(_call(settings, arguments[0], body))
    except CallError as error:
        print(f'{type(error).__name__}: {error}', file=sys.stderr)
        return 1
    print(json.dumps(answer))
    return 0


def _decode(text: str) -> dict[str, Any] | None:
    """Return the body of a call, None if the text is no JSON object."""
    try:
        body = json.loads(text)
    except ValueError:
        return None
    return body if isinstance(body, dict) else None


async def _call(
    settings: ClientSettings, class_name: str, body: dict[str, Any]
) -> Any:
    async with Client(settings) as client:
        return (await client.call(class_name, body)).value

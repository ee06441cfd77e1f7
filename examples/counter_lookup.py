"""Look up balances at a shop counter.

Usage: python examples/counter_lookup.py --entry=127.1.0.1:8000
"""

import asyncio
from pathlib import Path

from absl import app, flags

from anvilcove import CallError, Client, ClientSettings, read_key

FLAGS = flags.FLAGS
flags.DEFINE_list('entry', [], 'Addresses of some entry hosts.')
flags.DEFINE_string('key_file', '', 'File that holds the API key.')
flags.DEFINE_string('caller', 'shop-1', 'Name of the caller.')
flags.DEFINE_integer('lookups', 5, 'Number of lookups.')


async def look_up() -> int:
    """Print the answer of each lookup; return 1 if a lookup failed."""
    key = read_key(Path(FLAGS.key_file)) if FLAGS.key_file else None
    settings = ClientSettings(
        caller=FLAGS.caller, addresses=FLAGS.entry, key=key
    )
    status = 0
    async with Client(settings) as client:
        for account in range(FLAGS.lookups):
            try:
                answer = await client.call(
                    'lookup', {'account': account}, deadline_ms=2_000
                )
                print(f'account {account}: {answer.value}')
            except CallError as error:
                status = 1
                print(f'account {account}: {type(error).__name__}: {error}')
    return status


def main(arguments: list[str]) -> int:
    """Run the lookups and return the exit status."""
    return asyncio.run(look_up())


if __name__ == '__main__':
    app.run(main)

"""Make postings to a ledger, each at most once.

Usage: python examples/ledger_job.py --entry=127.1.0.1:8000 --job=2026-12-03

Run it again with the same job to retry postings that were refused. Postings
that were made before are not repeated: the service answers them from the claim
that it stored under their key.
"""

import asyncio
from pathlib import Path

from absl import app, flags

from anvilcove import (
    CallError,
    Client,
    ClientSettings,
    NotRunError,
    UnknownOutcomeError,
    read_key,
)

FLAGS = flags.FLAGS
flags.DEFINE_list('entry', [], 'Addresses of some entry hosts.')
flags.DEFINE_string('key_file', '', 'File that holds the API key.')
flags.DEFINE_string('caller', 'ledger-1', 'Name of the caller.')
flags.DEFINE_string('job', 'job-1', 'Name of the job, part of each key.')
flags.DEFINE_integer('postings', 5, 'Number of postings.')
MAX_ATTEMPTS = 3


async def post(client: Client, number: int) -> str:
    """Make one posting and return its outcome as text."""
    key = f'{FLAGS.job}/{number}'
    for _ in range(MAX_ATTEMPTS):
        try:
            await client.call(
                'postings',
                {'posting': key, 'amount': 1},
                deadline_ms=10_000,
                repeatable=False,
                key=key,
            )
            return 'made'
        except NotRunError as error:
            await asyncio.sleep(error.retry_after_s)
        except UnknownOutcomeError:
            return 'unknown, check it by hand'
        except CallError as error:
            return f'{type(error).__name__}: {error}'
    return 'not made'


async def run_job() -> int:
    """Print the outcome of each posting; return 1 if one was not made."""
    key = read_key(Path(FLAGS.key_file)) if FLAGS.key_file else None
    settings = ClientSettings(
        caller=FLAGS.caller, addresses=FLAGS.entry, key=key
    )
    status = 0
    async with Client(settings) as client:
        for number in range(FLAGS.postings):
            outcome = await post(client, number)
            print(f'posting {number}: {outcome}')
            if outcome != 'made':
                status = 1
    return status


def main(arguments: list[str]) -> int:
    """Run the job and return the exit status."""
    return asyncio.run(run_job())


if __name__ == '__main__':
    app.run(main)

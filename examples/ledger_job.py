"""Post to a ledger; each posting is made at most once.

Usage: python examples/ledger_job.py --entry=127.1.0.1:8000 --job=2026-12-03

Run it again with the same job to finish what was refused: postings that were
made are answered from their claims and are not made again.
"""

import asyncio

from absl import app, flags

from anvilcove import (
    CallError,
    Client,
    ClientSettings,
    NotRunError,
    UnknownOutcomeError,
)

FLAGS = flags.FLAGS
flags.DEFINE_list('entry', [], 'Addresses of some entry hosts.')
flags.DEFINE_string('caller', 'ledger-1', 'Name of the caller.')
flags.DEFINE_string('job', 'job-1', 'Name of the job, part of each key.')
flags.DEFINE_integer('postings', 5, 'Number of postings.')
ATTEMPTS = 3


async def post(client: Client, number: int) -> str:
    """Make one posting and return how it ended."""
    key = f'{FLAGS.job}/{number}'
    for _ in range(ATTEMPTS):
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
            return 'unknown, to be checked by a person'
        except CallError as error:
            return f'{type(error).__name__}: {error}'
    return 'not made'


async def run_job() -> int:
    """Print how each posting ended; return 1 if one was not made."""
    settings = ClientSettings(caller=FLAGS.caller, addresses=FLAGS.entry)
    status = 0
    async with Client(settings) as client:
        for number in range(FLAGS.postings):
            end = await post(client, number)
            print(f'posting {number}: {end}')
            if end != 'made':
                status = 1
    return status


def main(arguments: list[str]) -> int:
    """Run the job."""
    return asyncio.run(run_job())


if __name__ == '__main__':
    app.run(main)

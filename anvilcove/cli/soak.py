"""Play seeds of the fault soak on loopback addresses."""

import asyncio
import sys

from absl import flags
from msgspec import json

from anvilcove.cli.registry import program
from anvilcove.soak.run import SoakSettings, soak

FLAGS = flags.FLAGS
flags.DEFINE_integer('seeds', 1, 'Number of seeds to play.', lower_bound=1)
flags.DEFINE_integer('first_seed', 1, 'First seed; the others follow it.')
flags.DEFINE_float('fault_s', 10.0, 'Seconds in which faults begin.')
flags.DEFINE_integer('fault_count', 8, 'Faults of a seed.')
flags.DEFINE_integer('daemon_count', 4, 'Daemons of a site.')
flags.DEFINE_boolean('keep_logs', False, 'Keep the logs of every seed.')


@program('soak', 'Play seeds of the fault soak: anvilcove soak --seeds=5')
def run_soak(arguments: list[str]) -> int:
    """Print one JSON object a seed; return 1 if a promise was broken."""
    if arguments:
        print('usage: anvilcove soak [--seeds=N]', file=sys.stderr)
        return 2
    failed = 0
    for seed in range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds):
        settings = SoakSettings(
            seed=seed,
            seconds=FLAGS.fault_s,
            faults=FLAGS.fault_count,
            daemons=FLAGS.daemon_count,
            keep_logs=FLAGS.keep_logs,
        )
        outcome = asyncio.run(soak(settings))
        failed += bool(outcome.broken)
        print(json.encode(outcome).decode(), flush=True)
    return 1 if failed else 0

"""Run soak tests with random faults on loopback addresses."""

import asyncio
import sys
from pathlib import Path

from absl import flags
from msgspec import json

from anvilcove.cli.registry import program
from anvilcove.soak.run import soak
from anvilcove.soak.settings import SoakSettings

FLAGS = flags.FLAGS
flags.DEFINE_integer(
    'seeds', 1, 'Number of runs, each with its own seed.', lower_bound=1
)
flags.DEFINE_integer(
    'first_seed', 1, 'Seed of the first run; later runs count up.'
)
flags.DEFINE_float(
    'fault_s', 10.0, 'Period of a run in which faults start, s.'
)
flags.DEFINE_integer('fault_count', 8, 'Number of faults in a run.')
flags.DEFINE_integer('daemon_count', 4, 'Number of daemons.')
flags.DEFINE_integer('engine_count', 3, 'Number of model servers.')
flags.DEFINE_integer('server_count', 3, 'Number of plain servers.')
flags.DEFINE_multi_string(
    'kind', [], 'Kind of fault to draw from; repeat it for several.'
)
flags.DEFINE_boolean(
    'closing', True, 'Check what needs a site without faults.'
)
flags.DEFINE_integer(
    'spare_engines', 0, 'Number of model servers that start when ordered.'
)
flags.DEFINE_integer(
    'reclaimable_engines', 0, 'Number of model servers that may be reclaimed.'
)
flags.DEFINE_bool(
    'step_faults',
    True,
    'Add large steps, odd headers of items, and split routes that change.',
)
flags.DEFINE_integer(
    'slow_readers', 0, 'Number of callers that read one byte per second.'
)
flags.DEFINE_integer(
    'crowd_clients', 0, 'Number of clients of each crowd that uses up memory.'
)
flags.DEFINE_string(
    'build',
    '',
    'Folder of another build, such as a git worktree, that the daemons run '
    'at first; they are replaced in turn, forward and back.',
)
flags.DEFINE_boolean('keep_logs', False, 'Keep the logs of every run.')


@program('soak', 'Run soak tests with random faults: anvilcove soak --seeds=5')
def run_soak(arguments: list[str]) -> int:
    """Print one JSON object per run; return 1 if a guarantee was violated."""
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
            engines=FLAGS.engine_count,
            servers=FLAGS.server_count,
            kinds=FLAGS.kind,
            closing=FLAGS.closing,
            keep_logs=FLAGS.keep_logs,
            spare_engines=FLAGS.spare_engines,
            reclaimable_engines=FLAGS.reclaimable_engines,
            slow_readers=FLAGS.slow_readers,
            crowd_clients=FLAGS.crowd_clients,
            step_faults=FLAGS.step_faults,
            build=str(Path(FLAGS.build).resolve()) if FLAGS.build else '',
        )
        outcome = asyncio.run(soak(settings))
        failed += bool(outcome.broken)
        print(json.encode(outcome).decode(), flush=True)
    return 1 if failed else 0

"""Run a site on this machine with simulated endpoints, load and faults."""

import asyncio
import json
import sys
import time
from pathlib import Path

import msgspec
from absl import flags
from loguru import logger

from anvilcove.cli.registry import program
from anvilcove.demo.checks import check_all
from anvilcove.demo.report import class_rows, summary, tables
from anvilcove.demo.run import Demo
from anvilcove.demo.site import SHAPES_BY_NAME

FLAGS = flags.FLAGS
flags.DEFINE_enum('site', 'tifawt', sorted(SHAPES_BY_NAME), 'Site to run.')
flags.DEFINE_integer('seed', 1, 'Seed of load and faults.')
flags.DEFINE_string('run_dir', '', 'Folder of the run; a new one by default.')


@program('demo', 'Run a site under faults: anvilcove demo [--site] [--seed]')
def demo(arguments: list[str]) -> int:
    """Run the demonstration and print its results.

    Return 1 if a guarantee was violated or was not checked.
    """
    logger.remove()
    logger.add(sys.stderr, level='INFO', format='{time:HH:mm:ss} {message}')
    stamp = time.strftime('%Y%m%d-%H%M%S')
    name = f'{FLAGS.site}-{FLAGS.seed}-{stamp}'
    folder = Path(FLAGS.run_dir or f'runs/{name}').absolute()
    run = Demo(FLAGS.site, FLAGS.seed, folder)
    asyncio.run(run.run())
    (folder / 'record.json').write_bytes(msgspec.json.encode(run.record))
    verdicts = check_all(run.record)
    rows = class_rows(run.record)
    print(tables(rows, verdicts))
    result = summary(FLAGS.site, rows, verdicts)
    (folder / 'summary.json').write_text(json.dumps(result))
    print(json.dumps(result))
    passed = all(v.checked and not v.broken for v in verdicts.values())
    return 0 if passed else 1

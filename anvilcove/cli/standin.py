"""Run a stand-in: a simulated platform, endpoint or network."""

import asyncio
import json
import sys
from pathlib import Path

from absl import flags

from anvilcove.cli.registry import program
from anvilcove.messages.base import decode
from anvilcove.standins.batch import EngineOptions
from anvilcove.standins.engine import EngineStandin
from anvilcove.standins.faults import Standin
from anvilcove.standins.network import (
    Network,
    NetworkOptions,
    PreciseSelector,
)
from anvilcove.standins.platform import PlatformOptions, PlatformStandin
from anvilcove.standins.server import serve_app
from anvilcove.standins.service import ServiceOptions, ServiceStandin

FLAGS = flags.FLAGS
flags.DEFINE_string('address', '127.0.0.1:0', 'Listen address, ip:port.')
flags.DEFINE_string(
    'journal_file', '', 'File for the journal of calls, JSON lines.'
)
flags.DEFINE_string('faults', '{}', 'Initial fault switches, a JSON object.')
flags.DEFINE_string(
    'network_file', '', 'File that describes the network, JSON.'
)
flags.DEFINE_string('endpoint', '', 'Identifier of the endpoint.')
flags.DEFINE_integer(
    'capacity', 8, 'Requests that run in parallel.', lower_bound=1
)
flags.DEFINE_integer(
    'queue', 64, 'Requests that may be queued.', lower_bound=0
)
flags.DEFINE_string('pool', '', 'Pool of a service; `scoring` returns scores.')
flags.DEFINE_float('service_time_ms', 10.0, 'Duration of a service call, ms.')
flags.DEFINE_float('token_time_ms', 5.0, 'Time to generate a token, ms.')
flags.DEFINE_float(
    'prefill_ms', 20.0, 'Prefill duration after a prefix cache miss, ms.'
)
flags.DEFINE_integer('cache_prefixes', 16, 'Prefixes that fit in the cache.')
flags.DEFINE_float('switch_ms', 50.0, 'Pause to load other weights, ms.')
flags.DEFINE_string('model', '', 'Model that an engine serves.')
flags.DEFINE_string(
    'weights_address', '', 'Address of the weight store, ip:port.'
)
flags.DEFINE_integer(
    'weights_bytes', 4 * 2**20, 'Size of a weight version, bytes.'
)
flags.DEFINE_float(
    'weights_rate', 16.0, 'Bandwidth of all weight transfers, MiB/s.'
)


@program(
    'standin',
    'Run a stand-in: anvilcove standin platform|engine|service|network',
)
def standin(arguments: list[str]) -> int:
    """Run the stand-in until it is stopped."""
    kind = arguments[0] if arguments else ''
    if kind not in KINDS:
        print(
            f'usage: anvilcove standin {"|".join(KINDS)} [FLAGS]',
            file=sys.stderr,
        )
        return 2
    with asyncio.Runner(
        loop_factory=lambda: asyncio.SelectorEventLoop(PreciseSelector())
    ) as runner:
        runner.run(_serve(kind))
    return 0


async def _serve(kind: str) -> None:
    instance = KINDS[kind]()
    if FLAGS.journal_file:
        instance.open_journal(FLAGS.journal_file)
    instance.set_faults(json.loads(FLAGS.faults))
    await serve_app(instance.app(), FLAGS.address)


def _platform() -> Standin:
    return PlatformStandin(
        PlatformOptions(
            weights_bytes=FLAGS.weights_bytes,
            weights_bytes_per_s=FLAGS.weights_rate * 2**20,
        )
    )


def _engine() -> Standin:
    return EngineStandin(
        EngineOptions(
            endpoint=FLAGS.endpoint,
            model=FLAGS.model,
            slots=FLAGS.capacity,
            queue=FLAGS.queue,
            token_time_s=FLAGS.token_time_ms / 1000,
            prefill_s=FLAGS.prefill_ms / 1000,
            cache_prefixes=FLAGS.cache_prefixes,
            weights_address=FLAGS.weights_address,
            listen_ip=FLAGS.address.rpartition(':')[0],
            switch_s=FLAGS.switch_ms / 1000,
        )
    )


def _service() -> Standin:
    return ServiceStandin(
        ServiceOptions(
            endpoint=FLAGS.endpoint,
            pool=FLAGS.pool,
            workers=FLAGS.capacity,
            queue=FLAGS.queue,
            service_time_s=FLAGS.service_time_ms / 1000,
        )
    )


def _network() -> Standin:
    data = Path(FLAGS.network_file).read_bytes()
    return Network(decode(data, NetworkOptions))


KINDS = {
    'platform': _platform,
    'engine': _engine,
    'service': _service,
    'network': _network,
}

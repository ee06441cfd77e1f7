"""Run one stand-in of the platform."""

import asyncio
import sys

from absl import flags

from anvilcove.cli.registry import program
from anvilcove.standins.engine import EngineStandin
from anvilcove.standins.platform import PlatformStandin
from anvilcove.standins.server import serve_app
from anvilcove.standins.service import ServiceStandin

FLAGS = flags.FLAGS
flags.DEFINE_string('address', '127.0.0.1:0', 'Listen address, ip:port.')
flags.DEFINE_string('endpoint', '', 'Identifier of the endpoint.')
flags.DEFINE_integer('capacity', 8, 'Parallel requests.', lower_bound=1)
flags.DEFINE_integer('queue', 64, 'Waiting requests of a service.')
flags.DEFINE_float('service_time_ms', 10.0, 'Time of a service call, ms.')
flags.DEFINE_float('token_time_ms', 5.0, 'Time of a token, ms.')
flags.DEFINE_string('model', '', 'Model of an engine.')


@program(
    'standin', 'Run a stand-in: anvilcove standin platform|engine|service'
)
def standin(arguments: list[str]) -> int:
    """Run the stand-in until it is stopped."""
    kind = arguments[0] if arguments else ''
    if kind == 'platform':
        coroutine = _platform()
    elif kind == 'engine':
        coroutine = _engine()
    elif kind == 'service':
        coroutine = _service()
    else:
        print(
            'usage: anvilcove standin platform|engine|service [FLAGS]',
            file=sys.stderr,
        )
        return 2
    asyncio.run(coroutine)
    return 0


async def _platform() -> None:
    await serve_app(PlatformStandin().app(), FLAGS.address)


async def _engine() -> None:
    engine = EngineStandin(
        FLAGS.endpoint,
        FLAGS.capacity,
        FLAGS.token_time_ms / 1000,
        FLAGS.model,
    )
    await serve_app(engine.app(), FLAGS.address)


async def _service() -> None:
    service = ServiceStandin(
        FLAGS.endpoint,
        FLAGS.capacity,
        FLAGS.service_time_ms / 1000,
        FLAGS.queue,
    )
    await serve_app(service.app(), FLAGS.address)

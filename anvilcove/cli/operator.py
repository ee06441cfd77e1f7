"""Calls of the operators' programs to a daemon."""

import asyncio
import sys
from pathlib import Path
from typing import Any

from absl import flags
from aiohttp import ClientError, ClientSession, ClientTimeout

FLAGS = flags.FLAGS
flags.DEFINE_string('address', '127.0.0.1:7400', 'Address of a host, ip:port.')
flags.DEFINE_string('key', '', 'Operator key; prefer --key_file.')
flags.DEFINE_string('key_file', '', 'File that holds the operator key.')
flags.DEFINE_bool('tls', False, 'Whether the host serves over TLS.')
flags.DEFINE_string('authority_file', '', 'Authority of the host, PEM.')

CALL_LIMIT_S = 15.0


class CallError(Exception):
    """Raised when a daemon could not be reached or refused."""

    def __init__(self, reason: str, status: int, body: Any) -> None:
        """Keep status and body of the answer, 0 and None without one."""
        super().__init__(reason)
        self.status = status
        self.body = body


def call(method: str, path: str, body: Any = None) -> Any:
    """Call the daemon that the flags name, or raise CallError."""
    return asyncio.run(_call(method, path, body))


def report(error: CallError) -> int:
    """Print an error and return the exit status."""
    print(error, file=sys.stderr)
    return 1


async def _call(method: str, path: str, body: Any) -> Any:
    key = FLAGS.key
    if FLAGS.key_file:
        try:
            key = Path(FLAGS.key_file).read_text().strip()
        except OSError as error:
            raise CallError(
                f'--key_file: {error.strerror}: {FLAGS.key_file}', 0, None
            ) from error
    scheme = 'https' if FLAGS.tls else 'http'
    try:
        async with (
            ClientSession(
                timeout=ClientTimeout(total=CALL_LIMIT_S)
            ) as session,
            session.request(
                method,
                f'{scheme}://{FLAGS.address}{path}',
                json=body,
                headers={'Authorization': f'Bearer {key}'},
                ssl=_tls() if FLAGS.tls else True,
            ) as response,
        ):
            answer = await response.json(content_type=None)
            if response.status != 200:
                reason = answer.get('reason', answer)
                raise CallError(
                    f'{FLAGS.address}: status {response.status}: {reason}',
                    response.status,
                    answer,
                )
            return answer
    except (ClientError, OSError, TimeoutError, ValueError) as error:
        raise CallError(f'{FLAGS.address}: {error!r}', 0, None) from error


def _tls() -> Any:
    import ssl

    context = ssl.create_default_context(cafile=FLAGS.authority_file or None)
    # Hosts are addressed by IP number and named by the authority.
    context.check_hostname = False
    return context

"""HTTP calls from the operator programs to a daemon."""

import asyncio
import sys
from pathlib import Path
from typing import Any

from absl import flags
from aiohttp import ClientError, ClientTimeout

from anvilcove.client.keys import ApiKey, read_key
from anvilcove.http.sessions import open_session

FLAGS = flags.FLAGS
flags.DEFINE_string('address', '127.0.0.1:7400', 'Address of a host, ip:port.')
flags.DEFINE_string('key', '', 'Key to send; prefer --key_file.')
flags.DEFINE_string(
    'key_file',
    '',
    'File that holds the key to send: that of operators, for `call` the API '
    'key of a workspace.',
)
flags.DEFINE_bool('tls', False, 'Connect over TLS.')
flags.DEFINE_string(
    'authority_file', '', 'Certificate of the authority of the host, PEM.'
)

CALL_TIMEOUT_S = 15.0


class CallError(Exception):
    """Raised when a daemon was not reached or returned an error status."""

    def __init__(self, reason: str, status: int, body: Any) -> None:
        """Store status and body of the response, or 0 and None without one."""
        super().__init__(reason)
        self.status = status
        self.body = body


def call(method: str, path: str, body: Any = None) -> Any:
    """Call the daemon at --address and return the decoded JSON body.

    Raise CallError on any failure.
    """
    return asyncio.run(_call(method, path, body))


def report(error: CallError) -> int:
    """Print an error to stderr and return exit status 1."""
    print(error, file=sys.stderr)
    return 1


def chosen_key() -> ApiKey | None:
    """Return the key that the flags name, None if they name none.

    Raise CallError, which does not show the key, if it is unusable.
    """
    try:
        if FLAGS.key_file:
            return read_key(Path(FLAGS.key_file))
        return ApiKey(FLAGS.key) if FLAGS.key else None
    except OSError as error:
        raise CallError(
            f'--key_file: {error.strerror}: {FLAGS.key_file}', 0, None
        ) from error
    except ValueError as error:
        name = '--key_file' if FLAGS.key_file else '--key'
        raise CallError(f'{name}: {error}', 0, None) from None


async def _call(method: str, path: str, body: Any) -> Any:
    key = chosen_key()
    headers = {'Authorization': 'Bearer '} if key is None else key.headers()
    scheme = 'https' if FLAGS.tls else 'http'
    try:
        async with (
            open_session(
                timeout=ClientTimeout(total=CALL_TIMEOUT_S)
            ) as session,
            session.request(
                method,
                f'{scheme}://{FLAGS.address}{path}',
                json=body,
                headers=headers,
                ssl=_tls_context() if FLAGS.tls else True,
            ) as response,
        ):
            decoded = await response.json(content_type=None)
            if response.status != 200:
                reason = decoded.get('reason', decoded)
                raise CallError(
                    f'{FLAGS.address}: status {response.status}: {reason}',
                    response.status,
                    decoded,
                )
            return decoded
    except (ClientError, OSError, TimeoutError, ValueError) as error:
        raise CallError(f'{FLAGS.address}: {error!r}', 0, None) from error


def _tls_context() -> Any:
    import ssl

    context = ssl.create_default_context(cafile=FLAGS.authority_file or None)
    # Certificates name hosts, but hosts are addressed by IP address.
    context.check_hostname = False
    return context

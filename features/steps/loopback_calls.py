"""Calls to the daemons of a loopback site."""

from aiohttp import ClientError

from anvilcove.platform.standin_wire import request_headers
from anvilcove.soak.site import CALLERS_PORT, HOST


async def post(context, prefix, request_id, body):
    """Send a request to the first daemon.

    Returns status, headers and body; status 0 and the text of the error if
    the connection fails.
    """
    ip = context.loopback.daemons[0].ip
    try:
        async with context.session.post(
            f'http://{ip}:{CALLERS_PORT}{prefix}{request_id}',
            data=body,
            headers=request_headers(HOST, request_id),
        ) as response:
            return response.status, response.headers, await response.read()
    except (ClientError, OSError) as error:
        return 0, {}, str(error).encode()

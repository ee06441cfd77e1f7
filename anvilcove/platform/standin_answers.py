"""Answers of the stand-in of a server that are not sound."""

import asyncio

from aiohttp import web

BLOCK = b'x' * 65_536
# What an answer consists of before the part without end, by its name, and
# what is sent again and again. A head follows the status line.
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS_PARTS = {
    'body': (CHUNKED, b'10000\r\n' + BLOCK + b'\r\n'),
    'small chunks': (CHUNKED, b'1\r\nx\r\n' * 8192),
    'header lines': (b'', b'X: 1\r\n' * 8192),
    'one header': (b'X: ', BLOCK),
    'chunk extension': (CHUNKED + b'5;', BLOCK),
    'trailers': (CHUNKED + b'0\r\n', b'X: 1\r\n' * 8192),
    'one line': (
        b'Content-Length: 100000000000\r\n\r\ndata: ',
        BLOCK,
    ),
}
# Time between two blocks, so that the stand-ins leave time for others.
PAUSE_S = 0.002


def _head(answer: web.Response, status: str) -> bytes:
    """Return the head of an answer without its framing and its end."""
    lines = [f'HTTP/1.1 {status} S']
    lines += [f'{name}: {text}' for name, text in answer.headers.items()]
    return '\r\n'.join([*lines, '']).encode()


async def send_without_end(
    request: web.BaseRequest, answer: web.Response, part: str
) -> web.Response:
    """Send a part of an answer until the caller closes the connection."""
    transport = request.transport
    assert isinstance(transport, asyncio.WriteTransport)
    first, repeated = ENDLESS_PARTS[part]
    transport.write(_head(answer, '200') + first)
    while not transport.is_closing():
        if not transport.get_write_buffer_size():
            transport.write(repeated)
        await asyncio.sleep(PAUSE_S)
    return answer


def send_odd_status(
    request: web.BaseRequest, answer: web.Response, status: str
) -> web.Response:
    """Send an answer with a status of three digits and close."""
    transport = request.transport
    assert isinstance(transport, asyncio.WriteTransport)
    body = answer.body
    assert isinstance(body, bytes)
    length = f'Content-Length: {len(body)}\r\n\r\n'.encode()
    transport.write(_head(answer, status) + length + body)
    transport.close()
    return answer


def cut_head(
    request: web.BaseRequest, answer: web.Response, count: int
) -> web.Response:
    """Send the first bytes of a head and close the connection."""
    transport = request.transport
    assert isinstance(transport, asyncio.WriteTransport)
    head = _head(answer, '200') + b'Content-Length: 0\r\n\r\n'
    # The whole head would be an answer.
    transport.write(head[: min(count, len(head) - 1)])
    transport.close()
    return answer


async def send_half(
    request: web.BaseRequest, answer: web.Response
) -> web.StreamResponse:
    """Send the first half of a response and close the connection."""
    body = answer.body
    assert isinstance(body, bytes) and request.transport is not None
    cut = web.StreamResponse(status=answer.status, headers=answer.headers)
    cut.content_length = len(body)
    await cut.prepare(request)
    await cut.write(body[: len(body) // 2])
    request.transport.close()
    return cut

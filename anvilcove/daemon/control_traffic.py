"""Measure the traffic and CPU time of the control loops."""

import time
from collections.abc import Coroutine, Generator
from types import SimpleNamespace, coroutine
from typing import Any

from aiohttp import (
    ClientSession,
    TraceConfig,
    TraceRequestChunkSentParams,
    TraceRequestEndParams,
    TraceRequestHeadersSentParams,
)

from anvilcove.daemon.metrics import Metrics

# Default headers of the client that control calls do not need. They made up
# a third of the bytes of a call.
SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding')


def control_trace(metrics: Metrics) -> TraceConfig:
    """Return a trace that counts the messages and bytes of a session.

    Sizes are computed from the HTTP/1.1 text of the messages.
    """
    trace = TraceConfig()

    async def headers_sent(
        session: ClientSession,
        context: SimpleNamespace,
        params: TraceRequestHeadersSentParams,
    ) -> None:
        # 14 bytes: two spaces, the protocol name and two line ends.
        line = len(params.method) + len(params.url.raw_path_qs) + 14
        context.sent = line + sum(
            len(k) + len(v) + 4 for k, v in params.headers.items()
        )
        context.received = 0

    async def chunk_sent(
        session: ClientSession,
        context: SimpleNamespace,
        params: TraceRequestChunkSentParams,
    ) -> None:
        context.sent += len(params.chunk)

    async def request_ended(
        session: ClientSession,
        context: SimpleNamespace,
        params: TraceRequestEndParams,
    ) -> None:
        raw = params.response.raw_headers
        # 19 bytes: the status line of a 200 response and the empty line.
        head = 19 + sum(len(k) + len(v) + 4 for k, v in raw)
        body = params.response.content_length or 0
        path_parts = params.url.path.strip('/').partition('/')
        name = path_parts[2] if path_parts[0] == 'peer' else path_parts[0]
        metrics.control_called(name, context.sent, head + body)

    trace.on_request_headers_sent.append(headers_sent)
    trace.on_request_chunk_sent.append(chunk_sent)
    trace.on_request_end.append(request_ended)
    return trace


@coroutine
def metered(
    coro: Coroutine[Any, Any, None], metrics: Metrics
) -> Generator[Any, Any, None]:
    """Drive a coroutine and count the CPU time between its awaits."""
    step: Any = coro.send
    value: Any = None
    while True:
        started_s = time.thread_time()
        try:
            awaited = step(value)
        except StopIteration:
            return
        finally:
            metrics.add_control_cpu_time(time.thread_time() - started_s)
        try:
            value = yield awaited
            step = coro.send
        except BaseException as error:
            value = error
            step = coro.throw


async def run_metered(
    coro: Coroutine[Any, Any, None], metrics: Metrics
) -> None:
    """Await a coroutine and count its CPU time."""
    await metered(coro, metrics)

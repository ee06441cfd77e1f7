"""Count the bytes, messages and processor time of the control loops."""

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

# Headers that a control call does not need; they are a third of its bytes.
SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding')


def control_trace(metrics: Metrics) -> TraceConfig:
    """Return a trace that counts every call of a session."""
    trace = TraceConfig()

    async def headers_sent(
        session: ClientSession,
        context: SimpleNamespace,
        params: TraceRequestHeadersSentParams,
    ) -> None:
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

    async def ended(
        session: ClientSession,
        context: SimpleNamespace,
        params: TraceRequestEndParams,
    ) -> None:
        raw = params.response.raw_headers
        head = 19 + sum(len(k) + len(v) + 4 for k, v in raw)
        body = params.response.content_length or 0
        kind = params.url.path.strip('/').partition('/')
        name = kind[2] if kind[0] == 'peer' else kind[0]
        metrics.control_called(name, context.sent, head + body)

    trace.on_request_headers_sent.append(headers_sent)
    trace.on_request_chunk_sent.append(chunk_sent)
    trace.on_request_end.append(ended)
    return trace


@coroutine
def metered(
    work: Coroutine[Any, Any, None], metrics: Metrics
) -> Generator[Any, Any, None]:
    """Run a coroutine and count the processor time of its steps."""
    step: Any = work.send
    value: Any = None
    while True:
        started_s = time.thread_time()
        try:
            awaited = step(value)
        except StopIteration:
            return
        finally:
            metrics.control_processor(time.thread_time() - started_s)
        try:
            value = yield awaited
            step = work.send
        except BaseException as error:
            value = error
            step = work.throw


async def run_metered(
    work: Coroutine[Any, Any, None], metrics: Metrics
) -> None:
    """Run a coroutine to its end and count its processor time."""
    await metered(work, metrics)

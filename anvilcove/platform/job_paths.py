"""Reads and ends of batch jobs over HTTP."""

import asyncio
import random
from urllib.parse import parse_qs

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from loguru import logger
from multidict import CIMultiDict

from anvilcove.decisions.access import Denied
from anvilcove.jobs.reader import JobNotFound, ReadUnavailable
from anvilcove.messages.numbers import parse_decimal
from anvilcove.node.service import NodeService
from anvilcove.platform.access import bearer_key
from anvilcove.platform.jobs import checked_id, encode_page
from anvilcove.platform.names import ATTEMPT_ID, RETRY_AFTER, WAIT_MS
from anvilcove.ports.servers import CallerAnswer
from anvilcove.proxy.outcomes import refusal, unauthorized

# Paths of batch jobs, which the platform calls lots.
RESULTS_PREFIX = '/-/lots/'
BODY_PREFIX = '/-/items/'
MAX_RESULTS_WAIT_S = 1.0


class JobPaths:
    """Handler of the paths at which callers read and end batch jobs."""

    __slots__ = ('_service', '_rng')

    def __init__(self, service: NodeService, rng: random.Random) -> None:
        """Serve the jobs of the service."""
        self._service = service
        self._rng = rng

    async def respond(
        self, request: BaseRequest, path: str, query: str
    ) -> StreamResponse:
        """Respond to a read or the end of a job, if its key allows it."""
        if not path.startswith((RESULTS_PREFIX, BODY_PREFIX)):
            return Response(status=404)
        if not self._service.can_judge_access():
            return to_response(request, refusal(1.0, self._rng))
        admission = self._service.admit_to_jobs(
            request.headers.get('Host', '').lower(),
            bearer_key(request.headers),
            path.rpartition('/')[2],
        )
        if isinstance(admission, Denied):
            return to_response(request, unauthorized())
        # None: jobs of all workspaces, as there are none.
        workspace = None
        if self._service.has_workspaces():
            workspace = admission.name
        try:
            return await self._serve(request, path, query, workspace)
        except JobNotFound as error:
            logger.bind(job=path[:160], reason=str(error)).info('no such job')
            return Response(status=404)
        except ReadUnavailable as error:
            logger.bind(job=path[:160], reason=str(error)).info(
                'job could not be read'
            )
            return to_response(request, refusal(1.0, self._rng))
        except ValueError:
            return Response(status=404)

    async def _serve(
        self,
        request: BaseRequest,
        path: str,
        query: str,
        workspace: str | None,
    ) -> StreamResponse:
        jobs = self._service.jobs
        if path.startswith(RESULTS_PREFIX):
            job_id = checked_id(path.removeprefix(RESULTS_PREFIX))
            if request.method == 'GET':
                return await self._read_results(
                    request, job_id, query, workspace
                )
            if request.method == 'DELETE':
                await asyncio.shield(jobs.end(job_id, workspace))
                return Response(status=200)
        elif path.startswith(BODY_PREFIX) and request.method == 'GET':
            job_id = checked_id(path.removeprefix(BODY_PREFIX))
            item_id = checked_id(query_value(query, 'id'))
            return Response(body=await jobs.body(job_id, item_id, workspace))
        return Response(status=404)

    async def _read_results(
        self,
        request: BaseRequest,
        job_id: str,
        query: str,
        workspace: str | None,
    ) -> StreamResponse:
        after_text = query_value(query, 'after') or '0'
        after = parse_decimal(after_text)
        if after is None:
            return Response(status=400)
        wait_ms = parse_decimal(request.headers.get(WAIT_MS, '')) or 0
        page = await self._service.jobs.page(
            job_id, after, min(wait_ms / 1000, MAX_RESULTS_WAIT_S), workspace
        )
        return Response(
            body=encode_page(page, after),
            content_type='application/json',
        )


def to_response(request: BaseRequest, answer: CallerAnswer) -> Response:
    """Return the HTTP response of an answer to a request."""
    headers: CIMultiDict[str] = CIMultiDict(answer.headers)
    if answer.retry_after_s is not None:
        headers[RETRY_AFTER] = f'{answer.retry_after_s:.3f}'
    if ATTEMPT_ID not in headers and ATTEMPT_ID in request.headers:
        headers[ATTEMPT_ID] = request.headers[ATTEMPT_ID]
    return Response(status=answer.status, headers=headers, body=answer.body)


def query_value(query: str, name: str) -> str:
    """Return the first value of a query parameter, '' if it is missing."""
    values = parse_qs(query).get(name, [''])
    return values[0]

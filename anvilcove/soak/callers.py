"""Callers and a trainer of a soak run, and records of their calls."""

import asyncio
import hashlib
import itertools
import math
import random
from collections.abc import Coroutine
from typing import Any

from aiohttp import (
    ClientError,
    ClientResponseError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)
from msgspec import Struct, field

from anvilcove.platform.standin import SMUGGLED
from anvilcove.platform.standin_faults import (
    EARLY_CRASHES,
    FAILING,
    LASTING,
    content_marker,
)
from anvilcove.platform.standin_wire import (
    ItemSpec,
    JobResult,
    job_path,
    key_headers,
    lookup_path,
    read_addresses,
    read_page,
    reporting_server,
    request_headers,
    results_headers,
    results_path,
    submission,
)
from anvilcove.soak.key_ring import KeyedCall, KeyedCalls
from anvilcove.soak.site import (
    CALLERS_PORT,
    EXTRA,
    GROUP_SIZE,
    HOST,
    JOBS,
    LOOKUP_PORT,
    MODEL,
    ONCE,
    REWARDS,
    SHOP,
    STATUS_S,
    UNSCORED,
    FaultPeriod,
    LoopbackSite,
)
from anvilcove.soak.streams import StreamCallers

REQUEST_DEADLINE_S = 2.0
CONNECT_TIMEOUT_S = 0.5
MEAN_PAUSE_S = 0.08
LOOKUP_PERIOD_S = 1.0
STEP_TIMEOUT_S, SMALL_JOB_TIMEOUT_S = 2.5, 0.5
GROUPS = 4
MAX_READ_PAUSE_S = 0.4
READ_WAIT_S = 0.3
# Share of calls whose caller keeps the daemon that answered before.
SAME_DAEMON_SHARE = 0.9
FAILING_PAUSE_S = 0.15
CRASHING_PAUSE_S = 0.3
# Callers on kept connections to a daemon that is stopped.
KEPT_CALLERS = 8
KEPT_POLL_S = 0.05
# Times after SIGTERM at which they use their connections again: from the end
# of the lookups that name the daemon until it closes.
KEPT_FIRST_S, KEPT_STEP_S = 2.4, 0.55
# The same where these take longer than the requests before: some keep the
# daemon from closing, the others are late.
HOLDING_S = (2.4, 4.0)
LONGER_FIRST_S, LONGER_STEP_S = 5.2, 0.15
REREAD_PAUSE_S = 0.3
ENDED_SHARE = 0.5
KEY_CHANGE_S = 1.5
KEYED_PAUSE_S = 0.1
# Daemons give up store calls after 1 s or later. On a machine with five
# processes per processor the stand-in of the store was late by several
# seconds, so that daemons kept their configuration.
STALL_POLL_S = 0.1
MAX_STALL_S = 0.3


class CallRecord(Struct):
    """Result of one call; status 0 means that no response arrived."""

    request_id: str
    kind: str
    status: int
    at_s: float
    daemon: str
    # Number of starts of the daemon, -1 if it was restarted meanwhile.
    start_number: int
    intact: bool = True
    sent_s: float = 0.0
    # Whether the connection ended before the response.
    cut: bool = False
    # Whether the response was not valid HTTP.
    malformed: bool = False
    # Start of a server that said in the response that it leaves, and of one
    # that named a limit.
    leaving_server: str = ''
    limited_server: str = ''


class JobRecord(Struct):
    """A batch job of the trainer and the results that it has read."""

    job_id: str
    min_version: int
    item_ids: list[str]
    accepted: bool = False
    accepted_s: float = math.inf
    # Some of its items can't be completed.
    harmful: bool = False
    # Time of the first submission, and of the first call that ends the job.
    submitted_s: float = math.inf
    ended_s: float = math.inf
    end_confirmed_s: float = math.inf
    results: list[JobResult] = field(default_factory=list)
    # Time at which each result was read first.
    read_at_s: list[float] = field(default_factory=list)
    # Daemons that answered a read of the accepted job with status 404.
    unknown_at: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    # Size of the bodies of its items, 0 for their ids, and the headers that
    # these list, in turn.
    body_bytes: int = 0
    headers: tuple[dict[str, str], ...] = ({},)

    def body(self, item_id: str) -> bytes:
        """Return the body of an item."""
        text = item_id.encode()
        if any(self.headers):
            # With a wrong length or framing, a request of its own follows.
            return SMUGGLED + text
        return text.ljust(self.body_bytes, b'x')

    def pending(self) -> bool:
        """Tell whether results are missing."""
        return len(self.results) < len(self.item_ids)


class Callers:
    """Concurrent callers and the trainer of a run."""

    def __init__(self, site: LoopbackSite, rng: random.Random) -> None:
        """Create callers that send nothing before `run`."""
        self._site = site
        self._rng = rng
        self._ids = itertools.count()
        self._addresses = [f'{d.ip}:{CALLERS_PORT}' for d in site.daemons]
        self.calls: list[CallRecord] = []
        # Its own random numbers keep the calls of known seeds as they were.
        self.stream_callers = StreamCallers(
            site, random.Random(rng.getrandbits(32))
        )
        self.jobs: list[JobRecord] = []
        self.keyed_calls = KeyedCalls()
        self.stalls: list[FaultPeriod] = []
        self.version = 1
        self.trainer_stopped = False
        self._tasks: set[asyncio.Task[None] | asyncio.Task[int]] = set()

    async def run(self) -> None:
        """Send requests and jobs until cancelled."""
        timeout = ClientTimeout(
            total=REQUEST_DEADLINE_S + 1, sock_connect=CONNECT_TIMEOUT_S
        )
        async with ClientSession(timeout=timeout) as session:
            try:
                await asyncio.gather(
                    self._look_up(session),
                    self._call(session, 'safe', SHOP),
                    self._call(session, 'safe', SHOP),
                    self._call(session, 'once', ONCE),
                    self._call(session, 'extra', EXTRA),
                    self._call_crashing(session),
                    self._call_failing(session),
                    *(self._call_kept(n) for n in range(KEPT_CALLERS)),
                    self._train(session),
                    self._submit_small(session),
                    self._submit_harmful(session),
                    self._submit_extra(session),
                    self._read_again(session),
                    self.stream_callers.run(session),
                    *self._key_work(session),
                )
            finally:
                for task in self._tasks:
                    task.cancel()

    async def read_all(self, session: ClientSession, job: JobRecord) -> int:
        """Read results until the job is complete or none are added.

        Return the number of results.
        """
        while len(job.results) < len(job.item_ids):
            before = len(job.results)
            await self._read_results(session, job, before)
            if len(job.results) == before:
                return before
        return len(job.results)

    async def _look_up(self, session: ClientSession) -> None:
        while True:
            daemon = self._rng.choice(self._site.daemons)
            url = f'http://{daemon.ip}:{LOOKUP_PORT}{lookup_path(HOST)}'
            try:
                async with session.get(url) as response:
                    found = read_addresses(await response.read())
                    self._addresses = found or self._addresses
            except (ClientError, TimeoutError, OSError):
                # As real callers do, try another daemon at the next lookup.
                pass
            await asyncio.sleep(LOOKUP_PERIOD_S)

    async def _call(
        self, session: ClientSession, kind: str, prefix: str
    ) -> None:
        address, status = '', 0
        while True:
            await asyncio.sleep(self._rng.uniform(0, 2 * MEAN_PAUSE_S))
            # An open connection is used until its daemon is gone.
            if not status or self._rng.random() > SAME_DAEMON_SHARE:
                address = self._rng.choice(self._addresses)
            request_id = f'{kind}-{next(self._ids)}'
            status = await self._call_once(
                session, kind, address, f'{prefix}{request_id}', request_id
            )

    async def _call_kept(self, number: int) -> None:
        """Use a connection before the stop of a daemon, and late in it."""
        known = None
        while True:
            await asyncio.sleep(KEPT_POLL_S)
            stop = self._site.kept_stop
            if stop is None or stop is known:
                continue
            known = stop
            # A session of its own keeps its connection from other callers.
            async with ClientSession(
                connector=TCPConnector(limit=1),
                timeout=ClientTimeout(total=REQUEST_DEADLINE_S + 1),
            ) as session:
                await self._call_once_kept(session, stop.address, number)
                left_s = stop.at_s + _kept_after_s(number, stop.longer)
                left_s -= asyncio.get_running_loop().time()
                await asyncio.sleep(max(left_s, 0.0))
                await self._call_once_kept(
                    session, stop.address, number, stop.longer
                )

    async def _call_once_kept(
        self,
        session: ClientSession,
        address: str,
        number: int,
        longer: bool = False,
    ) -> None:
        """Send a request, which takes longer on another route if it holds."""
        holds = longer and number < len(HOLDING_S)
        kind, prefix = ('safe', SHOP) if holds else ('once', ONCE)
        request_id = f'{kind}-k{number}x{next(self._ids)}'
        name = f'{LASTING}{request_id}' if longer else request_id
        await self._call_once(
            session, kind, address, f'{prefix}{name}', request_id
        )

    async def _call_crashing(self, session: ClientSession) -> None:
        """Send contents that crash servers, each time at any daemon."""
        while True:
            await asyncio.sleep(CRASHING_PAUSE_S)
            for content in sorted(self._site.crashing_contents):
                address = self._rng.choice(self._addresses)
                request_id = f'{content}-{next(self._ids)}'
                await self._call_once(
                    session,
                    'crashing',
                    address,
                    f'{SHOP}{content}',
                    request_id,
                    content,
                )

    async def _call_failing(self, session: ClientSession) -> None:
        """Send contents that fail at each server, on all routes."""
        while True:
            await asyncio.sleep(FAILING_PAUSE_S)
            for marker in sorted(self._site.failing_markers):
                for kind, prefix in (('safe', SHOP), ('once', ONCE)):
                    address = self._rng.choice(self._addresses)
                    request_id = f'{kind}-f{next(self._ids)}'
                    path = f'{prefix}{marker}{request_id}'
                    task = asyncio.create_task(
                        self._call_once(
                            session, kind, address, path, request_id
                        )
                    )
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

    async def _call_once(
        self,
        session: ClientSession,
        kind: str,
        address: str,
        path: str,
        request_id: str,
        content: str = '',
        keyed: KeyedCall | None = None,
    ) -> int:
        """Send a request, record the call and return its status."""
        body = (content or request_id).encode() * 3
        digest = hashlib.sha256(body).hexdigest()[:8]
        status, intact, cut, malformed = 0, True, False, False
        leaving_server = limited_server = ''
        sent_s = asyncio.get_running_loop().time()
        start_number = self._start_number(address)
        try:
            async with session.post(
                f'http://{address}{path}',
                data=body,
                headers=self._headers(request_id, keyed),
            ) as response:
                answer = await response.read()
                status = response.status
                leaving_server, limited_server = reporting_server(
                    response.headers
                )
                if status == 200:
                    intact = answer == f'{request_id}:{digest}'.encode()
        except (ClientError, TimeoutError, OSError) as error:
            # Little is guaranteed without a response; status stays 0.
            cut = not isinstance(error, TimeoutError)
            malformed = isinstance(error, ClientResponseError)
        at_s = asyncio.get_running_loop().time()
        if start_number != self._start_number(address):
            start_number = -1
        self.calls.append(
            CallRecord(
                request_id,
                kind,
                status,
                at_s,
                address,
                start_number,
                intact,
                sent_s,
                cut,
                malformed,
                leaving_server,
                limited_server,
            )
        )
        return status

    def _headers(
        self, request_id: str, keyed: KeyedCall | None
    ) -> dict[str, str]:
        headers = request_headers(HOST, request_id, REQUEST_DEADLINE_S)
        if keyed is not None:
            return headers | key_headers(keyed.period.key)
        return headers | self._site.access_headers(request_id)

    def _key_work(
        self, session: ClientSession
    ) -> list[Coroutine[Any, Any, None]]:
        """Return what changes keys and calls with them, if there are any."""
        if self._site.key_ring is None:
            return []
        return [
            self._change_keys(),
            self._call_keyed(session),
            self._watch_stalls(),
        ]

    async def _watch_stalls(self) -> None:
        """Record when this process, which serves the store, stood still."""
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            await asyncio.sleep(STALL_POLL_S)
            if loop.time() - started_s > STALL_POLL_S + MAX_STALL_S:
                self.stalls.append(
                    FaultPeriod('stall', started_s, loop.time())
                )

    async def _change_keys(self) -> None:
        while True:
            await asyncio.sleep(KEY_CHANGE_S)
            self._site.change_key()

    async def _call_keyed(self, session: ClientSession) -> None:
        """Send calls with keys that change or were taken away."""
        ring, loop = self._site.key_ring, asyncio.get_running_loop()
        assert ring is not None
        for number in itertools.count():
            await asyncio.sleep(KEYED_PAUSE_S)
            address = self._addresses[number % len(self._addresses)]
            request_id = f'keyed-{number}'
            call = KeyedCall(request_id, ring.choose(), loop.time())
            self.keyed_calls.by_id[request_id] = call
            call.status = await self._call_once(
                session,
                'keyed',
                address,
                f'{SHOP}{request_id}',
                request_id,
                keyed=call,
            )
            call.answered_s = loop.time()

    def _start_number(self, address: str) -> int:
        """Return how often the daemon at an address has been started."""
        ip = address.rpartition(':')[0]
        return next((d.starts for d in self._site.daemons if d.ip == ip), -1)

    async def _train(self, session: ClientSession) -> None:
        for step in itertools.count():
            if self.trainer_stopped:
                return
            job = self.make_job(step)
            await self._start_step(session, job, STEP_TIMEOUT_S)
            self.version += 1
            self._site.name_version(self.version)

    async def _submit_small(self, session: ClientSession) -> None:
        """Submit small jobs often, so that daemons that start get some."""
        while not self.trainer_stopped:
            job = self.make_job(next(self._ids), groups=1)
            await self._start_step(session, job, SMALL_JOB_TIMEOUT_S)

    async def _start_step(
        self, session: ClientSession, job: JobRecord, timeout_s: float
    ) -> None:
        """Start a step and wait for its end, at most `timeout_s`."""
        self.jobs.append(job)
        step_run = asyncio.create_task(self._run_step(session, job))
        self._tasks.add(step_run)
        await asyncio.wait([step_run], timeout=timeout_s)

    def make_job(self, step: int, groups: int = GROUPS) -> JobRecord:
        """Create the job of a step with random item identifiers."""
        items = [
            f'i{step}x{n}x{self._rng.randrange(10**6)}'
            for n in range(groups * GROUP_SIZE)
        ]
        oldest = max(self.version - 1, 1)
        return JobRecord(
            f'j{step}x{self._rng.randrange(10**6)}', oldest, items
        )

    async def _submit_harmful(self, session: ClientSession) -> None:
        """Submit jobs with harmful items and end them after their time."""
        while True:
            wanted = await self._site.harmful_items.get()
            job = self.make_job(next(self._ids), groups=2)
            # Items with early crashes are sound; their job must be completed.
            job.harmful = wanted.marker != EARLY_CRASHES
            for position in range(0, len(job.item_ids), wanted.spacing):
                job.item_ids[position] = wanted.marker + job.item_ids[position]
            self.jobs.append(job)
            self._add_task(self._run_harmful(session, job))
            if job.harmful:
                self._add_task(self._end_later(session, job, wanted.for_s))

    async def _submit_extra(self, session: ClientSession) -> None:
        """Submit the jobs of other sizes and headers."""
        while True:
            wanted = await self._site.extra_jobs.get()
            groups = wanted.items // GROUP_SIZE
            job = self.make_job(next(self._ids), groups=groups)
            job.body_bytes = wanted.body_bytes
            job.headers = wanted.headers
            self.jobs.append(job)
            self._add_task(self._run_harmful(session, job))

    def _add_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.add(asyncio.create_task(work))

    async def _run_harmful(
        self, session: ClientSession, job: JobRecord
    ) -> None:
        await self._submit_until_accepted(session, job)
        while job.ended_s == math.inf and job.pending():
            await self._read_results(session, job, len(job.results))
            await asyncio.sleep(MAX_READ_PAUSE_S)

    async def _end_later(
        self, session: ClientSession, job: JobRecord, for_s: float
    ) -> None:
        await asyncio.sleep(for_s)
        await self._end(session, job)

    async def _run_step(self, session: ClientSession, job: JobRecord) -> None:
        await self._submit_until_accepted(session, job)
        while job.pending():
            await self._read_results(session, job, len(job.results))
            if job.results and self._rng.random() < 0.1:
                await self._read_results(session, job, 0)
            await asyncio.sleep(MAX_READ_PAUSE_S * self._rng.random())
        if self._rng.random() < ENDED_SHARE:
            await self._end(session, job)

    async def _submit_until_accepted(
        self, session: ClientSession, job: JobRecord
    ) -> None:
        job.submitted_s = asyncio.get_running_loop().time()
        while not job.accepted and job.ended_s == math.inf:
            job.accepted = await self._submit(session, job)
            job.accepted_s = asyncio.get_running_loop().time()
            await asyncio.sleep(MEAN_PAUSE_S)

    async def _end(self, session: ClientSession, job: JobRecord) -> None:
        """End a job, again and again until a daemon has confirmed it."""
        loop = asyncio.get_running_loop()
        job.ended_s = loop.time()
        while True:
            address = self._rng.choice(self._addresses)
            url = f'http://{address}{job_path(job.job_id)}'
            try:
                async with session.delete(
                    url,
                    headers={'Host': HOST}
                    | self._site.access_headers(job.job_id),
                ) as response:
                    if response.status == 404 and job.accepted:
                        job.unknown_at.append(address)
                    if response.status in (200, 404):
                        job.end_confirmed_s = loop.time()
                        return
            except (ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(MEAN_PAUSE_S)

    async def _read_again(self, session: ClientSession) -> None:
        """Read jobs that have results again from their start."""
        while True:
            await asyncio.sleep(REREAD_PAUSE_S)
            known = [job for job in self.jobs if job.results]
            if known:
                await self._read_results(session, self._rng.choice(known), 0)

    def submission(self, job: JobRecord) -> bytes:
        """Return the request body that submits a job."""
        items = [
            ItemSpec(
                item_id=item_id,
                path=f'{JOBS}{item_id}',
                group=f'g{position // GROUP_SIZE}',
                reward_path=_reward_path(item_id),
                body=job.body(item_id),
                headers=job.headers[position % len(job.headers)],
            )
            for position, item_id in enumerate(job.item_ids)
        ]
        groups = len(items) // GROUP_SIZE
        return submission(HOST, MODEL, job.min_version, groups, items)

    async def _submit(self, session: ClientSession, job: JobRecord) -> bool:
        body = self.submission(job)
        address = self._rng.choice(self._addresses)
        try:
            async with session.post(
                f'http://{address}{JOBS}{job.job_id}',
                data=body,
                headers=request_headers(HOST, job.job_id)
                | self._site.access_headers(job.job_id),
            ) as response:
                await response.read()
                return response.status == 202
        except (ClientError, TimeoutError, OSError):
            return False

    async def _read_results(
        self, session: ClientSession, job: JobRecord, position: int
    ) -> None:
        address = self._rng.choice(self._addresses)
        url = f'http://{address}{results_path(job.job_id, position)}'
        headers = results_headers(HOST, READ_WAIT_S)
        headers |= self._site.access_headers(job.job_id)
        try:
            async with session.get(url, headers=headers) as response:
                data = await response.read()
                age_s = asyncio.get_running_loop().time() - job.submitted_s
                if response.status == 404 and age_s < STATUS_S:
                    job.unknown_at.append(address)
                if response.status != 200:
                    return
        except (ClientError, TimeoutError, OSError):
            return
        page = read_page(data)
        if page is None or page.total != len(job.item_ids):
            job.faults.append(f'{address} sent {data[:60]!r}')
            return
        now_s = asyncio.get_running_loop().time()
        for offset, result in enumerate(page.results):
            index = position + offset
            if index < len(job.results):
                if job.results[index] != result:
                    job.faults.append(f'position {index} changed')
            elif index == len(job.results):
                job.results.append(result)
                job.read_at_s.append(now_s)


def _reward_path(item_id: str) -> str:
    """Return the path of a reward call; those of unscored items fail."""
    name = item_id.removeprefix(UNSCORED)
    if name == item_id:
        return f'{REWARDS}{item_id}'
    marker = '' if content_marker(name) else FAILING
    return f'{REWARDS}{marker}{name}'


def _kept_after_s(number: int, longer: bool) -> float:
    """Return the time after a stop at which a kept connection is used."""
    if not longer:
        return KEPT_FIRST_S + number * KEPT_STEP_S
    if number < len(HOLDING_S):
        return HOLDING_S[number]
    return LONGER_FIRST_S + (number - len(HOLDING_S)) * LONGER_STEP_S

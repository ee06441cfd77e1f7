"""Callers and a trainer of a soak run, and records of their calls."""

import asyncio
import hashlib
import itertools
import random

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import Struct, field

from anvilcove.platform.standin_wire import (
    ItemSpec,
    JobResult,
    lookup_path,
    read_addresses,
    read_page,
    request_headers,
    results_headers,
    results_path,
    submission,
)
from anvilcove.soak.site import (
    CALLERS_PORT,
    EXTRA,
    HOST,
    JOBS,
    LOOKUP_PORT,
    MODEL,
    ONCE,
    REWARDS,
    SHOP,
    LoopbackSite,
)

REQUEST_DEADLINE_S = 2.0
CONNECT_TIMEOUT_S = 0.5
MEAN_PAUSE_S = 0.08
LOOKUP_PERIOD_S = 1.0
STEP_TIMEOUT_S = 2.5
GROUPS, GROUP_SIZE = 4, 4
MAX_READ_PAUSE_S = 0.4
READ_WAIT_S = 0.3


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


class JobRecord(Struct):
    """A batch job of the trainer and the results that it has read."""

    job_id: str
    min_version: int
    item_ids: list[str]
    accepted: bool = False
    results: list[JobResult] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


class Callers:
    """Concurrent callers and the trainer of a run."""

    def __init__(self, site: LoopbackSite, rng: random.Random) -> None:
        """Create callers that send nothing before `run`."""
        self._site = site
        self._rng = rng
        self._ids = itertools.count()
        self._addresses = [f'{d.ip}:{CALLERS_PORT}' for d in site.daemons]
        self.calls: list[CallRecord] = []
        self.jobs: list[JobRecord] = []
        self.version = 1
        self.trainer_stopped = False

    async def run(self) -> None:
        """Send requests and jobs until cancelled."""
        timeout = ClientTimeout(
            total=REQUEST_DEADLINE_S + 1, sock_connect=CONNECT_TIMEOUT_S
        )
        async with ClientSession(timeout=timeout) as session:
            await asyncio.gather(
                self._look_up(session),
                self._call(session, 'safe', SHOP),
                self._call(session, 'safe', SHOP),
                self._call(session, 'once', ONCE),
                self._call(session, 'extra', EXTRA),
                self._train(session),
            )

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
        while True:
            await asyncio.sleep(self._rng.uniform(0, 2 * MEAN_PAUSE_S))
            request_id = f'{kind}-{next(self._ids)}'
            address = self._rng.choice(self._addresses)
            body = request_id.encode() * 3
            digest = hashlib.sha256(body).hexdigest()[:8]
            status, intact, start_number = 0, True, self._start_number(address)
            try:
                async with session.post(
                    f'http://{address}{prefix}{request_id}',
                    data=body,
                    headers=request_headers(
                        HOST, request_id, REQUEST_DEADLINE_S
                    ),
                ) as response:
                    answer = await response.read()
                    status = response.status
                    if status == 200:
                        intact = answer == f'{request_id}:{digest}'.encode()
            except (ClientError, TimeoutError, OSError):
                # Nothing is guaranteed without a response; status stays 0.
                pass
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
                )
            )

    def _start_number(self, address: str) -> int:
        """Return how often the daemon at an address has been started."""
        ip = address.rpartition(':')[0]
        return next((d.starts for d in self._site.daemons if d.ip == ip), -1)

    async def _train(self, session: ClientSession) -> None:
        for step in itertools.count():
            if self.trainer_stopped:
                return
            job = self.make_job(step)
            self.jobs.append(job)
            tasks = [asyncio.create_task(self._run_step(session, job))]
            await asyncio.wait(tasks, timeout=STEP_TIMEOUT_S)
            self.version += 1
            self._site.name_version(self.version)

    def make_job(self, step: int) -> JobRecord:
        """Create the job of a step with random item identifiers."""
        items = [
            f'i{step}x{n}x{self._rng.randrange(10**6)}'
            for n in range(GROUPS * GROUP_SIZE)
        ]
        oldest = max(self.version - 1, 1)
        return JobRecord(
            f'j{step}x{self._rng.randrange(10**6)}', oldest, items
        )

    async def _run_step(self, session: ClientSession, job: JobRecord) -> None:
        while not job.accepted:
            job.accepted = await self._submit(session, job)
            await asyncio.sleep(MEAN_PAUSE_S)
        while len(job.results) < len(job.item_ids):
            await self._read_results(session, job, len(job.results))
            if job.results and self._rng.random() < 0.1:
                await self._read_results(session, job, 0)
            await asyncio.sleep(MAX_READ_PAUSE_S * self._rng.random())

    def submission(self, job: JobRecord) -> bytes:
        """Return the request body that submits a job."""
        items = [
            ItemSpec(
                item_id=item_id,
                path=f'{JOBS}{item_id}',
                group=f'g{position // GROUP_SIZE}',
                reward_path=f'{REWARDS}{item_id}',
            )
            for position, item_id in enumerate(job.item_ids)
        ]
        return submission(HOST, MODEL, job.min_version, GROUPS, items)

    async def _submit(self, session: ClientSession, job: JobRecord) -> bool:
        body = self.submission(job)
        address = self._rng.choice(self._addresses)
        try:
            async with session.post(
                f'http://{address}{JOBS}{job.job_id}',
                data=body,
                headers=request_headers(HOST, job.job_id),
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
        try:
            async with session.get(url, headers=headers) as response:
                data = await response.read()
                if response.status == 404:
                    job.faults.append(f'{address} says it is unknown')
                if response.status != 200:
                    return
        except (ClientError, TimeoutError, OSError):
            return
        page = read_page(data)
        if page is None or page.total != len(job.item_ids):
            job.faults.append(f'{address} sent {data[:60]!r}')
            return
        for offset, result in enumerate(page.results):
            index = position + offset
            if index < len(job.results):
                if job.results[index] != result:
                    job.faults.append(f'position {index} changed')
            elif index == len(job.results):
                job.results.append(result)

"""Callers and a trainer of the soak, and what they saw."""

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

DEADLINE_S = 2.0
CONNECT_S = 0.5
PAUSE_S = 0.08
LOOKUP_S = 1.0
STEP_S = 2.5
GROUPS, GROUP_SIZE = 4, 4
READ_S = 0.4
READ_WAIT_S = 0.3


class Seen(Struct):
    """One answer that a caller got; status 0 stands for none."""

    request_id: str
    kind: str
    status: int
    at_s: float
    daemon: str
    # Which start of the daemon answered, -1 if it ended meanwhile.
    life: int
    intact: bool = True


class JobSeen(Struct):
    """What the trainer has seen of one job."""

    job_id: str
    min_version: int
    item_ids: list[str]
    accepted: bool = False
    results: list[JobResult] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


class Callers:
    """Everyone who talks to the daemons of a run."""

    def __init__(self, site: LoopbackSite, rng: random.Random) -> None:
        """Ask nothing before `run`."""
        self._site = site
        self._rng = rng
        self._ids = itertools.count()
        self._addresses = [f'{d.ip}:{CALLERS_PORT}' for d in site.daemons]
        self.seen: list[Seen] = []
        self.jobs: list[JobSeen] = []
        self.version = 1
        self.trainer_stopped = False

    async def run(self) -> None:
        """Ask until cancelled."""
        timeout = ClientTimeout(total=DEADLINE_S + 1, sock_connect=CONNECT_S)
        async with ClientSession(timeout=timeout) as session:
            await asyncio.gather(
                self._look_up(session),
                self._call(session, 'safe', SHOP),
                self._call(session, 'safe', SHOP),
                self._call(session, 'once', ONCE),
                self._call(session, 'extra', EXTRA),
                self._train(session),
            )

    async def read_all(self, session: ClientSession, job: JobSeen) -> int:
        """Read a job to its end; return the number of its results."""
        while len(job.results) < len(job.item_ids):
            before = len(job.results)
            await self._read(session, job, before)
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
                # Another daemon is asked the next time, as callers do.
                pass
            await asyncio.sleep(LOOKUP_S)

    async def _call(
        self, session: ClientSession, kind: str, prefix: str
    ) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0, 2 * PAUSE_S))
            request_id = f'{kind}-{next(self._ids)}'
            address = self._rng.choice(self._addresses)
            body = request_id.encode() * 3
            digest = hashlib.sha256(body).hexdigest()[:8]
            status, intact, life = 0, True, self._life(address)
            try:
                async with session.post(
                    f'http://{address}{prefix}{request_id}',
                    data=body,
                    headers=request_headers(HOST, request_id, DEADLINE_S),
                ) as response:
                    answer = await response.read()
                    status = response.status
                    if status == 200:
                        intact = answer == f'{request_id}:{digest}'.encode()
            except (ClientError, TimeoutError, OSError):
                # No answer promises nothing; the checks count it as such.
                pass
            at_s = asyncio.get_running_loop().time()
            if life != self._life(address):
                life = -1
            self.seen.append(
                Seen(request_id, kind, status, at_s, address, life, intact)
            )

    def _life(self, address: str) -> int:
        """Return how often the daemon of an address has been started."""
        ip = address.rpartition(':')[0]
        return next((d.starts for d in self._site.daemons if d.ip == ip), -1)

    async def _train(self, session: ClientSession) -> None:
        for step in itertools.count():
            if self.trainer_stopped:
                return
            job = self.make_job(step)
            self.jobs.append(job)
            tasks = [asyncio.create_task(self._step(session, job))]
            await asyncio.wait(tasks, timeout=STEP_S)
            self.version += 1
            self._site.name_version(self.version)

    def make_job(self, step: int) -> JobSeen:
        """Return a job of the next step."""
        items = [
            f'i{step}x{n}x{self._rng.randrange(10**6)}'
            for n in range(GROUPS * GROUP_SIZE)
        ]
        oldest = max(self.version - 1, 1)
        return JobSeen(f'j{step}x{self._rng.randrange(10**6)}', oldest, items)

    async def _step(self, session: ClientSession, job: JobSeen) -> None:
        while not job.accepted:
            job.accepted = await self._submit(session, job)
            await asyncio.sleep(PAUSE_S)
        while len(job.results) < len(job.item_ids):
            await self._read(session, job, len(job.results))
            if job.results and self._rng.random() < 0.1:
                await self._read(session, job, 0)
            await asyncio.sleep(READ_S * self._rng.random())

    def submission(self, job: JobSeen) -> bytes:
        """Return the body that submits a job."""
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

    async def _submit(self, session: ClientSession, job: JobSeen) -> bool:
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

    async def _read(
        self, session: ClientSession, job: JobSeen, position: int
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
            place = position + offset
            if place < len(job.results):
                if job.results[place] != result:
                    job.faults.append(f'position {place} changed')
            elif place == len(job.results):
                job.results.append(result)

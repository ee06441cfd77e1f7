"""Run a site under load and faults and record the results."""

import asyncio
import random
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, TCPConnector
from loguru import logger

from anvilcove.client.caller import Client
from anvilcove.demo.classes import ADVICE, LOOKUP, probe_name
from anvilcove.demo.faults import POISON, FaultInjector
from anvilcove.demo.journals import read_journals
from anvilcove.demo.load import POISON_KEY, Load, open_clients
from anvilcove.demo.records import CallRecord, RunRecord, StopRecord
from anvilcove.demo.site import SHAPES_BY_NAME, Site

LOAD_S = 24.0
LOAD_STOP_TIMEOUT_S = 8.0
LOOKUP_CALLERS = 8
LEDGER_JOBS = 4
TRAINERS = 2
STREAMS = 6
STREAM_TOKENS = 200
ENTRY_TTL_MS = 3_000
REVISIONS_AT_S = (5.0, 11.0, 15.5)
POISON_AT_S = 5.0
POISON_REQUESTS = 6
STOP_AT_S = 14.0
CLIENT_IP = '127.0.0.1'


class Demo:
    """One run of a site under load and faults."""

    def __init__(self, site: str, seed: int, folder: Path) -> None:
        """Plan addresses and settings of the site; nothing is started."""
        self.folder = folder
        self.rng = random.Random(seed)
        self.record = RunRecord()
        self.site = Site(
            SHAPES_BY_NAME[site],
            folder,
            relay=True,
            mixed_speeds=True,
        )
        self.site.timing.entry_ttl_ms = ENTRY_TTL_MS
        self.site.plan()

    async def run(self) -> None:
        """Start the site, run load and faults, and collect the journals."""
        connector = TCPConnector(limit=0, local_addr=(CLIENT_IP, 0))
        async with ClientSession(connector=connector) as session:
            try:
                await self.site.start(session)
                logger.info('site started')
                await self._run_load(session)
            finally:
                await self.site.stop()
        read_journals(self.site, self.record)

    async def _run_load(self, session: ClientSession) -> None:
        load = Load(self.site, session, self.record, self.rng)
        faults = FaultInjector(self.site, session, self.record, self.rng)
        first = self.site.members.hosts[0].address
        await apply_first_revision(load, first)
        names = [f'counter-{i}' for i in range(LOOKUP_CALLERS)]
        # Two clients of each job, so that a posting can be sent to two hosts.
        names += [f'ledger-{i // 2}' for i in range(2 * LEDGER_JOBS)]
        clients = await open_clients(names, load.addresses)
        supervisor = asyncio.create_task(faults.restart_crashed_endpoints())
        tasks = [
            asyncio.create_task(work)
            for work in self._work(load, clients, faults)
        ]
        await asyncio.sleep(LOAD_S)
        load.stopping = True
        done, pending = await asyncio.wait(tasks, timeout=LOAD_STOP_TIMEOUT_S)
        for task in pending:
            task.cancel()
        for task in done:
            if task.exception() is not None:
                logger.error('load task failed: {!r}', task.exception())
                raise task.exception()  # type: ignore[misc]
        faults.stopping = True
        await supervisor
        for client in clients:
            await client.__aexit__(None, None, None)

    def _work(
        self, load: Load, clients: list[Client], faults: FaultInjector
    ) -> list[Coroutine[Any, Any, None]]:
        lookup_clients, ledger_clients = (
            clients[:LOOKUP_CALLERS],
            clients[LOOKUP_CALLERS:],
        )
        work: list[Coroutine[Any, Any, None]] = [faults.run()]
        work += [
            load.lookups(client.settings.caller, client)
            for client in lookup_clients
        ]
        work += [
            load.postings(client.settings.caller, client, second)
            for client, second in zip(
                ledger_clients[::2], ledger_clients[1::2], strict=True
            )
        ]
        work += [load.train(f'trainer-{i}') for i in range(TRAINERS)]
        work += [load.probe(host) for host in self.site.settings_by_host]
        work += [
            load.publish('learner'),
            self._send_poison(load, lookup_clients[0], faults),
            self._apply_revisions(load, faults),
            self._planned_stop(load, faults),
        ]
        return work

    async def _send_poison(
        self, load: Load, client: Client, faults: FaultInjector
    ) -> None:
        """Repeat one request, which crashes each endpoint that runs it."""
        for member in self.site.members.endpoints:
            await faults.enable_poison_crash(member)
        await asyncio.sleep(POISON_AT_S)
        for _ in range(POISON_REQUESTS):
            if load.stopping:
                return
            await load.call(
                client, LOOKUP, {POISON_KEY: POISON}, deadline_ms=1_000
            )
            await asyncio.sleep(0.2)

    async def _apply_revisions(
        self, load: Load, faults: FaultInjector
    ) -> None:
        """Apply declarations at two hosts at once, at each planned time."""
        started = time.time()
        for at_s in REVISIONS_AT_S:
            await asyncio.sleep(max(0.0, started + at_s - time.time()))
            accepted = 0
            while not accepted and not load.stopping:
                free = sorted(
                    set(self.site.settings_by_host) - faults.faulted_hosts
                )
                hosts = self.rng.sample(free, 2)
                revision = self.record.revisions[-1].revision
                accepted = await load.apply_concurrently(hosts, revision)
                await asyncio.sleep(0.3)

    async def _planned_stop(self, load: Load, faults: FaultInjector) -> None:
        """Stop a daemon with SIGTERM while it streams answers."""
        await asyncio.sleep(STOP_AT_S)
        # Avoid the data centre of the partition fault: a partition may break
        # connections, a planned stop must not.
        host = faults.pick_host(avoid=self.site.shape.data_centres[-1])
        address = load.address_by_host[host]
        stop = StopRecord(host=host, signalled_at_s=0.0)
        self.record.stops.append(stop)
        streams = [
            asyncio.create_task(self._stream(load, address, host, stop))
            for _ in range(STREAMS)
        ]
        await asyncio.sleep(0.2)
        stop.signalled_at_s = time.time()
        stopping = asyncio.create_task(self.site.processes.terminate(host))
        await asyncio.gather(*streams)
        stop.exit_status = await stopping

    async def _stream(
        self, load: Load, address: str, host: str, stop: StopRecord
    ) -> None:
        marker = load.next_marker('stream')
        call = CallRecord(
            marker=marker,
            class_name=ADVICE,
            repeatable=True,
            body={'prompt': marker, 'max_tokens': STREAM_TOKENS},
            sent_at_s=time.time(),
            deadline_s=8.0,
            host=host,
        )
        stop.calls.append(call)
        message = {
            'request_id': f'{host}.{marker}',
            'class_name': ADVICE,
            'caller': 'stream',
            'body': call.body,
            'deadline_ms': 8_000,
        }
        try:
            await load.post(address, message, call)
        except (ClientError, OSError, TimeoutError) as error:
            call.connection_lost = True
            call.reason = repr(error)


async def apply_first_revision(load: Load, address: str) -> None:
    """Apply the first revision and give all daemons time to receive it."""
    async with asyncio.timeout(15.0):
        while not await load.apply(address, 0, probe_name(1)):
            await asyncio.sleep(0.2)
    await asyncio.sleep(1.5)

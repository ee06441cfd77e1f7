"""Daemons in one process with stand-ins in memory, on virtual time."""

import asyncio
import random
from contextlib import aclosing

import msgspec
from loguru import logger

from anvilcove.control.desired import (
    JOB,
    SAFE,
    DesiredState,
    EngineDeclaration,
    JobSettings,
    Route,
    Service,
    Target,
)
from anvilcove.control.endpoints import EndpointEntry
from anvilcove.jobs.types import Item, JobSpec, RewardCall
from anvilcove.node.parts import Dependencies, NodeComponents
from anvilcove.ports.engines import GenerationStart
from anvilcove.ports.errors import EndpointError
from anvilcove.ports.store import RowId, RowTransaction, RowWrite
from anvilcove.settings.node import (
    DutySettings,
    NodeBounds,
    NodeListeners,
    NodeSettings,
    StoreSettings,
)
from anvilcove.standins.memory_crashes import MemoryCrashes
from anvilcove.standins.memory_duties import MemoryDuties, MemoryInterface
from anvilcove.standins.memory_engines import (
    MemoryEngine,
    MemoryEngines,
    MemoryServers,
    MemoryStreams,
)
from anvilcove.standins.memory_origins import MemoryOrigins
from anvilcove.standins.memory_permits import MemoryPermits
from anvilcove.standins.memory_store import MemoryStore
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop

HOST = 'h.example'
MODEL = 'm'
# A server that crashed is back after this time, as another start.
CRASH_DOWNTIME_S = 4.0
# Time of day at time 0 of the loop; a multiple of the report window.
EPOCH_S = 1_800_000_000.0
SHOP, REWARDS, JOBS = '/shop/', '/reward/', '/job/'


class MemoryRows:
    """Encoding of operator and endpoint rows as plain structures."""

    operator_table = 'op'
    endpoint_table = 'servers'

    def apply_operator_rows(self, rows, desired, now):
        """Apply a desired state or a named version."""
        for row in rows:
            if row.id.key == 'config':
                desired.apply(
                    msgspec.msgpack.decode(row.value, type=DesiredState), now
                )
            else:
                desired.record_version(MODEL, int(row.value))

    def apply_endpoint_rows(
        self, rows, full_read, registry, now, keep_missing
    ):
        """Apply entries of endpoints."""
        entries = {
            row.id.key: None
            if row.value is None
            else msgspec.msgpack.decode(row.value, type=EndpointEntry)
            for row in rows
        }
        if full_read:
            registry.replace_all(entries, now, keep_missing)
        else:
            registry.apply_changes(entries, now, keep_missing)


class Call:
    """Call of a daemon to an endpoint that may say that it leaves."""

    __slots__ = ('daemon', 'address', 'sent_at_s', 'left_at_s')

    def __init__(self, daemon, address, sent_at_s):
        """Start without an answer."""
        self.daemon = daemon
        self.address = address
        self.sent_at_s = sent_at_s
        self.left_at_s = float('inf')


class RecordedCalls:
    """Clients of services and engines that record the calls of a daemon."""

    def __init__(self, site, name):
        """Record the calls of the daemon of a name in `site.calls`."""
        self._site = site
        self._name = name

    def _begin(self, address):
        call = Call(self._name, address, self._site.loop.time())
        self._site.calls.append(call)
        return call

    def _answered(self, call, report):
        if report is not None and report.leaving:
            call.left_at_s = min(call.left_at_s, self._site.loop.time())

    async def send(self, address, *arguments):
        """Send a request to a service."""
        call = self._begin(address)
        try:
            answer = await self._site.servers.send(address, *arguments)
        except EndpointError as error:
            self._answered(call, error.report)
            raise
        self._answered(call, answer.report)
        return answer

    async def generate(self, address, instance, generation):
        """Stream a generation of an engine."""
        call = self._begin(address)
        stream = self._site.engine_client.generate(
            address, instance, generation
        )
        async with aclosing(stream):
            async for event in stream:
                if isinstance(event, GenerationStart):
                    self._answered(call, event.report)
                yield event

    def __getattr__(self, name):
        """Leave the other calls to the client of the engines."""
        return getattr(self._site.engine_client, name)


class MemoryProbe:
    """Checks of endpoints by one daemon."""

    def __init__(self, site, name):
        """Check from the daemon of a name."""
        self._site = site
        self._name = name

    async def refuses_connections(self, address):
        """Tell whether the endpoint, or a cut of the daemon, refuses."""
        refused = await self._site.crashes.refuses_connections(address)
        return refused or self._name in self._site.cut_names

    async def accepts_connections(self, address):
        """Tell whether a connection can be opened."""
        return not await self.refuses_connections(address)


class MemorySite:
    """A store, engines, services and the daemons that use them."""

    def __init__(self, engines=4, servers=3, slots=12):
        """Build the store, engines and services on a new loop."""
        logger.remove()
        self.models = (MODEL,)
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.store = MemoryStore(self.loop)
        self.engines = [
            MemoryEngine(f'10.0.0.{i}:80', slots) for i in range(engines)
        ]
        self.crashes = MemoryCrashes()
        self.crashes.on_crash = self.on_crash
        self.engine_client = MemoryEngines(self.engines, self.crashes)
        self.servers = MemoryServers(self.crashes)
        self.streams = MemoryStreams(self.crashes)
        # Calls of all daemons to services and engines, streams left out.
        self.calls = []
        self.server_addresses = [f'10.1.0.{i}:80' for i in range(servers)]
        # Software versions of engines and services; others run v1.
        self.software_by_address = {}
        # Services of engines and services other than llm and app.
        self.service_by_address = {}
        # Services with weights of the routes that have several, by name.
        self.split_by_route = {}
        # Wraps the store for the daemon of a name.
        self.wrap_store = lambda name: self.store
        self.daemons = {}
        # Permits of the daemons that can be reached, by peer address.
        self.permits_by_peer = {}
        # Daemons whose connections to all endpoints fail.
        self.cut_names = set()
        # Origins of streams that these daemons remember.
        self.origins_by_peer = {}
        self.clocks = {}
        self.tasks = {}
        # Duties that the daemons have, and the interface that they call.
        self.use_slowness = False
        self.duty_calls = DutySettings()
        self.interface = MemoryInterface(self.loop)
        self.epoch_s = EPOCH_S
        # Error of the time of day of the daemons of these names, in seconds.
        self.wall_error_s = {}
        self.write_operator()
        for engine in self.engines:
            self.write_engine(engine)
        for address in self.server_addresses:
            self.write_server(address)

    def run(self, work):
        """Run a coroutine until it returns."""
        return self.loop.run_until_complete(work)

    def pass_time(self, seconds):
        """Let virtual time pass."""
        self.run(asyncio.sleep(seconds))

    def close(self):
        """Kill every daemon, cancel what is left and close the loop."""
        for name in list(self.tasks):
            self.kill(name)
        pending = asyncio.all_tasks(self.loop)
        for task in pending:
            task.cancel()
        if pending:
            self.run(asyncio.wait(pending))
        self.loop.close()

    def start(self, name, seed=1, nonce=None, origin_s=0.0):
        """Start a daemon, also one that ran before.

        Its clocks are `origin_s` ahead of the loop's.
        """
        clock, lease_clock = LoopClock(self.loop), LoopClock(self.loop)
        clock.ahead_s = lease_clock.ahead_s = origin_s
        self.clocks[name] = lease_clock
        settings = settings_of(name)
        settings.duty_calls = self.duty_calls
        settings.use_slowness = self.use_slowness
        daemon = NodeComponents(
            settings,
            nonce or f'{name}-{seed}',
            Dependencies(
                store=self.wrap_store(name),
                servers=RecordedCalls(self, name),
                streams=self.streams,
                engines=RecordedCalls(self, name),
                probe=MemoryProbe(self, name),
                permits=MemoryPermits(self.permits_by_peer),
                origins=MemoryOrigins(self.origins_by_peer),
                rows=MemoryRows(),
                clock=clock,
                lease_clock=lease_clock,
                rng=random.Random(seed),
                duties=MemoryDuties(self.interface, name),
                wall_time=lambda: self.wall_time(name),
            ),
        )
        self.daemons[name] = daemon
        self.permits_by_peer[f'{name}:2'] = daemon.permits
        self.origins_by_peer[f'{name}:2'] = daemon.origins
        self.tasks[name] = [
            self.loop.create_task(work()) for work in daemon.loops().values()
        ]
        return daemon

    def wall_time(self, name):
        """Return the time of day that a daemon reads."""
        return EPOCH_S + self.loop.time() + self.wall_error_s.get(name, 0.0)

    def kill(self, name):
        """End a daemon without handing anything over."""
        self.permits_by_peer.pop(f'{name}:2', None)
        self.origins_by_peer.pop(f'{name}:2', None)
        for task in self.tasks.pop(name):
            task.cancel()
        for run in list(self.daemons[name].owner.runs.values()):
            run.stop()
        for task in list(self.daemons[name].owner.tasks):
            task.cancel()

    def put(self, table, key, value):
        """Write a row, as a writer other than the daemons."""
        row = RowWrite(RowId(table, '', key), value)
        return self.store.apply(RowTransaction(writes=[row]))

    def remove(self, table, key):
        """Remove a row, as a writer other than the daemons."""
        self.store.apply(RowTransaction(removals=[RowId(table, '', key)]))

    def write_operator(
        self,
        version=1,
        shop_kind=SAFE,
        resumable=False,
        with_jobs=True,
        shop_timeout_s=2.0,
        job_timeout_s=10.0,
        **changes,
    ):
        """Write a desired state; `changes` are fields of the job route."""
        job = {
            'result_objective_s': 7.5,
            'item_lifetime_s': 40.0,
            **changes,
        }
        job_route = route(
            'job',
            JOBS,
            JOB,
            'llm',
            0.4,
            job_timeout_s,
            3,
            JobSettings(**job),
        )
        routes = (
            route(
                'shop',
                SHOP,
                shop_kind,
                'app',
                0.2,
                shop_timeout_s,
                2,
                None,
                resumable,
            ),
            route('reward', REWARDS, SAFE, 'app', 0.5, 2.0, 4),
            *([job_route] if with_jobs else []),
        )
        engine = EngineDeclaration(12, self.models)
        state = DesiredState(
            version=version,
            routes=tuple(map(self.with_targets, routes)),
            services_by_name={
                **{n: Service(n, 100) for n in ('app', 'app-b')},
                **{n: Service(n, 100, engine) for n in ('llm', 'llm-b')},
            },
        )
        self.put('op', 'config', msgspec.msgpack.encode(state))

    def with_targets(self, declared):
        """Return a route with its services and their weights."""
        split = self.split_by_route.get(declared.name)
        if not split:
            return declared
        targets = tuple(Target(name, weight) for name, weight in split)
        return msgspec.structs.replace(declared, targets=targets)

    def name_version(self, version):
        """Name a version that the engines have to load, as a trainer does."""
        self.put('op', 'version', str(version).encode())

    def on_crash(self, address):
        """Let the entry of a server expire and start the server again."""
        self.loop.call_later(3.0, self.remove, 'servers', address)
        self.loop.call_later(CRASH_DOWNTIME_S, self.restart_server, address)

    def restart_server(self, address):
        """Start a server or engine that has crashed."""
        self.crashes.down.discard(address)
        started_ms = round(self.loop.time() * 1000)
        engine = self.engine_client.by_address.get(address)
        if engine is not None:
            self.write_engine(engine, started_ms=started_ms)
        else:
            self.write_server(address, started_ms=started_ms)

    def write_engine(self, engine, draining=False, started_ms=0):
        """Write the entry of an engine."""
        entry = EndpointEntry(
            instance=f'i-{engine.address}',
            started_ms=started_ms,
            service=self.service_by_address.get(engine.address, 'llm'),
            address=engine.address,
            data_centre='dc',
            draining=draining,
            slots=engine.slots,
            version_by_model={MODEL: engine.version},
            software=self.software_by_address.get(engine.address, 'v1'),
        )
        self.put('servers', engine.address, msgspec.msgpack.encode(entry))

    def write_server(self, address, draining=False, started_ms=0):
        """Write the entry of a service that is not an engine."""
        entry = EndpointEntry(
            instance=f'i-{address}',
            started_ms=started_ms,
            service=self.service_by_address.get(address, 'app'),
            address=address,
            data_centre='dc',
            draining=draining,
            slots=6,
            software=self.software_by_address.get(address, 'v1'),
        )
        self.put('servers', address, msgspec.msgpack.encode(entry))

    def announce_versions(self):
        """Write the held version of every engine, as its heartbeats do."""
        for engine in self.engines:
            self.write_engine(engine)


def route(
    name,
    prefix,
    kind,
    service,
    objective_s,
    timeout_s,
    attempts,
    job=None,
    resumable=False,
):
    """Return a route of the desired state with one target."""
    return Route(
        name=name,
        host=HOST,
        prefix=prefix,
        kind=kind,
        timeout_s=timeout_s,
        objective_s=objective_s,
        priority=1,
        targets=(Target(service),),
        max_attempts=attempts,
        resumable=resumable,
        job=job,
    )


def settings_of(name):
    """Return the settings of a daemon."""
    return NodeSettings(
        host=name,
        data_centre='dc',
        region='r',
        ip=f'10.2.0.{len(name)}',
        listeners=NodeListeners(
            callers=f'{name}:1', ready='', lookup='', peers=f'{name}:2'
        ),
        store=StoreSettings('store'),
        bounds=NodeBounds(),
        peer_port=2,
    )


def job_spec(job_id, items=16, group=8, min_version=1):
    """Return a batch job with reward calls."""
    return JobSpec(
        job_id=job_id,
        host=HOST,
        path=JOBS + job_id,
        step=0,
        model=MODEL,
        min_version=min_version,
        target_groups=items // group,
        items=[
            Item(
                item_id=f'{job_id}-{i}',
                path=f'{JOBS}{i}',
                headers={},
                body=f'body {i}'.encode(),
                tokens=10,
                group=f'g{i // group}',
                reward=RewardCall(
                    request_id=f'{job_id}-r{i}',
                    host=HOST,
                    path=REWARDS,
                    headers=[],
                    body=f'{job_id}-r{i}'.encode(),
                ),
                model=MODEL,
            )
            for i in range(items)
        ],
    )

"""Construction of the components of a daemon."""

import asyncio
import random
import time
from collections.abc import Callable
from functools import partial
from math import isfinite

from msgspec import Struct
from msgspec.structs import replace

from anvilcove.control.announcer import Announcer
from anvilcove.control.crashes import ContentCrashes
from anvilcove.control.desired import DesiredStateView, job_targets
from anvilcove.control.duty_board import DutyBoard
from anvilcove.control.duty_context import DutyContext
from anvilcove.control.endpoint_reports import EndpointReports
from anvilcove.control.endpoint_ways import EndpointWays
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.control.failure_detector import FailureDetector
from anvilcove.control.leases import Lease
from anvilcove.control.node_rows import (
    HEARTBEAT_PARTITIONS,
    HEARTBEATS_TABLE,
    NODES_TABLE,
)
from anvilcove.control.node_sweep import NodeSweeper
from anvilcove.control.nodes import NodeDirectory
from anvilcove.control.permits import RatePermits
from anvilcove.control.relay_peers import RelayPeers
from anvilcove.control.share_hints import (
    SHARES_TABLE,
    WorkspaceWeights,
    read_pause_s,
)
from anvilcove.control.stream_origins import StreamOrigins
from anvilcove.control.timed_store import TimedStore
from anvilcove.control.usage_meter import UsageMeter
from anvilcove.control.versions import VersionUpdater
from anvilcove.control.watch import OnGap, OnRows, TableWatch
from anvilcove.control.watch_pace import FOLLOWER_PAUSE_S, WatchPace
from anvilcove.http.client_account import ClientAccount
from anvilcove.jobs.board import JobsView
from anvilcove.jobs.engine_slots import EngineSlots
from anvilcove.jobs.intake import JobIntake
from anvilcove.jobs.item_run import ItemRunner
from anvilcove.jobs.loads import JobLoads
from anvilcove.jobs.owner import JobOwner
from anvilcove.jobs.reader import JobReader
from anvilcove.jobs.records import JOBS_TABLE, PARTITIONS, JobRecords
from anvilcove.jobs.reward_calls import RewardCalls
from anvilcove.jobs.reward_gate import RewardGate
from anvilcove.jobs.sweep import JobSweeper
from anvilcove.node.service import NodeService, NodeState
from anvilcove.ports.duties import DutyPort, NoDuties
from anvilcove.ports.engines import EngineClient
from anvilcove.ports.peers import OriginPort
from anvilcove.ports.permits import PermitPort
from anvilcove.ports.probes import EndpointProbe
from anvilcove.ports.rows import RowReader
from anvilcove.ports.servers import ServerClient
from anvilcove.ports.store import StoredRow, StorePort
from anvilcove.ports.streams import StreamClient
from anvilcove.proxy.forwarder import Forwarder
from anvilcove.proxy.pools import EndpointPools
from anvilcove.proxy.streams import StreamForwarder
from anvilcove.settings.node import USAGE, NodeSettings
from anvilcove.state.background_tasks import BackgroundTasks, Work
from anvilcove.state.clock import Clock
from anvilcove.state.memory_room import MemoryRoom
from anvilcove.state.true_time import TrueTime
from anvilcove.telemetry.metrics import NodeMetrics

# Entries that are found missing within this time after a store outage are
# removed only after a grace period. The time covers the reads that bring the
# table up to date, including a full one.
KEEP_MISSING_S = 0.5
EXPIRY_PERIOD_S = 0.2
# Wait of the store for a change of a job, which bounds the time until an owner
# that renews no row is noticed.
JOBS_LONG_POLL_S = 0.3
# The same for heartbeats: it bounds the time until a lost daemon is noticed.
HEARTBEATS_LONG_POLL_S = 0.3
ORDERS_LEASE = 'versions'


class Dependencies(Struct):
    """External resources that the components use.

    `lease_clock` counts the time for which the host is suspended, `clock`
    does not.
    """

    store: StorePort
    servers: ServerClient
    streams: StreamClient
    engines: EngineClient
    probe: EndpointProbe
    permits: PermitPort
    origins: OriginPort
    rows: RowReader
    clock: Clock
    lease_clock: Clock
    rng: random.Random
    duties: DutyPort = NoDuties()
    # Returns the time of day in seconds since the start of 1970.
    wall_time: Callable[[], float] = time.time


class NodeComponents:
    """Components of a daemon, without its process and listeners."""

    def __init__(
        self, settings: NodeSettings, nonce: str, dependencies: Dependencies
    ) -> None:
        """Build and connect the components; no background task runs yet."""
        self.settings = settings
        self.nonce = nonce
        self.true_time = TrueTime(
            dependencies.lease_clock, dependencies.wall_time
        )
        self._store_back_at_s = lambda: float('-inf')
        if settings.duty_calls.has(USAGE):
            timed = TimedStore(
                dependencies.store, self.true_time, dependencies.lease_clock
            )
            dependencies = replace(dependencies, store=timed)
            self._store_back_at_s = lambda: timed.back_at_s
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._keep_missing_until_s = 0.0
        self.metrics = NodeMetrics()
        self.tasks = BackgroundTasks(
            dependencies.clock, self.metrics.background_task_ended
        )
        self.state = NodeState()
        self.desired = DesiredStateView()
        self.registry = EndpointRegistry()
        self.crashes = ContentCrashes(
            settings,
            self.registry,
            dependencies.probe,
            dependencies.clock,
            self.metrics,
        )
        self.ways = EndpointWays(
            self.registry,
            dependencies.probe,
            dependencies.clock,
            dependencies.rng,
            self.metrics,
        )
        self.crashes.is_cut = self._is_cut
        self.reports = EndpointReports(
            self.registry, dependencies.clock, self.metrics
        )
        self.nodes = NodeDirectory(
            settings, self.crashes, dependencies.clock, nonce
        )
        self.nodes.on_cut = self.ways.check
        self.relay_peers = RelayPeers(
            settings.host,
            self.ways,
            self.nodes,
            self.registry,
            dependencies.clock,
        )
        self.relay_peers.count_call = self.metrics.call_relayed
        self.permits = RatePermits(
            settings,
            self.registry,
            self.nodes,
            dependencies.permits,
            dependencies.clock,
        )
        self.origins = StreamOrigins(
            self.registry, self.nodes, dependencies.origins, dependencies.clock
        )
        self.detector = FailureDetector(
            self.nodes, dependencies.clock, self._holds_orders_lease
        )
        self.jobs_view = JobsView(dependencies.clock)
        self.memory_room = MemoryRoom(settings)
        self._workspaces_known = asyncio.Event()
        self.workspace_weights = WorkspaceWeights(
            self.desired, dependencies.clock
        )
        self.watches = self._build_watches()
        self._set_watch_pace()
        self._build_requests()
        self._build_jobs()
        self._build_control()
        self._build_duties()
        self.account = ClientAccount(
            settings, dependencies.clock, self.metrics
        )
        self.account.reserved_bytes = lambda: self.memory_room.reserved_bytes
        self.memory_room.on_reserved = self.account.enforce
        self.service = NodeService(
            self.state,
            self.desired,
            self.nodes,
            self.forwarder,
            self.streams,
            self.intake,
            self.reader,
            self.account,
            self.memory_room,
            self._is_cut,
            settings.has_workspaces,
            self.metrics,
            dependencies.clock,
            dependencies.rng,
        )

    def loops(self) -> dict[str, Work]:
        """Return what runs in the background, by name."""
        return {
            **{
                f'watch {table}': watch.run
                for table, watch in self.watches.items()
                if table != 'shares'
            },
            'watch shares': self._watch_shares,
            'announcer': self.announcer.run,
            'orders lease': self.lease.run,
            'version updater': self.version_updater.run,
            'engine slots': self.slots.run,
            'job owner': self.owner.run,
            'job sweeper': self.sweeper.run,
            'failure detector': self.detector.run,
            'node sweeper': self.node_sweeper.run,
            'content crashes': self.crashes.run,
            'endpoint ways': self.ways.run,
            'endpoint expiry': self._expire_endpoints,
            **self.duties.loops(),
            **self._usage_loops(),
        }

    def _usage_loops(self) -> dict[str, Work]:
        if not self.settings.duty_calls.has(USAGE):
            return {}
        return {'usage meter': self.meter.run}

    async def hand_over(self) -> None:
        """Announce the departure; release the lease and hand over jobs."""
        await asyncio.gather(
            self.announcer.leave(),
            self.lease.release(),
            self.owner.close(),
            self.duties.release(),
        )

    def _build_watches(self) -> dict[str, TableWatch]:
        dependencies, rows = self._dependencies, self._dependencies.rows

        def watch(
            table: str,
            partitions: list[str],
            on_rows: OnRows,
            on_gap: OnGap = None,
        ) -> TableWatch:
            built = TableWatch(
                table,
                partitions,
                dependencies.store,
                dependencies.clock,
                dependencies.rng,
                on_rows,
                on_gap,
            )
            built.on_skipped = partial(self.metrics.rows_skipped, table)
            return built

        return {
            'operator': watch(
                rows.operator_table, [''], self._on_operator_rows
            ),
            'endpoints': watch(
                rows.endpoint_table,
                [''],
                self._on_endpoint_rows,
                self._on_endpoint_gap,
            ),
            'nodes': watch(
                NODES_TABLE,
                [''],
                self.nodes.on_rows,
                self.nodes.reset_heartbeat_timers,
            ),
            'heartbeats': watch(
                HEARTBEATS_TABLE,
                HEARTBEAT_PARTITIONS,
                self.detector.on_rows,
                self.detector.reset,
            ),
            'jobs': watch(
                JOBS_TABLE,
                PARTITIONS,
                self.jobs_view.on_rows,
                self.jobs_view.on_store_outage,
            ),
            'shares': watch(
                SHARES_TABLE, [''], self.workspace_weights.on_rows
            ),
        }

    def _set_watch_pace(self) -> None:
        self.pace = pace = WatchPace(
            self.settings, self.nodes, self._holds_orders_lease
        )
        pace.has_job_work = self._has_job_work
        watches = self.watches
        nodes_watch, jobs_watch = watches['nodes'], watches['jobs']
        heartbeats_watch = watches['heartbeats']
        watches['operator'].pause_s = pace.operator_pause_s
        watches['endpoints'].pause_s = pace.endpoints_pause_s
        jobs_watch.pause_s = pace.jobs_pause_s
        jobs_watch.long_poll_s = JOBS_LONG_POLL_S
        nodes_watch.pause_s = lambda: FOLLOWER_PAUSE_S
        heartbeats_watch.is_needed = pace.is_standby
        watches['shares'].is_needed = self.workspace_weights.enabled
        watches['shares'].pause_s = lambda: read_pause_s(
            len(self.nodes.by_host)
        )
        heartbeats_watch.long_poll_s = HEARTBEATS_LONG_POLL_S
        self.origins.registry_age_s = watches['endpoints'].age_s
        self.nodes.rows_read_at = lambda: nodes_watch.answered_at_s
        self.detector.rows_read_at = lambda: heartbeats_watch.answered_at_s
        self.jobs_view.observed_s = lambda: jobs_watch.observed_s
        self.jobs_view.on_wait = jobs_watch.wake

    def _has_job_work(self) -> bool:
        return bool(self.owner.runs) or self.jobs_view.awaited

    def _build_requests(self) -> None:
        dependencies = self._dependencies
        self.pools = EndpointPools(
            self.settings,
            self.registry,
            dependencies.clock,
            dependencies.rng,
            self.metrics,
            self.permits,
            self.workspace_weights,
        )
        self.forwarder = Forwarder(
            self.settings,
            self.pools,
            dependencies.servers,
            self.crashes,
            self.reports,
            dependencies.clock,
            dependencies.rng,
            self.metrics,
            self._log_context,
        )
        self.forwarder.uses_slowness = self.settings.use_slowness

        self.streams = StreamForwarder(
            self.pools,
            dependencies.streams,
            self.crashes,
            self.reports,
            self.origins,
            dependencies.clock,
            dependencies.rng,
            self.metrics,
        )

    def _build_jobs(self) -> None:
        dependencies = self._dependencies
        records = JobRecords(dependencies.store)
        watch = self.watches['jobs']
        self.slots = EngineSlots(
            self.registry,
            dependencies.clock,
            dependencies.rng,
            self.permits,
            self.workspace_weights,
        )
        rewards = RewardCalls(
            self.forwarder,
            self.desired,
            RewardGate(self.registry, self.workspace_weights),
            self.crashes,
            dependencies.clock,
            dependencies.rng,
        )
        self.item_runner = runner = ItemRunner(
            self.slots,
            dependencies.engines,
            self.desired,
            rewards,
            self.crashes,
            self.reports,
            dependencies.clock,
            dependencies.rng,
        )
        runner.uses_slowness = self.settings.use_slowness
        self.owner = JobOwner(
            self.settings,
            self.nonce,
            records,
            self.jobs_view,
            watch,
            self.nodes,
            self.desired,
            runner,
            self.metrics,
            dependencies.clock,
            dependencies.rng,
            self._holds_orders_lease,
            self.memory_room,
        )
        self.intake = JobIntake(
            self.settings,
            self.nonce,
            records,
            self.jobs_view,
            watch,
            self.nodes,
            self.owner,
            self.metrics,
            dependencies.clock,
            dependencies.rng,
            self._holds_orders_lease,
        )
        self.reader = JobReader(
            records,
            self.jobs_view,
            watch,
            dependencies.clock,
            self.memory_room,
        )
        self.sweeper = JobSweeper(
            self.settings.bounds,
            records,
            self.jobs_view,
            self.metrics,
            dependencies.clock,
            self._holds_orders_lease,
        )

    def _build_control(self) -> None:
        dependencies, settings = self._dependencies, self.settings
        self.announcer = Announcer(
            settings,
            self.nonce,
            dependencies.store,
            self.crashes,
            self.nodes,
            dependencies.clock,
            self._holds_orders_lease,
            self._desired_state,
            self._is_cut,
        )
        self.ways.on_change = self.announcer.announce_soon
        self.crashes.on_change = self.announcer.announce_soon
        self.detector.on_change = self.announcer.announce_soon
        self.node_sweeper = NodeSweeper(
            self.detector,
            dependencies.store,
            dependencies.clock,
            self._holds_orders_lease,
        )
        self.lease = Lease(
            ORDERS_LEASE,
            settings.host,
            self.nonce,
            settings.bounds.lease_s,
            dependencies.store,
            dependencies.lease_clock,
            dependencies.rng,
        )
        self.lease.get_rank = self.nodes.takeover_rank
        self.lease.may_hold = self._can_give_orders
        self.version_updater = VersionUpdater(
            settings.host,
            self.lease,
            self.desired,
            self.registry,
            dependencies.engines,
            dependencies.clock,
            self.slots,
            self.jobs_view.tokens_of_model,
        )

    def _build_duties(self) -> None:
        dependencies, settings = self._dependencies, self.settings
        self.meter = UsageMeter(
            settings,
            self.nonce,
            dependencies.store,
            dependencies.clock,
            self.true_time,
        )
        self.duties = DutyBoard(
            DutyContext(
                settings,
                self.nonce,
                dependencies.store,
                dependencies.duties,
                self.nodes,
                self.desired,
                self.registry,
                self.true_time,
                dependencies.clock,
                dependencies.lease_clock,
                dependencies.rng,
                self.metrics,
                JobLoads(self.jobs_view, self.desired),
                self.watches['endpoints'].age_s,
                self._store_back_at_s,
            )
        )
        if not self.duties.all():
            return
        self.announcer.unable_duties = self.duties.unable
        for duty in self.duties.all():
            duty.on_change = self.announcer.announce_soon
        if settings.duty_calls.has(USAGE):
            self.announcer.wall_offset_ms = self.true_time.offset_ms
            self.true_time.other_offsets_ms = self.nodes.wall_offsets_ms
            self.meter.host_count = lambda: len(self.nodes.by_host)
            self.meter.state_version = lambda: self._desired_state()[0]
            for part in (self.forwarder, self.streams, self.item_runner):
                part.usage = self.meter

    def _log_context(self) -> dict[str, float | str]:
        """Return version and age of the state that decisions are based on."""
        version, age_s = self._desired_state()
        context: dict[str, float | str] = {
            'config': version,
            'config_age_ms': round(age_s * 1000),
        }
        endpoints_age_s = self.watches['endpoints'].age_s()
        # The age is infinite before the first read.
        if isfinite(endpoints_age_s):
            context['endpoints_age_ms'] = round(endpoints_age_s * 1000)
        return context

    def _desired_state(self) -> tuple[int, float]:
        """Return the current version and seconds since it was confirmed."""
        current = self.desired.current
        if current is None:
            return 0, 0.0
        return current.version, self.watches['operator'].age_s()

    def _holds_orders_lease(self) -> bool:
        return self.lease.fence() is not None

    def _is_cut(self) -> bool:
        return self.ways.is_cut

    def _can_give_orders(self) -> bool:
        """Tell whether orders reach engines from here, or from nowhere."""
        return not self.ways.is_cut or not self.nodes.endpoints_reached()

    async def _expire_endpoints(self) -> None:
        while True:
            await self._clock.sleep(EXPIRY_PERIOD_S)
            self.registry.expire(self._clock.now())

    async def _watch_shares(self) -> None:
        """Follow the shares once there are workspaces, without polling."""
        await self._workspaces_known.wait()
        await self.watches['shares'].run()

    def _on_operator_rows(
        self, rows: list[StoredRow], full_read: bool
    ) -> None:
        before = self.desired.current
        self._dependencies.rows.apply_operator_rows(
            rows, self.desired, self._clock.now()
        )
        current = self.desired.current
        if before and current and job_targets(before) != job_targets(current):
            self.slots.ask_again()
        if self.workspace_weights.enabled():
            self._workspaces_known.set()

    def _on_endpoint_gap(self) -> None:
        # Rows may have expired meanwhile because their endpoints could not
        # renew them; live endpoints will write them again.
        self._keep_missing_until_s = self._clock.now() + KEEP_MISSING_S

    def _on_endpoint_rows(
        self, rows: list[StoredRow], full_read: bool
    ) -> None:
        now = self._clock.now()
        self._dependencies.rows.apply_endpoint_rows(
            rows,
            full_read,
            self.registry,
            now,
            now < self._keep_missing_until_s,
        )

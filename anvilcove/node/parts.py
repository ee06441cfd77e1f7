"""The parts of a daemon and how they are connected."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

from msgspec import Struct

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.control.leases import Lease
from anvilcove.control.nodes import NODES_TABLE, Announcer, NodeDirectory
from anvilcove.control.versions import VersionRoller
from anvilcove.control.watch import OnGap, OnRows, TableWatch
from anvilcove.jobs.board import JobBoard
from anvilcove.jobs.engine_slots import EngineSlots
from anvilcove.jobs.intake import JobIntake
from anvilcove.jobs.item_run import ItemRunner
from anvilcove.jobs.owner import JobOwner
from anvilcove.jobs.reader import JobReader
from anvilcove.jobs.records import JOBS_TABLE, PARTS, JobRecords
from anvilcove.jobs.reward_calls import RewardCalls
from anvilcove.jobs.reward_gate import RewardGate
from anvilcove.jobs.sweep import JobSweeper
from anvilcove.node.service import NodeService, NodeState
from anvilcove.ports.engines import EngineClient
from anvilcove.ports.rows import RowReader
from anvilcove.ports.servers import ServerClient
from anvilcove.ports.store import StoredRow, StorePort
from anvilcove.ports.streams import StreamClient
from anvilcove.proxy.forwarder import Forwarder
from anvilcove.proxy.pools import EndpointPools
from anvilcove.proxy.streams import StreamForwarder
from anvilcove.settings.node import NodeSettings
from anvilcove.state.clock import Clock
from anvilcove.telemetry.metrics import NodeMetrics

# After the store was away, entries that are missing are held back until the
# whole table has been read again.
LAPSE_S = 0.5
EXPIRE_S = 0.2
ORDERS_LEASE = 'versions'


class Outside(Struct):
    """What the parts use of the world.

    `lease_clock` counts the time of a suspension, `clock` does not.
    """

    store: StorePort
    servers: ServerClient
    streams: StreamClient
    engines: EngineClient
    rows: RowReader
    clock: Clock
    lease_clock: Clock
    rng: random.Random


class NodeParts:
    """Everything of a daemon but its process and its listeners."""

    def __init__(
        self, settings: NodeSettings, nonce: str, outside: Outside
    ) -> None:
        """Connect the parts; no loop runs yet."""
        self.settings = settings
        self.nonce = nonce
        self._outside = outside
        self._clock = outside.clock
        self._held_until_s = 0.0
        self.metrics = NodeMetrics()
        self.state = NodeState()
        self.desired = DesiredStateView()
        self.registry = EndpointRegistry()
        self.nodes = NodeDirectory(settings, outside.clock, nonce)
        self.board = JobBoard(outside.clock)
        self.watches = self._build_watches()
        nodes_watch = self.watches['nodes']
        self.nodes.known_at = lambda: nodes_watch.answered_at_s
        self._build_requests()
        self._build_jobs()
        self._build_control()
        self.service = NodeService(
            self.state,
            self.desired,
            self.nodes,
            self.forwarder,
            self.streams,
            self.intake,
            self.reader,
            outside.clock,
            outside.rng,
        )

    def loops(self) -> list[Coroutine[Any, Any, None]]:
        """Return the loops that keep the daemon going."""
        return [
            *(watch.run() for watch in self.watches.values()),
            self.announcer.run(),
            self.lease.run(),
            self.roller.run(),
            self.slots.run(),
            self.owner.run(),
            self.sweeper.run(),
            self._expire_endpoints(),
        ]

    async def hand_over(self) -> None:
        """Give back everything that other daemons may take on."""
        await asyncio.gather(
            self.announcer.leave(), self.lease.release(), self.owner.close()
        )

    def _build_watches(self) -> dict[str, TableWatch]:
        outside, rows = self._outside, self._outside.rows

        def watch(
            table: str, parts: list[str], on_rows: OnRows, gap: OnGap = None
        ) -> TableWatch:
            return TableWatch(
                table,
                parts,
                outside.store,
                outside.clock,
                outside.rng,
                on_rows,
                gap,
            )

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
                self.nodes.store_was_away,
            ),
            'jobs': watch(
                JOBS_TABLE,
                PARTS,
                self.board.on_rows,
                self.board.store_was_away,
            ),
        }

    def _build_requests(self) -> None:
        outside = self._outside
        self.pools = EndpointPools(
            self.settings,
            self.registry,
            outside.clock,
            outside.rng,
            self.metrics,
        )
        self.forwarder = Forwarder(
            self.settings,
            self.pools,
            outside.servers,
            outside.clock,
            outside.rng,
            self.metrics,
            self._knowledge,
        )

        self.streams = StreamForwarder(
            self.pools, outside.streams, outside.clock, outside.rng
        )

    def _build_jobs(self) -> None:
        outside = self._outside
        records = JobRecords(outside.store)
        watch = self.watches['jobs']
        self.slots = EngineSlots(self.registry, outside.clock, outside.rng)
        rewards = RewardCalls(
            self.forwarder,
            self.desired,
            RewardGate(self.registry),
            outside.clock,
            outside.rng,
        )
        runner = ItemRunner(
            self.slots,
            outside.engines,
            self.desired,
            rewards,
            outside.clock,
            outside.rng,
        )
        self.owner = JobOwner(
            self.settings,
            self.nonce,
            records,
            self.board,
            watch,
            self.nodes,
            self.desired,
            runner,
            self.metrics,
            outside.clock,
            outside.rng,
            self._gives_orders,
        )
        self.intake = JobIntake(
            self.settings,
            self.nonce,
            records,
            self.board,
            watch,
            self.nodes,
            self.owner,
            self.metrics,
            outside.clock,
            outside.rng,
            self._gives_orders,
        )
        self.reader = JobReader(records, self.board, watch, outside.clock)
        self.sweeper = JobSweeper(
            self.settings.bounds,
            records,
            self.board,
            watch,
            self.metrics,
            outside.clock,
            self._gives_orders,
        )

    def _build_control(self) -> None:
        outside, settings = self._outside, self.settings
        self.announcer = Announcer(
            settings,
            self.nonce,
            outside.store,
            outside.clock,
            self._gives_orders,
            self._desired_state,
        )
        self.lease = Lease(
            ORDERS_LEASE,
            settings.host,
            self.nonce,
            settings.bounds.lease_s,
            outside.store,
            outside.lease_clock,
            outside.rng,
        )
        self.lease.rank = self.nodes.succession_rank
        self.roller = VersionRoller(
            settings.host,
            self.lease,
            self.desired,
            self.registry,
            outside.engines,
            outside.clock,
            self.slots,
            self.board.work_of,
        )

    def _knowledge(self) -> dict[str, float]:
        """Return version and age of what decisions rest on, for the log."""
        version, age_s = self._desired_state()
        return {
            'config': version,
            'config_age_ms': round(age_s * 1000),
            'endpoints_age_ms': round(
                self.watches['endpoints'].age_s() * 1000
            ),
        }

    def _desired_state(self) -> tuple[int, float]:
        """Return the version in force and the age of that knowledge."""
        current = self.desired.current
        if current is None:
            return 0, 0.0
        return current.version, self.watches['operator'].age_s()

    def _gives_orders(self) -> bool:
        return self.lease.fence() is not None

    async def _expire_endpoints(self) -> None:
        while True:
            await self._clock.sleep(EXPIRE_S)
            self.registry.expire(self._clock.now())

    def _on_operator_rows(self, rows: list[StoredRow], whole: bool) -> None:
        self._outside.rows.apply_operator_rows(
            rows, self.desired, self._clock.now()
        )

    def _on_endpoint_gap(self) -> None:
        # Entries that lapsed meanwhile are kept for a while: they come back
        # if their endpoints live.
        self._held_until_s = self._clock.now() + LAPSE_S

    def _on_endpoint_rows(self, rows: list[StoredRow], whole: bool) -> None:
        now = self._clock.now()
        self._outside.rows.apply_endpoint_rows(
            rows, whole, self.registry, now, now < self._held_until_s
        )

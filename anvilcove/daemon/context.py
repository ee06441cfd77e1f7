"""State and services that the components of a daemon share."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

from aiohttp import ClientSession, web
from xxhash import xxh3_64_intdigest

from anvilcove.daemon.control_traffic import run_metered
from anvilcove.daemon.counted_table import CountedTable
from anvilcove.daemon.decision_log import DecisionLog
from anvilcove.daemon.logs import LogSink
from anvilcove.daemon.merged_reads import MergedReads
from anvilcove.daemon.metrics import Metrics
from anvilcove.decisions.registry import policy_class
from anvilcove.ports.registry import adapter_class
from anvilcove.settings.daemon import DaemonSettings
from anvilcove.state.background_tasks import BackgroundTasks, Work
from anvilcove.state.clock import Clock, seconds_until_tick
from anvilcove.state.config import ConfigState
from anvilcove.state.confirmation import Confirmation
from anvilcove.state.endpoints import EndpointState, EndpointView
from anvilcove.state.peers import PeerTable


class Context:
    """Settings, clock, state, ports and policies of one daemon."""

    __slots__ = (
        'settings',
        'clock',
        'rng',
        'session',
        'control_session',
        'metrics',
        'logs',
        'stop',
        'config',
        'endpoints',
        'peers',
        'decisions',
        'ports',
        'policies',
        'components',
        'confirmation',
        'draining',
        'closes_at_s',
        'in_flight',
        'newest_versions',
        'recorder',
        'tasks',
        '_endpoint_ports',
    )

    def __init__(
        self,
        settings: DaemonSettings,
        clock: Clock,
        rng: random.Random,
        session: ClientSession,
        control_session: ClientSession | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        """Build the state and the ports from the settings."""
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.session = session
        # Session of the control loops, whose traffic is counted.
        self.control_session = control_session or session
        self.metrics = metrics or Metrics()
        self.logs: LogSink | None = None
        # Set to start a graceful shutdown.
        self.stop = asyncio.Event()
        self.config = ConfigState()
        self.endpoints = EndpointView()
        self.peers = PeerTable(settings.host)
        self.decisions = DecisionLog(settings)
        self.ports = self._platform_ports()
        self.policies: dict[str, Any] = {}
        self.components: dict[type[Any], Any] = {}
        self.confirmation = Confirmation(
            settings.timing.confirm_window_ms / 1000,
            self.config,
            self.peers,
            clock.now(),
        )
        self.tasks = BackgroundTasks(clock, self.metrics.background_task_ended)
        self.draining = False
        # Time on the clock at which a draining daemon cuts requests.
        self.closes_at_s = float('inf')
        # Number of requests that the listener is serving, without control
        # calls of peers.
        self.in_flight = 0
        self.newest_versions: dict[str, int] = {}
        self.recorder: Any = None
        self._endpoint_ports: dict[tuple[str, str, bool], Any] = {}

    def _platform_ports(self) -> dict[str, Any]:
        """Build the platform ports.

        `control_table` is the table port of the control loops; their traffic
        is counted and their reads are merged.
        """
        platform = self.settings.platform
        data, control = self.session, self.control_session
        ports = {
            name: adapter_class(port, adapter.kind)(adapter, session)
            for name, port, adapter, session in (
                ('table', 'table', platform.table, data),
                ('control_table', 'table', platform.table, control),
                ('objects', 'objects', platform.objects, data),
                ('weights', 'weights', platform.weights, control),
                ('membership', 'membership', platform.membership, control),
            )
        }
        for name in ('table', 'control_table'):
            ports[name] = CountedTable(ports[name], self.metrics)
        ports['control_table'] = MergedReads(ports['control_table'])
        return ports

    async def sleep_until_tick(self, period_s: float) -> None:
        """Sleep until the next tick of a period.

        Ticks have a phase derived from the host name, so that daemons do not
        wake up together and loops of one daemon do.
        """
        phase = xxh3_64_intdigest(self.settings.host.encode()) / 2**64
        now = self.clock.now()
        await self.clock.sleep(seconds_until_tick(now, period_s, phase))

    def policy(self, topic: str) -> Any:
        """Return the policy that the settings name for a topic.

        Each daemon has one instance by topic, created on first use.
        """
        if topic not in self.policies:
            name = getattr(self.settings.policies, topic)
            built = policy_class(topic, name)(self.settings)
            self.policies[topic] = self._with_recorder(topic, built)
        return self.policies[topic]

    def _with_recorder(self, topic: str, built: Any) -> Any:
        """Wrap a policy in a recorder if the settings name a trace file."""
        if not self.settings.recorder_file:
            return built
        from anvilcove.replay.recorder import METHODS, RecordedPolicy, Recorder

        if topic not in METHODS:
            return built
        if self.recorder is None:
            self.recorder = Recorder(self.settings)
        return RecordedPolicy(topic, built, self.recorder, self.settings)

    def refusal_reason(self) -> str:
        """Return why new work must be refused, or an empty string."""
        return self.confirmation.refusal_reason(self.clock.now())

    def record_version(self, model: str, version: int) -> None:
        """Store the weight version of a model if it is the newest so far."""
        if version > self.newest_versions.get(model, 0):
            self.newest_versions[model] = version

    def component(self, component_type: type[Any]) -> Any:
        """Return a component of the daemon, created on first use."""
        if component_type not in self.components:
            self.components[component_type] = component_type(self)
        return self.components[component_type]

    def endpoint_port(
        self, state: EndpointState, control: bool = False
    ) -> Any:
        """Return the adapter of an endpoint, created on first use.

        With `control`, its traffic is counted as control traffic.
        """
        key = (state.kind, state.address, control)
        if key not in self._endpoint_ports:
            kinds = {
                'engine': self.settings.platform.engine_kind,
                'service': self.settings.platform.service_kind,
            }
            cls = adapter_class(state.kind, kinds[state.kind])
            session = self.control_session if control else self.session
            self._endpoint_ports[key] = cls(state.address, session)
        return self._endpoint_ports[key]

    def control_task(
        self, work: Coroutine[Any, Any, None]
    ) -> 'asyncio.Task[None]':
        """Start a short task of a control loop and count its CPU time."""
        return asyncio.create_task(run_metered(work, self.metrics))

    def keep(self, name: str, work: Work, control: bool) -> None:
        """Run a task until the daemon stops.

        With `control`, it counts as a control loop and its CPU time is
        measured.
        """
        if control:
            self.tasks.keep(name, lambda: run_metered(work(), self.metrics))
        else:
            self.tasks.keep(name, work)


class Component:
    """Base class of the components of a daemon.

    A component has routes, background tasks and a drain step for the shutdown.
    With `control` set, its tasks count as control loops and their CPU time
    is measured.
    """

    control = False

    def __init__(self, context: Context) -> None:
        """Store the context of the daemon."""
        self.context = context

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that this component serves."""
        return []

    def tasks(self) -> list[Work]:
        """Return the functions whose coroutines run until the daemon stops."""
        return []

    async def drain(self) -> None:
        """Finish or hand over what is in progress."""

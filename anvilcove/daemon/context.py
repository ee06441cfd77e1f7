"""Objects that the parts of one daemon share."""

import random
from collections.abc import Coroutine
from typing import Any

from aiohttp import ClientSession, web

from anvilcove.daemon.decision_log import DecisionLog
from anvilcove.decisions.registry import policy_class
from anvilcove.platform.registry import adapter_class
from anvilcove.settings.daemon import DaemonSettings
from anvilcove.state.clock import Clock
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
        'config',
        'endpoints',
        'peers',
        'decisions',
        'ports',
        'policies',
        'parts',
        'confirmation',
        'draining',
        'newest_versions',
        '_endpoint_ports',
    )

    def __init__(
        self,
        settings: DaemonSettings,
        clock: Clock,
        rng: random.Random,
        session: ClientSession,
    ) -> None:
        """Build state, ports and policies from the settings."""
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.session = session
        self.config = ConfigState()
        self.endpoints = EndpointView()
        self.peers = PeerTable(settings.host)
        self.decisions = DecisionLog(settings)
        self.ports = {
            name: adapter_class(name, adapter.kind)(adapter, session)
            for name, adapter in (
                ('table', settings.platform.table),
                ('objects', settings.platform.objects),
                ('weights', settings.platform.weights),
                ('membership', settings.platform.membership),
            )
        }
        self.policies: dict[str, Any] = {}
        self.parts: dict[type[Any], Any] = {}
        self.confirmation = Confirmation(
            settings.timing.confirm_window_ms / 1000, self.config, self.peers
        )
        self.draining = False
        self.newest_versions: dict[str, int] = {}
        self._endpoint_ports: dict[tuple[str, str], Any] = {}

    def policy(self, topic: str) -> Any:
        """Return this daemon's instance of a policy, built on first use."""
        if topic not in self.policies:
            name = getattr(self.settings.policies, topic)
            self.policies[topic] = policy_class(topic, name)(self.settings)
        return self.policies[topic]

    def refusal_reason(self) -> str:
        """Return why no new work may be taken, or an empty string."""
        return self.confirmation.problem(self.clock.now())

    def load(self) -> int:
        """Return the attempts in flight through this daemon."""
        return sum(s.in_flight for s in self.endpoints.by_id.values())

    def note_version(self, model: str, version: int) -> None:
        """Remember the newest published weight version of a model."""
        if version > self.newest_versions.get(model, 0):
            self.newest_versions[model] = version

    def part(self, kind: type[Any]) -> Any:
        """Return the daemon's instance of a part, built on first use."""
        if kind not in self.parts:
            self.parts[kind] = kind(self)
        return self.parts[kind]

    def endpoint_port(self, state: EndpointState) -> Any:
        """Return the adapter of an endpoint, built on first use."""
        key = (state.kind, state.address)
        if key not in self._endpoint_ports:
            kinds = {
                'engine': self.settings.platform.engine_kind,
                'service': self.settings.platform.service_kind,
            }
            cls = adapter_class(state.kind, kinds[state.kind])
            self._endpoint_ports[key] = cls(state.address, self.session)
        return self._endpoint_ports[key]


class Part:
    """A feature of the daemon: routes, background tasks and drain."""

    def __init__(self, context: Context) -> None:
        """Keep the shared objects."""
        self.context = context

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that this part serves."""
        return []

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that run until the daemon stops."""
        return []

    async def drain(self) -> None:
        """Finish or hand over what is in progress."""

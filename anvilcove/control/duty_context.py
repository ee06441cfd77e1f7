"""What duties and their work are built from."""

import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from msgspec import Struct

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.control.nodes import NodeDirectory
from anvilcove.decisions.service_demand import JobLoad
from anvilcove.ports.duties import DutyPort
from anvilcove.ports.store import StorePort
from anvilcove.settings.node import NodeSettings
from anvilcove.state.clock import Clock
from anvilcove.state.true_time import TrueTime
from anvilcove.telemetry.metrics import NodeMetrics


class DutyWork(Protocol):
    """What a daemon does for a duty while it holds it."""

    def run(self) -> Coroutine[Any, Any, None]:
        """Return the work while the duty is held, without end."""


class JobLoadSource(Protocol):
    """Loads of the batch jobs that this daemon knows."""

    def by_service(self) -> dict[str, list[JobLoad]]:
        """Return the recent or open jobs of each service."""

    def models_in_use(self) -> set[str]:
        """Return the models of the open jobs."""


class DutyContext(Struct):
    """What the work of duties uses.

    `lease_clock` counts the time for which the host is suspended.
    """

    settings: NodeSettings
    nonce: str
    store: StorePort
    port: DutyPort
    nodes: NodeDirectory
    desired: DesiredStateView
    registry: EndpointRegistry
    true_time: TrueTime
    clock: Clock
    lease_clock: Clock
    rng: random.Random
    metrics: NodeMetrics
    job_loads: JobLoadSource
    # Returns the age of what is known of the endpoints, in seconds.
    endpoints_age_s: Callable[[], float]
    # Returns when the last outage of the store ended, on `lease_clock`.
    store_back_at_s: Callable[[], float] = lambda: float('-inf')

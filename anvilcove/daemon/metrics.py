"""Metrics of one daemon in the Prometheus text format."""

from typing import Any

from aiohttp import web
from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from anvilcove.messages.callers import ANSWERED
from anvilcove.telemetry.workspace_labels import WorkspaceLabels

CONTROL_PATHS = ('/peer/gossip', '/peer/announce', '/peer/config')
LATENCY_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 10.0, 60.0]
STALENESS_BUCKETS = [0.0, 1.0, 2.0, 4.0, 8.0]
# Policies may return any text as a reason, so the number of label values is
# bounded.
MAX_REASONS = 32
OTHER_REASON = 'other'


def is_control_path(path: str) -> bool:
    """Return whether calls of a path are control traffic."""
    return path in CONTROL_PATHS


class Metrics:
    """Metrics that the components of a daemon update."""

    def __init__(self) -> None:
        """Register the metrics with all counters at zero."""
        self.registry = Registry()
        self._reasons: set[str] = set()
        self._finished = self._counter(
            'requests_total', 'Requests by class and final outcome.'
        )
        self._on_time = self._counter(
            'requests_on_time_total', 'Requests answered before the deadline.'
        )
        self._latency = Histogram(
            'anvilcove_request_duration_seconds',
            'Time from arrival to the final outcome.',
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._refused = self._counter(
            'refusals_total', 'Requests refused as not run, by reason.'
        )
        self._denied = self._counter(
            'access_denied_total', 'Calls without a valid key, by reason.'
        )
        self._ended = self._counter(
            'slow_callers_ended_total',
            'Clients ended as too much memory was held, by their pace.',
        )
        self._closed = self._counter(
            'client_connections_closed_total',
            'Connections of clients closed for a limit, by the limit.',
        )
        self._retries = self._counter(
            'retries_total', 'Attempts after the first one.'
        )
        self._ejections = self._counter(
            'ejections_total', 'Ejections by endpoint.'
        )
        self._store = self._counter(
            'store_calls_total', 'Store calls by operation, kind and result.'
        )
        self._messages = self._counter(
            'control_messages_total', 'Control messages by kind.'
        )
        self._bytes = self._counter(
            'control_bytes_total', 'Control traffic by kind and direction.'
        )
        self._control_cpu_seconds = self._counter(
            'control_processor_seconds_total',
            'Processor time of the control loops.',
        )
        self._staleness = Histogram(
            'anvilcove_delivered_staleness_versions',
            'Versions that a sample was behind the newest at its delivery.',
            registry=self.registry,
            buckets=STALENESS_BUCKETS,
        )
        self._task_ends = self._counter(
            'background_task_ends_total',
            'Ends of tasks that should last as long as the process.',
        )
        self._gauges: dict[str, Gauge] = {}
        # Registered on first use, as sites without workspaces lack it.
        self._by_workspace: Counter | None = None
        self._workspaces = WorkspaceLabels()
        # Messages, bytes sent and bytes received, by kind. They are copied to
        # the counters when the metrics are read: updating a labelled counter
        # takes a fifth of the time of a control message.
        self._traffic: dict[str, list[int]] = {}
        self._control_cpu_s = 0.0

    def background_task_ended(self, task: str) -> None:
        """Count a background task that ended and is started again."""
        self._task_ends.inc({'task': task})

    def request_finished(
        self, class_name: str, outcome: str, latency_s: float, on_time: bool
    ) -> None:
        """Count a request that reached its final outcome."""
        labels = {'class': class_name}
        self._finished.inc({**labels, 'outcome': outcome})
        self._latency.observe(labels, latency_s)
        if on_time and outcome == ANSWERED:
            self._on_time.inc(labels)

    def request_refused(self, class_name: str, reason: str) -> None:
        """Count a request refused as not run.

        Reasons after the first MAX_REASONS are counted as `other`.
        """
        if reason not in self._reasons:
            if len(self._reasons) >= MAX_REASONS:
                reason = OTHER_REASON
            self._reasons.add(reason)
        self._refused.inc({'class': class_name, 'reason': reason})

    def request_of_workspace(self, workspace: str, status: int) -> None:
        """Count a request that reached its final outcome."""
        if self._by_workspace is None:
            self._by_workspace = self._counter(
                'requests_by_workspace_total',
                'Requests by workspace and status.',
            )
        label = self._workspaces.value(workspace)
        self._by_workspace.inc({'workspace': label, 'status': str(status)})

    def access_denied(self, reason: str) -> None:
        """Count a call without the key of a workspace."""
        self._denied.inc({'reason': reason})

    def slow_caller_ended(self, slow: bool) -> None:
        """Count a client that was ended as it held too much memory."""
        self._ended.inc({'pace': 'slow' if slow else 'other'})

    def connection_closed(self, reason: str) -> None:
        """Count a connection of a client that was closed for a limit."""
        self._closed.inc({'reason': reason})

    def request_retried(self, class_name: str) -> None:
        """Count an attempt after the first one."""
        self._retries.inc({'class': class_name})

    def retry_budget(self, remaining: float) -> None:
        """Set the retries that the budget still allows."""
        self.gauge(
            'retry_budget',
            'Retries that the budget still allows.',
            {},
            remaining,
        )

    def endpoint_ejected(self, endpoint: str) -> None:
        """Count an ejection."""
        self._ejections.inc({'endpoint': endpoint})

    def store_call(self, operation: str, kind: str, result: str) -> None:
        """Count a store call; `operation` is `read` or `write`."""
        self._store.inc(
            {'operation': operation, 'kind': kind, 'result': result}
        )

    def sample_delivered(self, class_name: str, staleness: int) -> None:
        """Count a delivered sample by its staleness in versions."""
        self._staleness.observe({'class': class_name}, float(staleness))

    def control_called(
        self, kind: str, sent_bytes: int, received_bytes: int
    ) -> None:
        """Count a control call that this daemon made."""
        traffic = self._traffic.setdefault(kind, [0, 0, 0])
        traffic[0] += 1
        traffic[1] += sent_bytes
        traffic[2] += received_bytes

    def control_served(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Count a control call that a peer made to this daemon."""
        received = len(request.method) + len(request.raw_path) + 12
        received += sum(len(k) + len(v) + 4 for k, v in request.raw_headers)
        received += request.content_length or 0
        sent = 19 + sum(
            len(k) + len(v) + 4 for k, v in response.headers.items()
        )
        sent += response.content_length or 0
        kind = 'served_' + request.path.rpartition('/')[2]
        self.control_called(kind, sent, received)

    def add_control_cpu_time(self, seconds: float) -> None:
        """Add CPU time of the control loops."""
        self._control_cpu_s += seconds

    def class_summary(self, class_name: str) -> dict[str, Any]:
        """Return outcomes and on-time share of a class since the start."""
        outcomes = {
            labels['outcome']: int(value)
            for labels, value in self._finished.get_all()
            if labels['class'] == class_name
        }
        finished = sum(outcomes.values())
        on_time = self._value(self._on_time, {'class': class_name})
        share = on_time / finished if finished else None
        return {'outcomes': outcomes, 'on_time_share': share}

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        self._collect_control()
        text: bytes = render(self.registry, [])[0]
        return text

    def _collect_control(self) -> None:
        """Copy the control traffic and CPU time to the counters."""
        self._control_cpu_seconds.set({}, self._control_cpu_s)
        for kind, (messages, sent, received) in self._traffic.items():
            self._messages.set({'kind': kind}, messages)
            self._bytes.set({'kind': kind, 'direction': 'sent'}, sent)
            self._bytes.set({'kind': kind, 'direction': 'received'}, received)

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(f'anvilcove_{name}', help_text, registry=self.registry)

    def gauge(
        self, name: str, help_text: str, labels: dict[str, str], value: float
    ) -> None:
        """Set a gauge, which is registered on first use."""
        if name not in self._gauges:
            self._gauges[name] = Gauge(
                f'anvilcove_{name}', help_text, registry=self.registry
            )
        self._gauges[name].set(labels, value)

    def clear(self, name: str) -> None:
        """Remove the values of all labels of a gauge."""
        if name in self._gauges:
            self._gauges[name].values.clear()

    @staticmethod
    def _value(counter: Counter, labels: dict[str, str]) -> float:
        try:
            return float(counter.get(labels))
        except KeyError:
            return 0.0

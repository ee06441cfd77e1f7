"""Prometheus metrics of the node daemon."""

import resource

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from anvilcove.telemetry.workspace_labels import WorkspaceLabels

# Weight of a new request in the moving average of requests on time, which thus
# covers about 1 / 0.02 = 50 requests.
ON_TIME_SMOOTHING = 0.02
LATENCY_BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0]


class NodeMetrics:
    """Counters, gauges and histograms of one daemon."""

    __slots__ = (
        'registry',
        'on_time_share_by_route',
        '_counters',
        '_gauges',
        '_latency',
        '_workspaces',
    )

    def __init__(self) -> None:
        """Create an empty registry of metrics."""
        self.registry = Registry()
        # Moving average of the share of requests that were answered within
        # their objective.
        self.on_time_share_by_route: dict[str, float] = {}
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._workspaces = WorkspaceLabels()
        self._latency = Histogram(
            'anvilcove_request_duration_seconds',
            'Time from arrival to the answer.',
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def request_finished(
        self, route: str, status: int, latency_s: float, on_time: bool
    ) -> None:
        """Count a request that was answered."""
        self._count(
            'requests_total',
            'Requests by route and status.',
            {'route': route, 'status': str(status)},
        )
        if on_time:
            self._count(
                'requests_on_time_total',
                'Requests answered within their objective.',
                {'route': route},
            )
        self._latency.observe({'route': route}, latency_s)
        share = self.on_time_share_by_route.get(route, 1.0)
        self.on_time_share_by_route[route] = share + ON_TIME_SMOOTHING * (
            on_time - share
        )

    def background_task_ended(self, task: str) -> None:
        """Count a background task that ended and is started again."""
        self._count(
            'background_task_ends_total',
            'Ends of tasks that should last as long as the process.',
            {'task': task},
        )

    def stream_timed_out(self, route: str) -> None:
        """Count a stream that was not whole at the timeout of its route."""
        self._count(
            'stream_timeouts_total',
            'Streams ended at the timeout of their route.',
            {'route': route},
        )

    def rows_skipped(self, table: str, count: int) -> None:
        """Count rows of a table that could not be applied."""
        self._count(
            'rows_skipped_total',
            'Rows that could not be applied, by table.',
            {'table': table},
            count,
        )

    def request_refused(self, route: str, reason: str) -> None:
        """Count a request that was refused without having run."""
        self._count(
            'refusals_total',
            'Refusals by route and reason.',
            {'route': route, 'reason': reason},
        )

    def request_of_workspace(self, workspace: str, status: int) -> None:
        """Count an answered request of a workspace, if it has one."""
        if not workspace:
            return
        self._count(
            'requests_by_workspace_total',
            'Requests by workspace and status.',
            {
                'workspace': self._workspaces.value(workspace),
                'status': str(status),
            },
        )

    def slow_caller_ended(self, slow: bool) -> None:
        """Count a caller that was ended as it held too much memory."""
        self._count(
            'slow_callers_ended_total',
            'Callers ended as too much memory was held, by their pace.',
            {'pace': 'slow' if slow else 'other'},
        )

    def connection_closed(self, reason: str) -> None:
        """Count a connection of a client that was closed for a limit."""
        self._count(
            'client_connections_closed_total',
            'Connections of clients closed for a limit, by the limit.',
            {'reason': reason},
        )

    def answer_ended(self) -> None:
        """Count an answer that was ended as too much memory was held."""
        self._count(
            'answers_ended_total',
            'Answers ended as too much memory was held for those arriving.',
            {},
        )

    def access_denied(self, route: str, reason: str) -> None:
        """Count a call without the key of a workspace."""
        self._count(
            'access_denied_total',
            'Calls without a valid key, by route and reason.',
            {'route': route, 'reason': reason},
        )

    def workspace_refused(self, workspace: str, reason: str) -> None:
        """Count a refused request of a workspace, if it has one."""
        if workspace:
            label = self._workspaces.value(workspace)
            self._count(
                'workspace_refusals_total',
                'Refusals by workspace and reason.',
                {'workspace': label, 'reason': reason},
            )

    def workspace_waited(self, workspace: str, waited_s: float) -> None:
        """Count a wait for a slot of an endpoint in seconds."""
        if not workspace:
            return
        labels = {'workspace': self._workspaces.value(workspace)}
        self._count('workspace_waits_total', 'Waits by workspace.', labels)
        self._count(
            'workspace_wait_seconds_total',
            'Time waited for endpoints by workspace.',
            labels,
            waited_s,
        )

    def request_retried(self, route: str) -> None:
        """Count an attempt of a request after the first."""
        self._count(
            'retries_total',
            'Attempts of requests after the first, by route.',
            {'route': route},
        )

    def attempt_failed(self, service: str, outcome: str) -> None:
        """Count a failed attempt at an endpoint."""
        self._count(
            'attempts_failed_total',
            'Failed attempts by service and outcome.',
            {'service': service, 'outcome': outcome},
        )

    def crashing_content(self, event: str) -> None:
        """Count a crash of an endpoint by a content, or its consequence."""
        self._count(
            'crashing_contents_total',
            'Crashes counted for contents, and calls refused or held back.',
            {'event': event},
        )

    def stream_resumed(self, outcome: str) -> None:
        """Count a stream that its caller resumes."""
        self._count(
            'stream_resumptions_total',
            'Streams that callers resume, by outcome.',
            {'outcome': outcome},
        )

    def cut_from_endpoints(self, event: str) -> None:
        """Count a change of whether this host reaches endpoints."""
        self._count(
            'endpoint_cuts_total',
            'Times at which the host was cut from all endpoints, or back.',
            {'event': event},
        )

    def call_relayed(self, outcome: str) -> None:
        """Count a call to an endpoint that went through a peer."""
        self._count(
            'relayed_calls_total',
            'Calls to endpoints that peers relayed for this host.',
            {'outcome': outcome},
        )

    def endpoint_ejected(self, service: str) -> None:
        """Count an ejection of an endpoint."""
        self._count(
            'ejections_total', 'Ejections by service.', {'service': service}
        )

    def endpoint_reported(self, kind: str) -> None:
        """Count a report of an endpoint about itself."""
        self._count(
            'endpoint_reports_total',
            'Reports in answers of endpoints, by kind.',
            {'kind': kind},
        )

    def store_call(self, kind: str, outcome: str) -> None:
        """Count a call to the store."""
        self._count(
            'store_calls_total',
            'Store calls by kind and outcome.',
            {'kind': kind, 'outcome': outcome},
        )

    def duty_call(self, duty: str, outcome: str) -> None:
        """Count a call that is a duty."""
        self._count(
            'duty_calls_total',
            'Calls that are a duty, by outcome.',
            {'duty': duty, 'outcome': outcome},
        )

    def usage_report(self, outcome: str) -> None:
        """Count a window whose usage was reported."""
        self._count(
            'usage_reports_total',
            'Windows whose usage was reported, on time or late.',
            {'outcome': outcome},
        )

    def job_event(self, event: str) -> None:
        """Count an event of a batch job."""
        self._count('job_events_total', 'Job events.', {'event': event})

    def item_finished(self, completed: bool, attempts: int) -> None:
        """Count an item that has a result, and whether it was retried."""
        state = 'completed' if completed else 'errored'
        self._count('items_total', 'Listed items by state.', {'state': state})
        if attempts > 1:
            self._count(
                'item_retries_total', 'Item attempts after the first.', {}
            )

    def gauge(
        self, name: str, help_text: str, labels: dict[str, str], value: float
    ) -> None:
        """Set a gauge and create it on first use."""
        if name not in self._gauges:
            self._gauges[name] = Gauge(
                f'anvilcove_{name}', help_text, registry=self.registry
            )
        self._gauges[name].set(labels, value)

    def clear(self, name: str) -> None:
        """Remove all label values of a gauge."""
        if name in self._gauges:
            self._gauges[name].values.clear()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.gauge(
            'processor_seconds',
            'Processor time of the process.',
            {},
            usage.ru_utime + usage.ru_stime,
        )
        self.gauge(
            'resident_memory_bytes',
            'Largest resident memory of the process.',
            {},
            usage.ru_maxrss * 1024,
        )
        text: bytes = render(self.registry, [])[0]
        return text

    def _count(
        self,
        name: str,
        help_text: str,
        labels: dict[str, str],
        amount: float = 1,
    ) -> None:
        if name not in self._counters:
            self._counters[name] = Counter(
                f'anvilcove_{name}', help_text, registry=self.registry
            )
        self._counters[name].add(labels, amount)

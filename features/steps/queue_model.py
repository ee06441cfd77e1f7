"""Queueing model that runs policies for the differential tests."""

import heapq
import random
from collections import deque
from itertools import count

from anvilcove.daemon.app import load_modules
from anvilcove.decisions.limits import queue_ratio
from anvilcove.decisions.registry import policy_class
from anvilcove.decisions.types import (
    OK,
    OVERLOADED,
    PRIORITY_BY_KIND,
    AttemptResult,
    PoolLoad,
    Refuse,
    Route,
    RouteRequest,
)
from anvilcove.messages.engines import LoadReport
from anvilcove.messages.membership import SERVICE, EndpointMember
from anvilcove.settings.classes import BackgroundClass, InteractiveClass
from anvilcove.settings.daemon import (
    AdapterSettings,
    DaemonSettings,
    KeySettings,
    PlatformSettings,
)
from anvilcove.state.endpoints import EndpointView

POOL = 'account-app'
TOPICS = ('admission', 'limits', 'routing')
TICK_PERIOD_S = 0.05
CLASS_BY_KIND = {
    'interactive': InteractiveClass(
        name='lookup', pool=POOL, deadline_ms=1000
    ),
    'background': BackgroundClass(
        name='postings', pool=POOL, complete_within_ms=60_000
    ),
}


def daemon_settings(host='h1'):
    """Return settings for policies; no daemon is started with them."""
    unused = AdapterSettings(address='127.0.0.1:1')
    return DaemonSettings(
        host=host,
        data_centre='casa-ain',
        listen_address='127.0.0.1:0',
        platform=PlatformSettings(
            table=unused, objects=unused, weights=unused, membership=unused
        ),
        keys=KeySettings(peer='p', operator='o'),
    )


def build(topic, variant, host='h1'):
    """Return a policy; variant 'real' is the default of the settings."""
    load_modules()
    settings = daemon_settings(host)
    name = variant
    if variant == 'real':
        name = getattr(settings.policies, topic)
    return policy_class(topic, name)(settings)


def members(number, data_centres=('casa-ain',)):
    """Return the endpoints of one pool."""
    return [
        EndpointMember(
            endpoint=f'e{index}',
            address=f'127.0.0.1:{index + 1}',
            data_centre=data_centres[index % len(data_centres)],
            pool=POOL,
            kind=SERVICE,
        )
        for index in range(number)
    ]


class Server:
    """Server with workers, a bounded FIFO queue and a history of its load."""

    def __init__(self, name, service_s, workers=8, queue=64):
        self.name = name
        self.service_s = service_s
        self.workers = workers
        self.queue = queue
        self.running = 0
        self.waiting = deque()
        self.served = 0
        self.load_history = [(0.0, 0, 0)]

    def report(self, as_of):
        """Return the load report for a time in the past."""
        _, running, queued = next(
            (load for load in reversed(self.load_history) if load[0] <= as_of),
            self.load_history[0],
        )
        return LoadReport(
            endpoint=self.name,
            running=running,
            queued=queued,
            capacity=self.workers,
        )


class Host:
    """One daemon with its policies, its view of endpoints and its queue."""

    def __init__(self, name, variant, servers):
        self.policies = {t: build(t, variant, name) for t in TOPICS}
        self.view = EndpointView()
        self.view.update(members(len(servers)))
        self.queue = []
        self.queued_by_priority = {0: 0, 1: 0}
        self.mean_service_s = 0.0


class Call:
    """One request, its times and its outcome."""

    def __init__(self, kind, at_s, deadline_s):
        self.kind = kind
        self.at_s = at_s
        self.deadline_s = deadline_s
        self.started_s = 0.0
        self.ended_s = None
        self.outcome = ''

    @property
    def on_time(self):
        """Whether the request was answered by its deadline."""
        return self.outcome == OK and self.ended_s <= self.deadline_s


class QueueModel:
    """Discrete-event simulation of hosts that share servers."""

    def __init__(self, variant, hosts, servers, seed, report_lag_s=2.0):
        self.rng = random.Random(seed)
        self.servers = {server.name: server for server in servers}
        self.hosts = [
            Host(f'h{n}', variant, servers) for n in range(1, hosts + 1)
        ]
        self.report_lag_s = report_lag_s
        self.calls = []
        self._events = []
        self._sequence = count()

    def schedule_arrivals(self, kind, rate, start_s, end_s, deadline_s):
        """Schedule Poisson arrivals at random hosts."""
        at_s = start_s
        while (at_s := at_s + self.rng.expovariate(rate)) < end_s:
            call = Call(kind, at_s, at_s + deadline_s)
            self.calls.append(call)
            host = self.rng.choice(self.hosts)
            self._schedule(at_s, self._handle_arrival, host, call)

    def run(self, until_s):
        """Process the events up to a time."""
        for step in range(int(until_s / TICK_PERIOD_S)):
            self._schedule(step * TICK_PERIOD_S, self._tick, step)
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action, arguments = heapq.heappop(self._events)
            action(at_s, *arguments)

    def _schedule(self, at_s, action, *arguments):
        event = (at_s, next(self._sequence), action, arguments)
        heapq.heappush(self._events, event)

    def _tick(self, now, step):
        for host in self.hosts:
            if step % 10 == 0:
                for state in host.view.by_id.values():
                    server = self.servers[state.endpoint]
                    state.report = server.report(now - self.report_lag_s)
                    state.report_at_s = now
            self._dispatch(now, host)

    def _handle_arrival(self, now, host, call):
        request_class = CLASS_BY_KIND[call.kind]
        states = host.view.in_pool(POOL)
        load = PoolLoad(
            endpoints=len(states),
            limit=sum(s.limit for s in states),
            in_flight=sum(s.in_flight for s in states),
            queued=len(host.queue),
            queued_by_priority=dict(host.queued_by_priority),
            service_time_s=host.mean_service_s,
        )
        verdict = host.policies['admission'].offer(
            now, request_class, load, call.deadline_s
        )
        if isinstance(verdict, Refuse):
            call.outcome = 'refused'
            return
        entry = (PRIORITY_BY_KIND[call.kind], call.deadline_s)
        host.queued_by_priority[entry[0]] += 1
        heapq.heappush(host.queue, (*entry, next(self._sequence), call))
        self._dispatch(now, host)

    def _dispatch(self, now, host):
        while host.queue:
            call = host.queue[0][3]
            if call.deadline_s <= now:
                call.outcome = 'refused'
                host.queued_by_priority[heapq.heappop(host.queue)[0]] -= 1
                continue
            request = RouteRequest(
                request_id='',
                class_name=CLASS_BY_KIND[call.kind].name,
                kind=call.kind,
                pool=POOL,
                deadline_at_s=call.deadline_s,
            )
            route = host.policies['routing'].choose(
                now, request, host.view, self.rng
            )
            if not isinstance(route, Route):
                return
            host.queued_by_priority[heapq.heappop(host.queue)[0]] -= 1
            self._send(now, host, call, route.endpoint)

    def _send(self, now, host, call, endpoint):
        host.view.by_id[endpoint].in_flight += 1
        call.started_s = now
        server = self.servers[endpoint]
        if server.running < server.workers:
            self._start_service(now, host, call, server)
        elif len(server.waiting) < server.queue:
            server.waiting.append((host, call))
            self._record_load(now, server)
        else:
            self._schedule(
                now + 0.001,
                self._record_outcome,
                host,
                call,
                server,
                OVERLOADED,
            )

    def _start_service(self, now, host, call, server):
        server.running += 1
        self._record_load(now, server)
        time_s = server.service_s * self.rng.uniform(0.7, 1.3)
        self._schedule(now + time_s, self._finish_service, host, call, server)

    def _finish_service(self, now, host, call, server):
        server.running -= 1
        server.served += 1
        self._record_load(now, server)
        if server.waiting:
            self._start_service(now, *server.waiting.popleft(), server)
        self._record_outcome(now, host, call, server, OK)

    def _record_load(self, now, server):
        server.load_history.append((now, server.running, len(server.waiting)))

    def _record_outcome(self, now, host, call, server, outcome):
        call.ended_s = now
        call.outcome = outcome
        state = host.view.by_id[server.name]
        result = AttemptResult(
            endpoint=server.name,
            outcome=outcome,
            latency_s=now - call.started_s,
            in_flight=state.in_flight,
            class_name=CLASS_BY_KIND[call.kind].name,
            queue_ratio=queue_ratio(state),
        )
        state.in_flight -= 1
        if outcome == OK:
            mean = host.mean_service_s or result.latency_s
            host.mean_service_s = mean + 0.1 * (result.latency_s - mean)
        limits = host.policies['limits']
        limits.finished(now, result)
        state.limit = limits.limit(server.name)
        host.policies['routing'].finished(now, result, POOL, call.kind)
        self._dispatch(now, host)

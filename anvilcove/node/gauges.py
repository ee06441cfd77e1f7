"""Gauges that are computed from a daemon's state at each scrape."""

from anvilcove.node.parts import NodeParts


def set_gauges(parts: NodeParts) -> None:
    """Update the gauges of a daemon's state."""
    gauge = parts.metrics.gauge
    current = parts.desired.current
    for table, watch in parts.watches.items():
        gauge(
            'watch_age_seconds',
            'Age of what a watch knows.',
            {'table': table},
            watch.age_s(),
        )
    gauge(
        'desired_state_version',
        'Version of the desired state in force.',
        {},
        float(current.version if current else 0),
    )
    gauge(
        'orders_lease_held',
        'Whether this daemon gives the orders to the engines.',
        {},
        float(parts.lease.fence() is not None),
    )
    gauge(
        'jobs_owned', 'Jobs that run here.', {}, float(len(parts.owner.runs))
    )
    gauge(
        'nodes_alive',
        'Other daemons that are alive.',
        {},
        float(len(parts.nodes.alive())),
    )
    for route, share in parts.metrics.on_time_share_by_route.items():
        gauge(
            'on_time_share',
            'Smoothed share of requests answered within their objective.',
            {'route': route},
            share,
        )
    gauge(
        'orders_fence',
        'Generation number of the lease for orders, 0 where not held.',
        {},
        float(parts.lease.fence() or 0),
    )
    _set_jobs(parts)
    _set_endpoints(parts)


def _set_jobs(parts: NodeParts) -> None:
    counts = {'running': 0, 'finished': 0, 'ended': 0}
    for job_id, held in parts.board.by_id.items():
        state = 'finished' if held.head.finished else 'running'
        counts['ended' if job_id in parts.board.ended else state] += 1
    for state, count in counts.items():
        parts.metrics.gauge(
            'jobs', 'Known jobs by state.', {'state': state}, float(count)
        )


def _set_endpoints(parts: NodeParts) -> None:
    gauge = parts.metrics.gauge
    for model, named in parts.desired.newest_version_by_model.items():
        gauge(
            'model_version_named',
            'Newest version that a trainer has named.',
            {'model': model},
            float(named),
        )
    # Otherwise the series of endpoints that have left would remain.
    for name in ('endpoint_in_flight', 'endpoint_limit', 'endpoint_version'):
        parts.metrics.clear(name)
    for endpoint, entry in parts.registry.entry_by_endpoint.items():
        state = parts.registry.view.by_id.get(endpoint)
        if state is not None:
            labels = {'endpoint': endpoint}
            gauge(
                'endpoint_in_flight',
                'Requests in flight by endpoint.',
                labels,
                float(state.in_flight),
            )
            gauge(
                'endpoint_limit',
                'Requests that may be in flight by endpoint.',
                labels,
                state.limit,
            )
        for model, version in entry.version_by_model.items():
            gauge(
                'endpoint_version',
                'Version of a model that an endpoint has announced.',
                {'endpoint': endpoint, 'model': model},
                float(version),
            )

"""Gauges that are computed from a daemon's state at each scrape."""

from anvilcove.node.parts import NodeComponents
from anvilcove.settings.node import SIZES, USAGE


def set_gauges(components: NodeComponents) -> None:
    """Update the gauges of a daemon's state."""
    gauge = components.metrics.gauge
    current = components.desired.current
    # A daemon that no longer reads a table would show its last age for ever.
    components.metrics.clear('watch_age_seconds')
    for table, watch in components.watches.items():
        if watch.is_needed():
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
        float(components.lease.fence() is not None),
    )
    gauge(
        'cut_from_endpoints',
        'Whether this host is cut from all endpoints.',
        {},
        float(components.ways.is_cut),
    )
    gauge(
        'jobs_owned',
        'Jobs that run here.',
        {},
        float(len(components.owner.runs)),
    )
    gauge(
        'nodes_alive',
        'Other daemons that are alive.',
        {},
        float(len(components.nodes.alive())),
    )
    for route, share in components.metrics.on_time_share_by_route.items():
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
        float(components.lease.fence() or 0),
    )
    _set_held(components)
    _set_duties(components)
    _set_sizes(components)
    _set_jobs(components)
    _set_endpoints(components)


def _set_held(components: NodeComponents) -> None:
    """Set the memory that is held for callers."""
    for kind, held_bytes in (
        ('answers', components.account.counted_bytes),
        ('bodies', components.memory_room.reserved_bytes),
        ('jobs', components.memory_room.job_bytes),
        ('bound', components.settings.held_bound_bytes()),
        ('jobs bound', components.settings.job_bound_bytes()),
        ('room', components.settings.room_bytes()),
    ):
        components.metrics.gauge(
            'held_bytes',
            'Bytes held for callers and jobs, and their bounds.',
            {'kind': kind},
            float(held_bytes),
        )
    components.metrics.gauge(
        'held_callers',
        'Connections of callers for which memory is held.',
        {},
        float(len(components.account)),
    )


def _set_sizes(components: NodeComponents) -> None:
    """Set the sizes of services, which only the holder of the duty has."""
    for name in ('engines_wanted', 'engines_present'):
        components.metrics.clear(name)
    work = components.duties.work(SIZES)
    if work is None:
        return
    # Imported with the duty: daemons without it do without the module.
    from anvilcove.control.service_sizes import ServiceSizes

    if not isinstance(work, ServiceSizes):
        return
    for service, sized in work.by_service.items():
        states = sized.state.states if sized.state else {}
        for group, counts in states.items():
            labels = {
                'service': service,
                'data_centre': group.data_centre,
                'kind': group.kind,
            }
            components.metrics.gauge(
                'engines_wanted',
                'Endpoints that were ordered.',
                labels,
                float(counts.ordered),
            )
            components.metrics.gauge(
                'engines_present',
                'Endpoints that are listed and do not leave.',
                labels,
                float(counts.running),
            )


def _set_duties(components: NodeComponents) -> None:
    for duty in components.duties.all():
        components.metrics.gauge(
            'duty_held',
            'Whether this daemon holds a duty.',
            {'duty': duty.name},
            float(duty.fence() is not None),
        )
    if components.settings.duty_calls.has(USAGE):
        components.metrics.gauge(
            'time_correction_seconds',
            'Time of day of the hosts minus that of this host.',
            {},
            components.true_time.correction_s(),
        )


def _set_jobs(components: NodeComponents) -> None:
    counts = {'running': 0, 'finished': 0, 'ended': 0}
    for job_id, job in components.jobs_view.by_id.items():
        state = 'finished' if job.head.finished else 'running'
        counts['ended' if job_id in components.jobs_view.ended else state] += 1
    for state, count in counts.items():
        components.metrics.gauge(
            'jobs', 'Known jobs by state.', {'state': state}, float(count)
        )


def _set_endpoints(components: NodeComponents) -> None:
    gauge = components.metrics.gauge
    for model, version in components.desired.newest_version_by_model.items():
        gauge(
            'model_version_named',
            'Newest version that a trainer has named.',
            {'model': model},
            float(version),
        )
    # Without this, the series of endpoints that have left would remain.
    for name in ('endpoint_in_flight', 'endpoint_limit', 'endpoint_version'):
        components.metrics.clear(name)
    for endpoint, entry in components.registry.entry_by_endpoint.items():
        state = components.registry.view.by_id.get(endpoint)
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

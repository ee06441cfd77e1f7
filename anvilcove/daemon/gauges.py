"""Gauges that are set from a daemon's state when the metrics are read."""

import resource

from anvilcove.daemon.context import Context


def set_gauges(context: Context, newest: dict[str, int]) -> None:
    """Set all gauges; `newest` maps each model to its newest version."""
    _set_configuration(context)
    _set_endpoints(context, newest)
    gauge = context.metrics.gauge
    usage = resource.getrusage(resource.RUSAGE_SELF)
    gauge(
        'processor_seconds',
        'Processor time of the process.',
        {},
        usage.ru_utime + usage.ru_stime,
    )
    gauge(
        'resident_memory_bytes',
        'Largest resident memory of the process.',
        {},
        usage.ru_maxrss * 1024,
    )


def _set_configuration(context: Context) -> None:
    now = context.clock.now()
    config = context.config
    gauge = context.metrics.gauge
    gauge('configuration_revision', 'Revision in force.', {}, config.revision)
    gauge(
        'configuration_age_seconds',
        'Time since the revision came into force.',
        {},
        now - config.adopted_at_s,
    )
    gauge(
        'confirmed',
        'Whether new work is taken.',
        {},
        float(context.confirmation.is_confirmed(now)),
    )
    for target in config.document.classes:
        share = context.metrics.class_summary(target.name)['on_time_share']
        if share is not None:
            gauge(
                'requests_on_time_ratio',
                'Share of requests answered before the deadline.',
                {'class': target.name},
                share,
            )


def _set_endpoints(context: Context, newest: dict[str, int]) -> None:
    metrics = context.metrics
    for name in ('endpoint_in_flight', 'endpoint_limit', 'version_skew'):
        metrics.clear(name)
    for state in context.endpoints.by_id.values():
        labels = {'endpoint': state.endpoint}
        metrics.gauge(
            'endpoint_in_flight',
            'Attempts in flight by endpoint.',
            labels,
            state.in_flight,
        )
        metrics.gauge(
            'endpoint_limit',
            'Attempts that may be in flight by endpoint.',
            labels,
            state.limit,
        )
        if state.version:
            metrics.gauge(
                'version_skew',
                'Weight versions behind the newest by endpoint.',
                labels,
                max(newest.get(state.pool, 0) - state.version, 0),
            )

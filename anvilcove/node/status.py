"""Status report of a daemon for operators."""

from collections import Counter
from math import isfinite
from typing import Any

from anvilcove.node.parts import NodeComponents
from anvilcove.settings.node import SIZES

STATUS_PATH = '/status'
# A report lists at most this many jobs, the newest ones, and this many
# workspaces, those with the most waiting calls.
MAX_JOBS = 50
MAX_WORKSPACES = 50


def build_status(components: NodeComponents, now: float) -> dict[str, Any]:
    """Return hosts, endpoints, versions and jobs as this daemon knows them.

    `now` and all ages are in seconds, on the daemon's clock.
    """
    current = components.desired.current
    return {
        'host': components.settings.host,
        'data_centre': components.settings.data_centre,
        'state': 'stopping' if components.state.stopping else 'running',
        'desired_state': current.version if current else 0,
        'age_by_table': {
            table: _finite(watch.age_s())
            for table, watch in components.watches.items()
            if watch.is_needed()
        },
        'hosts': _hosts(components),
        'endpoints': _endpoints(components, now),
        'sizes': _sizes(components),
        'models': _models(components),
        'jobs': _jobs(components),
        'duties': {
            duty.name: duty.status() for duty in components.duties.all()
        },
        'workspaces': _workspaces(components),
        # Those that have ended; sound ones are left out.
        'background_tasks': components.tasks.status(),
    }


def _finite(age_s: float) -> float | None:
    """Return an age, None before the first answer: JSON has no infinity."""
    return round(age_s, 3) if isfinite(age_s) else None


def _hosts(components: NodeComponents) -> dict[str, dict[str, Any]]:
    alive = {node.host for node in components.nodes.alive()}
    found = {}
    for host, node in sorted(components.nodes.by_host.items()):
        state = 'alive' if host in alive else 'silent'
        if host == components.settings.host:
            state = 'self'
        found[host] = {
            'data_centre': node.data_centre,
            'state': 'leaving' if node.leaving else state,
            'gives_orders': node.orders,
            'desired_state': node.desired_state,
            'desired_state_age_s': node.desired_state_age_s,
            'cut_from_endpoints': node.cut,
        }
    return found


def _endpoints(
    components: NodeComponents, now: float
) -> dict[str, dict[str, Any]]:
    found = {}
    entries = components.registry.entry_by_endpoint
    for endpoint, entry in sorted(entries.items()):
        state = components.registry.view.by_id.get(endpoint)
        ejected_s = state.ejected_until_s - now if state else 0.0
        unusable_s = components.slots.ejections.ends_at_s(endpoint) - now
        running = components.slots.in_flight_count(endpoint)
        found[endpoint] = {
            'service': entry.service,
            'data_centre': entry.data_centre,
            'address': entry.address,
            'draining': entry.draining,
            'leaving_by_answer': components.registry.left_by_answer(endpoint),
            'limit_per_s': state.rate_limit_per_s if state else None,
            'in_flight': running + (state.in_flight if state else 0),
            'slots': entry.slots,
            'out_for_s': round(max(ejected_s, unusable_s, 0.0), 2),
            'versions': ' '.join(
                f'{model}={version}'
                for model, version in sorted(entry.version_by_model.items())
            ),
            'software': entry.software,
        }
    return found


def _sizes(components: NodeComponents) -> dict[str, dict[str, Any]]:
    """Return the ordered sizes, empty if this daemon does not order them."""
    work = components.duties.work(SIZES)
    if work is None:
        return {}
    # Imported with the duty: daemons without it do without the module.
    from anvilcove.control.service_sizes import ServiceSizes
    from anvilcove.control.sized_services import sizes_status

    if not isinstance(work, ServiceSizes):
        return {}
    return sizes_status(work.by_service)


def _models(components: NodeComponents) -> dict[str, dict[str, Any]]:
    counts_by_model: dict[str, Counter[int]] = {}
    for entry in components.registry.entry_by_endpoint.values():
        for model, version in entry.version_by_model.items():
            counts_by_model.setdefault(model, Counter())[version] += 1
    return {
        model: {
            'wanted': components.desired.newest_version_by_model.get(model, 1),
            'engines_by_version': ' '.join(
                f'{version}:{count}'
                for version, count in sorted(counts.items(), reverse=True)
            ),
        }
        for model, counts in sorted(counts_by_model.items())
    }


def _jobs(components: NodeComponents) -> dict[str, dict[str, Any]]:
    heads = [job.head for job in components.jobs_view.by_id.values()]
    age_s = components.jobs_view.age_s
    heads.sort(key=age_s)
    found = {}
    for head in heads[:MAX_JOBS]:
        state = 'finished' if head.finished else 'running'
        if head.job_id in components.jobs_view.ended:
            state = 'ended'
        elif not head.finished and not head.owner:
            state = 'without owner'
        found[head.job_id] = {
            'model': head.model,
            'workspace': head.workspace or None,
            'owner': head.owner,
            'state': state,
            'listed': head.listed,
            'total': head.total,
            'age_s': round(age_s(head), 1),
        }
    return found


def _workspaces(components: NodeComponents) -> dict[str, dict[str, Any]]:
    """Return the workspaces whose work waits or that exceed their share."""
    weights = components.workspace_weights
    if not weights.enabled():
        return {}
    waiting_s = components.pools.waiting_s_by_workspace()
    items = components.slots.waiting_by_workspace()
    names = {*waiting_s, *items, *weights.hints()}
    ordered = sorted(names, key=lambda name: (-waiting_s.get(name, 0.0), name))
    return {
        name or '(none)': {
            'weight': weights.declared(name),
            'excess_on_all_hosts': weights.excess(name),
            'waiting_calls_s': round(waiting_s.get(name, 0.0), 3),
            'waiting_items': items.get(name, 0),
        }
        for name in ordered[:MAX_WORKSPACES]
    }

"""Status report of a daemon for operators."""

from collections import Counter
from typing import Any

from anvilcove.node.parts import NodeParts

STATUS_PATH = '/status'
# A report lists at most this many jobs, the newest ones.
MAX_JOBS = 50


def build_status(parts: NodeParts, now: float) -> dict[str, Any]:
    """Return hosts, endpoints, versions and jobs as this daemon knows them.

    `now` and all ages are in seconds, on the daemon's clock.
    """
    current = parts.desired.current
    return {
        'host': parts.settings.host,
        'data_centre': parts.settings.data_centre,
        'state': 'stopping' if parts.state.stopping else 'running',
        'desired_state': current.version if current else 0,
        'age_by_table': {
            table: round(watch.age_s(), 3)
            for table, watch in parts.watches.items()
        },
        'hosts': _hosts(parts, now),
        'endpoints': _endpoints(parts, now),
        'models': _models(parts),
        'jobs': _jobs(parts),
    }


def _hosts(parts: NodeParts, now: float) -> dict[str, dict[str, Any]]:
    alive = {node.host for node in parts.nodes.alive()}
    found = {}
    for host, node in sorted(parts.nodes.by_host.items()):
        state = 'alive' if host in alive else 'silent'
        if host == parts.settings.host:
            state = 'self'
        found[host] = {
            'data_centre': node.data_centre,
            'state': 'leaving' if node.leaving else state,
            'gives_orders': node.orders,
            'desired_state': node.desired_state,
            'desired_state_age_s': node.desired_state_age_s,
            'seen_s_ago': parts.nodes.heartbeat_age_s(host, now),
        }
    return found


def _endpoints(parts: NodeParts, now: float) -> dict[str, dict[str, Any]]:
    found = {}
    entries = parts.registry.entry_by_endpoint
    for endpoint, entry in sorted(entries.items()):
        state = parts.registry.view.by_id.get(endpoint)
        ejected_s = state.ejected_until_s - now if state else 0.0
        out_s = parts.slots.statistics.unusable_until_s(endpoint) - now
        running = parts.slots.in_flight_count(endpoint)
        found[endpoint] = {
            'service': entry.service,
            'data_centre': entry.data_centre,
            'address': entry.address,
            'draining': entry.draining,
            'in_flight': running + (state.in_flight if state else 0),
            'slots': entry.slots,
            'out_for_s': round(max(ejected_s, out_s, 0.0), 2),
            'versions': ' '.join(
                f'{model}={version}'
                for model, version in sorted(entry.version_by_model.items())
            ),
        }
    return found


def _models(parts: NodeParts) -> dict[str, dict[str, Any]]:
    held: dict[str, Counter[int]] = {}
    for entry in parts.registry.entry_by_endpoint.values():
        for model, version in entry.version_by_model.items():
            held.setdefault(model, Counter())[version] += 1
    return {
        model: {
            'wanted': parts.desired.newest_version_by_model.get(model, 1),
            'engines_by_version': ' '.join(
                f'{version}:{count}'
                for version, count in sorted(counts.items(), reverse=True)
            ),
        }
        for model, counts in sorted(held.items())
    }


def _jobs(parts: NodeParts) -> dict[str, dict[str, Any]]:
    jobs = parts.watches['jobs']
    heads = [held.head for held in parts.board.by_id.values()]
    heads.sort(key=lambda head: -head.submitted_ms)
    found = {}
    for head in heads[:MAX_JOBS]:
        state = 'finished' if head.finished else 'running'
        if head.job_id in parts.board.ended:
            state = 'ended'
        elif not head.finished and not head.owner:
            state = 'without owner'
        age_s = (jobs.estimated_store_time_ms() - head.submitted_ms) / 1000
        found[head.job_id] = {
            'model': head.model,
            'owner': head.owner,
            'state': state,
            'listed': head.listed,
            'total': head.total,
            'age_s': round(age_s, 1),
        }
    return found

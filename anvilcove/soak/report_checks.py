"""Checks that daemons keep to what servers say about themselves."""

import math
from collections.abc import Callable

from anvilcove.soak.callers import Callers, CallRecord
from anvilcove.soak.site import LoopbackSite

# Time in which a server that leaves may still get requests.
DRAIN_S = 2.0
# From this time after a server has named its limit, what it gets in a window
# is bounded, summed over the daemons that have passed the limit on before.
LIMIT_KNOWN_S = 3.0
LIMIT_LEARNED_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5

# Daemon, number of its start, and start of a server.
ToldServer = tuple[str, int, str]


def _starts_by_request(
    site: LoopbackSite,
) -> dict[str, list[tuple[str, float]]]:
    """Return the start of the server and the time of each run."""
    found: dict[str, list[tuple[str, float]]] = {}
    for server in [*site.servers, *site.engines]:
        for run, instance, at_s in zip(
            server.runs, server.run_instances, server.run_at_s, strict=True
        ):
            found.setdefault(run[0], []).append((instance, at_s))
    return found


def _first_told_at_s(
    callers: Callers, reporting: Callable[[CallRecord], str]
) -> dict[ToldServer, float]:
    """Return when each daemon first passed a report of a server on."""
    found: dict[ToldServer, float] = {}
    for call in sorted(callers.calls, key=lambda call: call.at_s):
        instance = reporting(call)
        if instance and call.start_number >= 0:
            key = (call.daemon, call.start_number, instance)
            found.setdefault(key, call.at_s)
    return found


def check_leaving(site: LoopbackSite, callers: Callers) -> list[str]:
    """Check that daemons send nothing new to servers that said they leave."""
    told_at_s = _first_told_at_s(callers, lambda call: call.leaving_server)
    runs_by_request = _starts_by_request(site)
    violations = []
    for call in callers.calls:
        for instance, _ in runs_by_request.get(call.request_id, []):
            key = (call.daemon, call.start_number, instance)
            late_s = call.sent_s - told_at_s.get(key, math.inf) - DRAIN_S
            if late_s > 0:
                violations.append(
                    f'leaving: {call.request_id} reached {instance} from '
                    f'{call.daemon} {late_s:.2f} s late'
                )
    return violations


def check_limits(site: LoopbackSite, callers: Callers) -> list[str]:
    """Check that servers get no more than the limits that they named."""
    told_at_s = _first_told_at_s(callers, lambda call: call.limited_server)
    runs_by_request = _starts_by_request(site)
    counted: dict[str, list[float]] = {}
    for call in callers.calls:
        for instance, at_s in runs_by_request.get(call.request_id, []):
            key = (call.daemon, call.start_number, instance)
            if at_s > told_at_s.get(key, math.inf) + LIMIT_LEARNED_S:
                counted.setdefault(instance, []).append(at_s)
    violations = []
    for limit in site.limits:
        times_s = sorted(
            at_s
            for at_s in counted.get(limit.instance, [])
            if limit.started_s + LIMIT_KNOWN_S <= at_s <= limit.ended_s
        )
        allowed = (
            LIMIT_FACTOR * limit.limit_per_s * LIMIT_WINDOW_S + LIMIT_EXTRA
        )
        for position, start_s in enumerate(times_s):
            end_s = start_s + LIMIT_WINDOW_S
            count = sum(at_s < end_s for at_s in times_s[position:])
            if count > allowed:
                violations.append(
                    f'limit: {limit.instance} got {count} requests in '
                    f'{LIMIT_WINDOW_S:.0f} s, {allowed:.1f} allowed'
                )
                break
    return violations

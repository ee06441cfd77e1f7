"""Checks of guarantees against the records of callers and servers."""

import math
from collections import Counter

from anvilcove.http.answers import FINAL_STATUSES
from anvilcove.platform.standin import complete_text
from anvilcove.platform.standin_wire import JobResult, reward_id
from anvilcove.soak.access_checks import check_access
from anvilcove.soak.callers import Callers, JobRecord
from anvilcove.soak.daemon_faults import (
    STOPPED_UNDER_LONGER_REQUESTS,
    STOPPED_UNDER_SLOW_REQUESTS,
)
from anvilcove.soak.duty_checks import check_duties
from anvilcove.soak.placement_checks import (
    CONTACT_S,
    CONTENT_FAULTS,
    EngineRoom,
    check_first_runs,
    check_owed_items,
)
from anvilcove.soak.report_checks import check_leaving, check_limits
from anvilcove.soak.site import (
    ITEM_LIFETIME_S,
    MAX_ITEM_ATTEMPTS,
    MAX_REWARD_ATTEMPTS,
    MEMORY_MB,
    FaultPeriod,
    LoopbackSite,
)
from anvilcove.soak.step_checks import check_items
from anvilcove.soak.stream_checks import HOSTS_CUT, check_streams

# Responses that arrive within this time of each other may be reordered.
MAX_REORDERING_S = 0.5
MAX_ATTEMPTS = 2
# Late retries of a crashing content that may reach servers.
MAX_LATE_RETRIES = 3
# Time after which an ended job must not run.
CANCEL_S = 3.0
PLANNED_STOPS = (
    'daemon stopped as planned',
    'daemons stopped in turn',
    STOPPED_UNDER_SLOW_REQUESTS,
    STOPPED_UNDER_LONGER_REQUESTS,
)
LINK_FAULTS = ('link of a server harmed',)
# Callers of hosts without ways to servers have to be served at least this
# share as often as others, apart from a few.
MIN_SHARE_AT_CUT = 2 / 3
MAX_FAILED_AT_CUT = 10
REFUSAL_STATUSES = (408, 421, 429, 503)


def find_violations(
    site: LoopbackSite, callers: Callers, room: EngineRoom, now: float
) -> list[str]:
    """Return a line for each violated guarantee, `now` at the end of a run."""
    violations = [
        *_check_bodies(callers),
        *_check_refusals(site, callers),
        *_check_single_runs(site),
        *_check_routes(callers),
        *_check_exits(site),
        *_check_memory(site),
        *_check_attempts(site, callers),
        *_check_planned_stops(site, callers),
        *_check_ended_jobs(site, callers),
        *_check_crashes(site),
        *_check_statuses(callers),
        *check_owed_items(site, callers, room),
        *check_first_runs(site, callers, room, now),
        *check_leaving(site, callers),
        *check_limits(site, callers),
        *check_streams(site, callers.stream_callers.streams),
        *_check_cut_hosts(site, callers),
        *_check_failures(site),
        *check_access(site, callers),
        *check_duties(site),
        *check_items(site, callers),
    ]
    for job in callers.jobs:
        violations += [
            f'{job.job_id}: {line}' for line in _check_job(site, job)
        ]
    return violations


def _check_bodies(callers: Callers) -> list[str]:
    """Check that each response body is complete and that of its request."""
    return [
        f'whole_answers: {call.request_id} got other bytes'
        for call in callers.calls
        if not call.intact
    ]


def _check_statuses(callers: Callers) -> list[str]:
    """Check that each response has the status of a final one."""
    seen = [
        *((c.request_id, c.status, c.malformed) for c in callers.calls),
        *(
            (attempt.request_id, attempt.status, attempt.malformed)
            for record in callers.stream_callers.streams
            for attempt in record.tries
        ),
    ]
    return [
        f'mixed: {request_id} got status {status:03d}'
        for request_id, status, malformed in seen
        if malformed or (status and status not in FINAL_STATUSES)
    ]


def _check_refusals(site: LoopbackSite, callers: Callers) -> list[str]:
    """Check that requests refused as not run were never run."""
    ran = {run[0] for server in site.servers for run in server.runs}
    return [
        f'not_run: {call.request_id} got {call.status} and ran'
        for call in callers.calls
        if call.kind == 'once'
        and call.status in REFUSAL_STATUSES
        and call.request_id in ran
    ]


def _check_single_runs(site: LoopbackSite) -> list[str]:
    """Check that non-repeatable requests ran at most once."""
    runs = Counter(
        run[0]
        for server in site.servers
        for run in server.runs
        if run[0].startswith('once-')
    )
    return [
        f'at_most_once: {request} ran {count} times'
        for request, count in runs.items()
        if count > 1
    ]


def _check_routes(callers: Callers) -> list[str]:
    """Check that a daemon keeps each route it has served until it exits."""
    first_served_s: dict[tuple[str, int], float] = {}
    violations = []
    for call in sorted(callers.calls, key=lambda call: call.at_s):
        if call.kind != 'extra' or call.start_number < 0:
            continue
        daemon_start = (call.daemon, call.start_number)
        if call.status == 200:
            first_served_s.setdefault(daemon_start, call.at_s)
        elif call.status == 404 and daemon_start in first_served_s:
            # Concurrent responses may arrive in another order.
            late_s = call.at_s - first_served_s[daemon_start]
            if late_s > MAX_REORDERING_S:
                violations.append(
                    f'configuration: {call.daemon} forgot a route'
                )
    return violations


def _check_exits(site: LoopbackSite) -> list[str]:
    """Check that no daemon exited unexpectedly."""
    return [
        f'{daemon.name} ended by itself'
        for daemon in site.daemons
        if daemon.exited_unexpectedly()
    ]


def _check_memory(site: LoopbackSite) -> list[str]:
    """Check that no daemon used more memory than its host has."""
    return [
        f'memory: {daemon.name} used {peak_mb:.0f} MiB'
        for daemon in site.daemons
        if (peak_mb := daemon.peak_memory_mb()) > MEMORY_MB
    ]


def _check_job(site: LoopbackSite, job: JobRecord) -> list[str]:
    """Check that a job lists each item at most once, and check its results."""
    violations = [f'exactly_once: {fault}' for fault in job.faults]
    if job.unknown_at:
        violations.append(f'readable: unknown to {Counter(job.unknown_at)}')
    ids = [result.item_id for result in job.results]
    if len(ids) != len(set(ids)) or not set(ids) <= set(job.item_ids):
        violations.append('exactly_once: an item is listed twice or unknown')
    for result in job.results:
        violations += _check_result(site, job, result)
    return violations


def _check_result(
    site: LoopbackSite, job: JobRecord, result: JobResult
) -> list[str]:
    """Check the output, score and model versions of a result."""
    item = result.item_id
    if not result.completed:
        return _check_errored(site, job, result)
    violations = []
    if result.output != complete_text(item):
        violations.append(f'whole_answers: the text of {item}')
    if not result.score.endswith(f'.{reward_id(item)}'):
        violations.append(f'whole_answers: the score of {item}')
    versions = result.versions
    if not versions or min(versions) < job.min_version:
        violations.append(f'staleness: {item} of {versions}')
    made: set[int] = set()
    for engine in site.engines:
        for (event_item, _), used in engine.versions_by_event.items():
            made |= used if event_item == item else set()
    if not set(versions) <= made:
        violations.append(f'versions: {item} names {versions}, made by {made}')
    return violations


def _check_errored(
    site: LoopbackSite, job: JobRecord, result: JobResult
) -> list[str]:
    """Check that an item was given up for a reason."""
    item = result.item_id
    servers = [*site.servers, *site.engines]

    def failures(request_id: str, status: int) -> int:
        return sum(server.failures[(request_id, status)] for server in servers)

    read_s = job.read_at_s[job.results.index(result)]
    age_s = read_s - job.submitted_s
    if (
        read_s > job.ended_s
        or age_s > ITEM_LIFETIME_S
        or failures(item, 422)
        or failures(item, 500) >= MAX_ITEM_ATTEMPTS
        or failures(reward_id(item), 500) >= MAX_REWARD_ATTEMPTS
    ):
        return []
    return [f'errored: {item} after {age_s:.1f} s without a reason']


def _check_attempts(site: LoopbackSite, callers: Callers) -> list[str]:
    """Check that a request runs on at most as many servers as allowed."""
    requests = {c.request_id for c in callers.calls if c.kind != 'crashing'}
    harmed = [p for p in site.fault_periods if p.kind in LINK_FAULTS]
    servers_by_request: dict[str, set[str]] = {}
    for server in site.servers:
        if server.crashes:
            continue
        for run, at_s in zip(server.runs, server.run_at_s, strict=True):
            # Servers that were cut off meanwhile don't count.
            if run[0] in requests and not _is_within(at_s, harmed, 0.0):
                servers_by_request.setdefault(run[0], set()).add(server.name)
    return [
        f'budget: {request} ran on {sorted(names)}'
        for request, names in servers_by_request.items()
        if len(names) > MAX_ATTEMPTS
    ]


def _check_planned_stops(site: LoopbackSite, callers: Callers) -> list[str]:
    """Check that no request that has run is cut off by planned stops."""
    ran = {run[0] for server in site.servers for run in server.runs}
    planned = [p for p in site.fault_periods if p.kind in PLANNED_STOPS]
    others = [p for p in site.fault_periods if p.kind not in PLANNED_STOPS]
    return [
        f'planned_stop: {call.daemon} cut {call.request_id} off'
        for call in callers.calls
        if call.cut
        and call.request_id in ran
        and _is_within(call.at_s, planned, 1.0)
        and not any(
            p.started_s <= call.at_s and call.sent_s <= p.ended_s + CONTACT_S
            for p in others
        )
    ]


def _check_ended_jobs(site: LoopbackSite, callers: Callers) -> list[str]:
    """Check that no item of an ended job starts to run."""
    confirmed_s = {
        item: job.end_confirmed_s
        for job in callers.jobs
        for item in job.item_ids
    }
    violations = []
    for engine in site.engines:
        for run, at_s in zip(engine.runs, engine.run_at_s, strict=True):
            after_s = at_s - confirmed_s.get(run[0], math.inf)
            if after_s > CANCEL_S and not _is_within(
                at_s, site.fault_periods, CONTACT_S
            ):
                violations.append(
                    f'cancel: {run[0]} ran {after_s:.1f} s after the end'
                )
    return violations


def _check_crashes(site: LoopbackSite) -> list[str]:
    """Check that few retries of a crashing content reach servers."""
    crashes_by_path: dict[str, list[tuple[float, str]]] = {}
    for server in [*site.servers, *site.engines]:
        for at_s, attempt, path in server.crashes:
            crashes_by_path.setdefault(path, []).append((at_s, attempt))
    others = [p for p in site.fault_periods if p.kind not in CONTENT_FAULTS]
    violations = []
    for path, crashes in crashes_by_path.items():
        crashes.sort()
        late = [
            at_s
            for at_s, _ in crashes[3:]
            if at_s > crashes[2][0] + CONTACT_S
            and not _is_within(at_s, others, CONTACT_S)
        ]
        if len(late) > MAX_LATE_RETRIES:
            violations.append(
                f'budget: {path} crashed {len(crashes)} runs, {len(late)} of'
                f' them late'
            )
    return violations


def _check_cut_hosts(site: LoopbackSite, callers: Callers) -> list[str]:
    """Check that callers of hosts without ways to servers are served."""
    others = [p for p in site.fault_periods if p.kind != HOSTS_CUT]
    cuts = [p for p in site.fault_periods if p.kind == HOSTS_CUT]
    # While two cuts overlap, no host may have a way.
    calm = [
        cut
        for cut in cuts
        if not any(
            p is not cut
            and p.started_s <= cut.ended_s
            and cut.started_s <= p.ended_s + CONTACT_S
            for p in [*others, *cuts]
        )
    ]
    violations = []
    for cut in calm:
        served: dict[bool, list[bool]] = {True: [], False: []}
        for call in callers.calls:
            if call.kind != 'safe' or not (
                cut.started_s + CONTACT_S < call.sent_s < cut.ended_s
            ):
                continue
            ip = call.daemon.rpartition(':')[0]
            served[ip in cut.sources].append(call.status == 200)
        lost = served[True].count(False)
        if not served[True] or not served[False]:
            continue
        share = served[True].count(True) / len(served[True])
        other_share = served[False].count(True) / len(served[False])
        allowed = MAX_FAILED_AT_CUT + len(served[True]) / 50
        if share < MIN_SHARE_AT_CUT * other_share and lost > allowed:
            violations.append(
                f'recover: {share:.2f} of {len(served[True])} requests were'
                f' served at hosts that were cut, {other_share:.2f} elsewhere'
            )
    return violations


def _check_failures(site: LoopbackSite) -> list[str]:
    """Check that items that fail at each run are given up in time."""
    failures: Counter[tuple[str, int]] = Counter()
    for engine in site.engines:
        failures.update(engine.failures)
    return [
        f'budget: {item} got {count} responses of {status}'
        for (item, status), count in failures.items()
        if count > (3 if status == 422 else 3 * MAX_ITEM_ATTEMPTS)
    ]


def _is_within(
    at_s: float, periods: list[FaultPeriod], after_s: float
) -> bool:
    """Return whether a time lies in a period or shortly after it."""
    return any(p.started_s <= at_s <= p.ended_s + after_s for p in periods)


def incomplete_jobs(callers: Callers) -> list[str]:
    """Return a line for each accepted job that lacks results."""
    return [
        f'{job.job_id} has {len(job.results)} of {len(job.item_ids)} results'
        for job in callers.jobs
        if job.accepted
        and not job.harmful
        and len(job.results) < len(job.item_ids)
    ]

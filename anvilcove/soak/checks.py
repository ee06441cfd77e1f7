"""Checks of guarantees against the records of callers and servers."""

from collections import Counter

from anvilcove.platform.standin import complete_text
from anvilcove.platform.standin_wire import JobResult, reward_id
from anvilcove.soak.callers import Callers, JobRecord
from anvilcove.soak.site import LoopbackSite

# Responses that arrive within this time of each other may be reordered.
MAX_REORDERING_S = 0.5
REFUSAL_STATUSES = (408, 421, 429, 503)


def find_violations(site: LoopbackSite, callers: Callers) -> list[str]:
    """Return a line for each violated guarantee."""
    violations = [
        *_check_bodies(callers),
        *_check_refusals(site, callers),
        *_check_single_runs(site),
        *_check_routes(callers),
        *_check_exits(site),
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


def _check_job(site: LoopbackSite, job: JobRecord) -> list[str]:
    """Check that a job lists each item at most once, and check its results."""
    violations = [f'exactly_once: {fault}' for fault in job.faults]
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
        return [f'exactly_once: {item} is errored']
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


def incomplete_jobs(callers: Callers) -> list[str]:
    """Return a line for each accepted job that lacks results."""
    return [
        f'{job.job_id} has {len(job.results)} of {len(job.item_ids)} results'
        for job in callers.jobs
        if job.accepted and len(job.results) < len(job.item_ids)
    ]

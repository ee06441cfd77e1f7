"""Promises, checked from what callers and servers saw."""

from collections import Counter

from anvilcove.platform.standin import complete_text
from anvilcove.platform.standin_wire import JobResult, reward_id
from anvilcove.soak.callers import Callers, JobSeen
from anvilcove.soak.site import LoopbackSite

# Time for which an answer may be on its way.
OVERTAKE_S = 0.5
REFUSED = (408, 421, 429, 503)


def broken_promises(site: LoopbackSite, callers: Callers) -> list[str]:
    """Return a line for each promise that was broken."""
    found = [
        *_answers(callers),
        *_refusals(site, callers),
        *_runs(site),
        *_regressions(callers),
        *_own_ends(site),
    ]
    for job in callers.jobs:
        found += [f'{job.job_id}: {line}' for line in _job(site, job)]
    return found


def _answers(callers: Callers) -> list[str]:
    """Check that callers got whole answers to their own requests."""
    return [
        f'whole_answers: {seen.request_id} got other bytes'
        for seen in callers.seen
        if not seen.intact
    ]


def _refusals(site: LoopbackSite, callers: Callers) -> list[str]:
    """Check that what was refused as not run never ran."""
    ran = {run[0] for server in site.servers for run in server.runs}
    return [
        f'not_run: {seen.request_id} got {seen.status} and ran'
        for seen in callers.seen
        if seen.kind == 'once'
        and seen.status in REFUSED
        and seen.request_id in ran
    ]


def _runs(site: LoopbackSite) -> list[str]:
    """Check that what may run once ran once."""
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


def _regressions(callers: Callers) -> list[str]:
    """Check that no daemon forgot a route that it had served in its life."""
    served_s: dict[tuple[str, int], float] = {}
    found = []
    for seen in sorted(callers.seen, key=lambda seen: seen.at_s):
        if seen.kind != 'extra' or seen.life < 0:
            continue
        life = (seen.daemon, seen.life)
        if seen.status == 200:
            served_s.setdefault(life, seen.at_s)
        elif seen.status == 404 and life in served_s:
            # The answers of two requests may overtake each other.
            late_s = seen.at_s - served_s[life]
            if late_s > OVERTAKE_S:
                found.append(f'configuration: {seen.daemon} forgot a route')
    return found


def _own_ends(site: LoopbackSite) -> list[str]:
    return [
        f'{daemon.name} ended by itself'
        for daemon in site.daemons
        if daemon.ended_itself()
    ]


def _job(site: LoopbackSite, job: JobSeen) -> list[str]:
    """Check a job and its results."""
    found = [f'exactly_once: {fault}' for fault in job.faults]
    ids = [result.item_id for result in job.results]
    if len(ids) != len(set(ids)) or not set(ids) <= set(job.item_ids):
        found.append('exactly_once: an item is listed twice or unknown')
    for result in job.results:
        found += _result(site, job, result)
    return found


def _result(site: LoopbackSite, job: JobSeen, result: JobResult) -> list[str]:
    item = result.item_id
    if not result.completed:
        return [f'exactly_once: {item} is errored']
    found = []
    if result.output != complete_text(item):
        found.append(f'whole_answers: the text of {item}')
    if not result.score.endswith(f'.{reward_id(item)}'):
        found.append(f'whole_answers: the score of {item}')
    versions = result.versions
    if not versions or min(versions) < job.min_version:
        found.append(f'staleness: {item} of {versions}')
    made: set[int] = set()
    for engine in site.engines:
        for (name, _), by in engine.versions_by_event.items():
            made |= by if name == item else set()
    if not set(versions) <= made:
        found.append(f'versions: {item} names {versions}, made by {made}')
    return found


def unfinished(callers: Callers) -> list[str]:
    """Return the accepted jobs that are not whole."""
    return [
        f'{job.job_id} has {len(job.results)} of {len(job.item_ids)} results'
        for job in callers.jobs
        if job.accepted and len(job.results) < len(job.item_ids)
    ]

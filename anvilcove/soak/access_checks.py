"""Checks of access by keys against what the servers of a run saw."""

from collections.abc import Iterator

from anvilcove.platform.standin_wire import reward_id
from anvilcove.soak.callers import Callers
from anvilcove.soak.key_ring import workspace_of
from anvilcove.soak.site import FaultPeriod, LoopbackSite

# Time after which a changed key counts at all daemons: `config-apply-ms` and
# an allowance for the exchange.
APPLY_S = 4.0
# Time after a fault in which no time bound holds.
CONTACT_S = 3.0
DENIED_STATUSES = (401, 403)


def check_access(site: LoopbackSite, callers: Callers) -> list[str]:
    """Return a line for each violated rule of access."""
    if site.key_ring is None:
        return []
    return [
        *_check_secrets(site),
        *_check_names(site, callers),
        *_check_denials(callers),
        *_check_changes(site, callers),
    ]


def _check_secrets(site: LoopbackSite) -> list[str]:
    """Check that no server got a key and no daemon logged one."""
    assert site.key_ring is not None
    violations = [
        f'access: {server.name} got the key of {attempt}'
        for server in [*site.servers, *site.engines]
        for attempt in server.keyed_calls
    ]
    keys = [key for spec in site.key_ring.specs() for key in spec.keys]
    keys += [period.key for period in site.key_ring.removed]
    for path in site.folder.glob('*.log'):
        text = path.read_text(errors='replace')
        if any(key in text for key in keys):
            violations.append(f'access: a key is in {path.name}')
    return violations


def _check_names(site: LoopbackSite, callers: Callers) -> list[str]:
    """Check that servers are told the workspace that holds the key."""
    expected: dict[str, list[str]] = {}
    for job in callers.jobs:
        for item in job.item_ids:
            expected[item] = [workspace_of(job.job_id)]
            expected[reward_id(item)] = []
    for call in callers.keyed_calls.by_id.values():
        expected[call.request_id] = [call.period.workspace]
    return [
        f'access: {attempt} ran for {names}'
        for attempt, names, _ in _runs(site)
        if names != expected.get(attempt, [workspace_of(attempt)])
    ]


def _check_denials(callers: Callers) -> list[str]:
    """Check that keys that last are never refused."""
    statuses = [(call.request_id, call.status) for call in callers.calls]
    statuses += [
        (attempt.request_id, attempt.status)
        for stream in callers.stream_callers.streams
        for attempt in stream.tries
    ]
    return [
        f'access: {request_id} got {status}'
        for request_id, status in statuses
        if status in DENIED_STATUSES
        and request_id not in callers.keyed_calls.by_id
    ]


def _check_changes(site: LoopbackSite, callers: Callers) -> list[str]:
    """Check that added and removed keys count everywhere in time."""
    ran = {attempt for attempt, _, _ in _runs(site)}
    disturbed = [*site.fault_periods, *callers.stalls]
    violations = []
    for call in callers.keyed_calls.by_id.values():
        period = call.period
        removed_for_s = call.sent_s - period.removed_s
        if (
            removed_for_s > APPLY_S
            and (call.status == 200 or call.request_id in ran)
            and _is_calm(disturbed, period.removed_s, call.sent_s)
        ):
            violations.append(
                f'access: {call.request_id} was served {removed_for_s:.1f} s'
                f' after its key was taken away'
            )
        if (
            call.status in DENIED_STATUSES
            and call.sent_s - period.added_s > APPLY_S
            and call.answered_s < period.removed_s
            and _is_calm(disturbed, period.added_s, call.sent_s)
        ):
            violations.append(f'access: {call.request_id} was denied')
    return violations


def _runs(site: LoopbackSite) -> Iterator[tuple[str, list[str], float]]:
    """Yield attempt, named workspaces and time of each run."""
    for server in [*site.servers, *site.engines]:
        for run, names, at_s in zip(
            server.runs, server.run_workspaces, server.run_at_s, strict=True
        ):
            yield run[0], names, at_s


def _is_calm(disturbed: list[FaultPeriod], from_s: float, to_s: float) -> bool:
    """Tell whether nothing delayed a configuration in a time."""
    return not any(
        period.started_s <= to_s and from_s <= period.ended_s + CONTACT_S
        for period in disturbed
    )

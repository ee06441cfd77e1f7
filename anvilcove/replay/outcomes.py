"""Compare replayed decisions with stated outcomes."""

from collections.abc import Callable
from typing import Any

from anvilcove.replay.replay import Decision

Check = Callable[[list[Decision], Any], str]


def faults(decisions: list[Decision], outcomes: dict[str, Any]) -> list[str]:
    """Return one line per stated outcome that does not hold."""
    found = []
    for name, bound in outcomes.items():
        if name not in CHECKS:
            found.append(f'{name}: unknown outcome; known: {sorted(CHECKS)}')
            continue
        problem = CHECKS[name](decisions, bound)
        if problem:
            found.append(f'{name}: {problem}')
    return found


def _of(decisions: list[Decision], topic: str, method: str) -> list[Decision]:
    return [d for d in decisions if d.topic == topic and d.method == method]


def _routes(decisions: list[Decision]) -> list[Decision]:
    return [
        d
        for d in _of(decisions, 'routing', 'choose')
        if d.result['type'] == 'Route'
    ]


def _no_forbidden_endpoint(decisions: list[Decision], bound: Any) -> str:
    for decision in _routes(decisions):
        now, request, states = decision.arguments
        row = next(s for s in states if s[0] == decision.result['endpoint'])
        if row[2] or row[6] or row[5] > now or row[0] in request['excluded']:
            return f'{row[0]} received {request["request_id"]} at {now:.3f}'
    return ''


def _busiest_to_mean(decisions: list[Decision], bound: float) -> str:
    counts: dict[str, dict[str, int]] = {}
    for decision in _routes(decisions):
        _, request, states = decision.arguments
        pool = counts.setdefault(request['pool'], {})
        for row in states:
            pool.setdefault(row[0], 0)
        pool[decision.result['endpoint']] += 1
    for name, pool in counts.items():
        ratio = max(pool.values()) * len(pool) / sum(pool.values())
        if ratio > bound:
            return f'{name} has {ratio:.3f}, at most {bound}'
    return ''


def _share_in(decisions: list[Decision], bound: float) -> str:
    until_s: dict[str, float] = {}
    for decision in _of(decisions, 'ejection', 'finished'):
        now, result, pool = decision.arguments
        until_s[result['endpoint']] = decision.result
        held = sum(1 for e in pool if until_s.get(e, 0.0) <= now)
        if pool and held / len(pool) < bound:
            return f'{held} of {len(pool)} endpoints are in at {now:.3f}'
    return ''


def _retry_share(decisions: list[Decision], bound: dict[str, float]) -> str:
    first = len(_of(decisions, 'retry', 'started'))
    retries = sum(
        1
        for d in _of(decisions, 'retry', 'next_attempt')
        if d.result['type'] == 'RetryAfter'
    )
    most = bound['saved'] + bound['share'] * first
    return '' if retries <= most + 1e-6 else f'{retries} of {first} attempts'


def _crashes_per_content(decisions: list[Decision], bound: int) -> str:
    crashed: dict[str, set[str]] = {}
    for decision in _of(decisions, 'quarantine', 'crashed'):
        _, endpoint, contents = decision.arguments
        for content in contents:
            crashed.setdefault(content, set()).add(endpoint)
    worst = max((len(e) for e in crashed.values()), default=0)
    return '' if worst <= bound else f'{worst} endpoints, at most {bound}'


def _rejected_contents(decisions: list[Decision], bound: int) -> str:
    rejected = {
        d.arguments[1]
        for d in _of(decisions, 'quarantine', 'verdict')
        if d.result['type'] == 'Reject'
    }
    return '' if len(rejected) <= bound else f'{len(rejected)} contents'


def _routed(decisions: list[Decision], bound: int) -> str:
    count = len(_routes(decisions))
    return '' if count >= bound else f'{count}, at least {bound}'


def _prefix_share(decisions: list[Decision], bound: float) -> str:
    """Count requests that met an endpoint with their prefix before."""
    seen: dict[str, set[str]] = {}
    repeated = met = 0
    for decision in _routes(decisions):
        for prefix in decision.arguments[1]['prefixes'][-1:]:
            endpoints = seen.setdefault(prefix, set())
            repeated += bool(endpoints)
            met += decision.result['endpoint'] in endpoints
            endpoints.add(decision.result['endpoint'])
    if met >= bound * repeated:
        return ''
    return f'{met} of {repeated} repeated prefixes, at least {bound}'


CHECKS: dict[str, Check] = {
    'no_forbidden_endpoint': _no_forbidden_endpoint,
    'busiest_to_mean': _busiest_to_mean,
    'share_in': _share_in,
    'retry_share': _retry_share,
    'crashes_per_content': _crashes_per_content,
    'rejected_contents': _rejected_contents,
    'routed': _routed,
    'prefix_share': _prefix_share,
}

"""Check replayed decisions against the expected outcomes of a trace."""

from collections.abc import Callable
from typing import Any

from anvilcove.replay.replay import Decision

# A check returns how the decisions miss the bound, or an empty string.
Check = Callable[[list[Decision], Any], str]


def unmet_outcomes(
    decisions: list[Decision], outcomes: dict[str, Any]
) -> list[str]:
    """Return one line for each expected outcome that does not hold.

    `outcomes` maps the name of a check to its bound.
    """
    found = []
    for name, bound in outcomes.items():
        if name not in CHECKS:
            found.append(f'{name}: unknown outcome; known: {sorted(CHECKS)}')
            continue
        problem = CHECKS[name](decisions, bound)
        if problem:
            found.append(f'{name}: {problem}')
    return found


def _calls_of(
    decisions: list[Decision], topic: str, method: str
) -> list[Decision]:
    return [d for d in decisions if d.topic == topic and d.method == method]


def _routes(decisions: list[Decision]) -> list[Decision]:
    return [
        d
        for d in _calls_of(decisions, 'routing', 'choose')
        if d.result['type'] == 'Route'
    ]


def _no_forbidden_endpoint(decisions: list[Decision], bound: Any) -> str:
    """Find a request routed to an endpoint that it must not use.

    Forbidden are endpoints that are leaving, isolated, ejected, or excluded
    by the request. Their states are rows of ENDPOINT_STATE_FIELDS.
    """
    for decision in _routes(decisions):
        now, request, states = decision.arguments
        row = next(s for s in states if s[0] == decision.result['endpoint'])
        if row[2] or row[6] or row[5] > now or row[0] in request['excluded']:
            return f'{row[0]} received {request["request_id"]} at {now:.3f}'
    return ''


def _busiest_to_mean(decisions: list[Decision], bound: float) -> str:
    """Limit the requests of the busiest endpoint over the pool's mean."""
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
    """Require that at least this share of the pool is not ejected."""
    ejected_until_s: dict[str, float] = {}
    for decision in _calls_of(decisions, 'ejection', 'finished'):
        now, result, pool = decision.arguments
        ejected_until_s[result['endpoint']] = decision.result
        available = sum(1 for e in pool if ejected_until_s.get(e, 0.0) <= now)
        if pool and available / len(pool) < bound:
            return f'{available} of {len(pool)} endpoints are in at {now:.3f}'
    return ''


def _retry_share(decisions: list[Decision], bound: dict[str, float]) -> str:
    """Limit the retries to `saved` plus `share` per first attempt."""
    first_attempts = len(_calls_of(decisions, 'retry', 'started'))
    retries = sum(
        1
        for d in _calls_of(decisions, 'retry', 'next_attempt')
        if d.result['type'] == 'RetryAfter'
    )
    allowed = bound['saved'] + bound['share'] * first_attempts
    return (
        ''
        if retries <= allowed + 1e-6
        else f'{retries} of {first_attempts} attempts'
    )


def _crashes_per_content(decisions: list[Decision], bound: int) -> str:
    """Limit the number of endpoints crashed by requests with one content."""
    crashed: dict[str, set[str]] = {}
    for decision in _calls_of(decisions, 'quarantine', 'crashed'):
        _, endpoint, contents = decision.arguments
        for content in contents:
            crashed.setdefault(content, set()).add(endpoint)
    worst = max((len(e) for e in crashed.values()), default=0)
    return '' if worst <= bound else f'{worst} endpoints, at most {bound}'


def _rejected_contents(decisions: list[Decision], bound: int) -> str:
    """Limit the number of contents that the quarantine rejects."""
    rejected = {
        d.arguments[1]
        for d in _calls_of(decisions, 'quarantine', 'verdict')
        if d.result['type'] == 'Reject'
    }
    return '' if len(rejected) <= bound else f'{len(rejected)} contents'


def _routed(decisions: list[Decision], bound: int) -> str:
    """Require a minimum number of routed requests."""
    count = len(_routes(decisions))
    return '' if count >= bound else f'{count}, at least {bound}'


def _prefix_share(decisions: list[Decision], bound: float) -> str:
    """Require a share of repeated prefixes to reach endpoints used before."""
    seen: dict[str, set[str]] = {}
    repeated = hits = 0
    for decision in _routes(decisions):
        for prefix in decision.arguments[1]['prefixes'][-1:]:
            endpoints = seen.setdefault(prefix, set())
            repeated += bool(endpoints)
            hits += decision.result['endpoint'] in endpoints
            endpoints.add(decision.result['endpoint'])
    if hits >= bound * repeated:
        return ''
    return f'{hits} of {repeated} repeated prefixes, at least {bound}'


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

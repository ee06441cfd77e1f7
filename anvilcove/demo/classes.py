"""Class declarations of the demonstration."""

from typing import Any

LOOKUP = 'lookup'
LEDGER = 'ledger'
ADVICE = 'advice'
ROLLOUTS = 'rollouts'
BOUND_VERSIONS = 2


def probe_name(revision: int, suffix: str = 'a') -> str:
    """Return the name of the probe class that only one revision declares."""
    return f'probe-{revision}-{suffix}'


def declarations(model: str, app: str, probe: str) -> dict[str, Any]:
    """Return the class declarations of one revision as a document."""
    return {
        'classes': [
            {
                'kind': 'interactive',
                'name': LOOKUP,
                'pool': app,
                'deadline_ms': 500,
                'on_time_share': 0.99,
            },
            {
                'kind': 'background',
                'name': LEDGER,
                'pool': app,
                'complete_within_ms': 15_000,
            },
            {
                'kind': 'interactive',
                'name': ADVICE,
                'pool': model,
                'deadline_ms': 8_000,
                'on_time_share': 0.9,
            },
            {
                'kind': 'trainer',
                'name': ROLLOUTS,
                'pool': model,
                'model': model,
                'step_within_ms': 1_000,
                'max_staleness_versions': BOUND_VERSIONS,
            },
            {
                'kind': 'interactive',
                'name': probe,
                'pool': app,
                'deadline_ms': 2_000,
                'on_time_share': 0.9,
            },
        ]
    }

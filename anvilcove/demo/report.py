"""Result tables and JSON summary of a run."""

from typing import Any

from anvilcove.demo.checks import Verdict
from anvilcove.demo.classes import LEDGER, LOOKUP, ROLLOUTS
from anvilcove.demo.load import POISON_KEY
from anvilcove.demo.records import RunRecord
from anvilcove.messages.callers import ANSWERED, NOT_RUN

EXAMPLES_SHOWN = 3
STEP_TARGET_S = 1.0


def class_rows(record: RunRecord) -> dict[str, dict[str, Any]]:
    """Return the target of each class and counts of its calls by result.

    Poison requests and the calls of probe classes do not count: the former
    are sent to be refused, the latter check the declarations.
    """
    rows: dict[str, dict[str, Any]] = {}
    targets = {LOOKUP: '99% in 500 ms', LEDGER: 'answered in 15 s'}
    for name, target in targets.items():
        calls = [
            c
            for c in record.calls
            if c.class_name == name and POISON_KEY not in c.body
        ]
        rows[name] = {
            'target': target,
            'calls': len(calls),
            'met': sum(c.on_time for c in calls),
            'refused': sum(c.outcome == NOT_RUN for c in calls),
            'late': sum(
                c.outcome == ANSWERED and not c.on_time for c in calls
            ),
            'failed': sum(c.outcome not in (ANSWERED, NOT_RUN) for c in calls),
        }
    waits = [batch.waited_s for batch in record.batches]
    rows[ROLLOUTS] = {
        'target': 'step in 1 s',
        'calls': len(waits),
        'met': sum(wait <= STEP_TARGET_S for wait in waits),
        'refused': 0,
        'late': sum(wait > STEP_TARGET_S for wait in waits),
        'failed': 0,
    }
    return rows


def tables(
    rows: dict[str, dict[str, Any]], verdicts: dict[str, Verdict]
) -> str:
    """Format the tables of classes and guarantees."""
    columns = ('target', 'calls', 'met', 'refused', 'late', 'failed')
    lines = [
        f'{"class":10}' + ''.join(f'{name:>18}' for name in columns),
    ]
    for name, row in rows.items():
        lines.append(
            f'{name:10}' + ''.join(f'{row[c]!s:>18}' for c in columns)
        )
    lines += ['', f'{"promise":16}{"checked":>9}{"broken":>9}']
    for name, verdict in verdicts.items():
        lines.append(f'{name:16}{verdict.checked:>9}{verdict.broken:>9}')
        lines += [f'    {e}' for e in verdict.examples[:EXAMPLES_SHOWN]]
    return '\n'.join(lines)


def summary(
    site: str, rows: dict[str, dict[str, Any]], verdicts: dict[str, Verdict]
) -> dict[str, Any]:
    """Return the JSON summary that is printed as the last line."""
    return {
        'site': site,
        'promises': {
            name: {'checked': v.checked, 'broken': v.broken}
            for name, v in verdicts.items()
        },
        'classes': rows,
    }

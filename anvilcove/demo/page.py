"""Report of a run as one self-contained HTML page with plots."""

import base64
import html
import io
from collections import defaultdict
from pathlib import Path
from typing import Any

import msgspec
from matplotlib import use

from anvilcove.demo.checks import check_all
from anvilcove.demo.load import POISON_KEY
from anvilcove.demo.records import RunRecord
from anvilcove.demo.report import class_rows

use('Agg')

from matplotlib import pyplot  # noqa: E402

BIN_S = 1.0
# Calls sent within this time after a fault are attributed to it.
FAULT_WINDOW_S = 4.0
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto;
       max-width: 62rem; color: #1c2330; padding: 0 1rem; }
table { border-collapse: collapse; margin: 1rem 0; }
th, td { padding: .3rem .9rem; border-bottom: 1px solid #d8dee8;
         text-align: right; }
th:first-child, td:first-child { text-align: left; }
img { max-width: 100%; }
.bad { color: #b3261e; font-weight: 600; }
"""


class Page:
    """Page of one run; times count from its first call."""

    def __init__(self, record: RunRecord) -> None:
        """Take the earliest call as the start of the run."""
        self.record = record
        self.start_s = min(call.sent_at_s for call in record.calls)

    def seconds_since_start(self, at_s: float) -> float:
        """Return seconds from the start of the run."""
        return at_s - self.start_s

    def figure(self) -> bytes:
        """Plot on-time share, idle time and staleness over time as PNG."""
        figure, axes = pyplot.subplots(
            3, 1, figsize=(11, 9), sharex=True, layout='constrained'
        )
        self._draw_on_time(axes[0])
        self._draw_trainer_idle_time(axes[1])
        self._draw_staleness(axes[2])
        for axis in axes:
            for fault in self.record.faults:
                axis.axvline(
                    self.seconds_since_start(fault['at_s']),
                    color='0.8',
                    zorder=0,
                )
            axis.grid(axis='y', alpha=0.3)
        for number, fault in enumerate(self.record.faults, start=1):
            axes[0].annotate(
                str(number),
                (self.seconds_since_start(fault['at_s']), 1.04),
                ha='center',
                fontsize=8,
                annotation_clip=False,
            )
        axes[-1].set_xlabel('seconds since the start of the load')
        data = io.BytesIO()
        figure.savefig(data, dpi=90)
        pyplot.close(figure)
        return data.getvalue()

    def _draw_on_time(self, axis: Any) -> None:
        by_class: dict[str, dict[int, list[bool]]] = defaultdict(
            lambda: defaultdict(list)
        )
        for call in self.record.calls:
            if call.class_name.startswith('probe') or POISON_KEY in call.body:
                continue
            position = int(self.seconds_since_start(call.sent_at_s) / BIN_S)
            by_class[call.class_name][position].append(call.on_time)
        for name, bins in sorted(by_class.items()):
            xs = sorted(bins)
            shares = [sum(bins[x]) / len(bins[x]) for x in xs]
            axis.plot([x * BIN_S for x in xs], shares, label=name)
        axis.set_ylim(-0.02, 1.1)
        axis.set_ylabel('share on time, by second')
        axis.legend(loc='lower left')

    def _draw_trainer_idle_time(self, axis: Any) -> None:
        for name in sorted({b.trainer for b in self.record.batches}):
            batches = [b for b in self.record.batches if b.trainer == name]
            axis.plot(
                [self.seconds_since_start(b.received_at_s) for b in batches],
                [b.waited_s for b in batches],
                'o-',
                markersize=3,
                label=name,
            )
        axis.axhline(1.0, color='tab:red', linestyle=':')
        axis.set_ylabel('trainer idle per step, s')
        axis.legend(loc='upper left')

    def _draw_staleness(self, axis: Any) -> None:
        times, values = [], []
        for batch in self.record.batches:
            newest = max(
                (
                    p.version
                    for p in self.record.publishes
                    if p.accepted_at_s <= batch.received_at_s
                ),
                default=0,
            )
            oldest = min(
                (
                    part.version
                    for sample in batch.batch.samples
                    for part in sample.versions
                ),
                default=newest,
            )
            times.append(self.seconds_since_start(batch.received_at_s))
            values.append(newest - oldest)
        axis.plot(times, values, 'o', markersize=4)
        for bound in {b.bound_versions for b in self.record.batches}:
            axis.axhline(bound, color='tab:red', linestyle=':')
        axis.set_ylim(bottom=-0.2)
        axis.set_ylabel('staleness of the oldest token, versions')

    def fault_rows(self) -> list[list[str]]:
        """Return a table row per fault with the calls and steps after it."""
        rows = []
        for number, fault in enumerate(self.record.faults, start=1):
            at_s = fault['at_s']
            end_s = at_s + FAULT_WINDOW_S
            calls = [
                c
                for c in self.record.calls
                if at_s <= c.sent_at_s < end_s
                and not c.class_name.startswith('probe')
                and POISON_KEY not in c.body
            ]
            late = sum(not c.on_time for c in calls)
            waits = [
                b.waited_s
                for b in self.record.batches
                if at_s <= b.received_at_s < end_s
            ]
            rows.append(
                [
                    str(number),
                    f'{self.seconds_since_start(at_s):.1f}',
                    fault['fault'],
                    str(len(calls)),
                    str(late),
                    f'{max(waits, default=0.0):.2f}',
                ]
            )
        return rows

    def html(self, name: str) -> str:
        """Render the page."""
        image = base64.b64encode(self.figure()).decode()
        classes = [
            [key, *(str(value) for value in row.values())]
            for key, row in class_rows(self.record).items()
        ]
        promises = [
            [key, str(v.checked), str(v.broken)]
            for key, v in check_all(self.record).items()
        ]
        class_head = ['class', 'target', 'calls', 'met', 'refused', 'late']
        fault_head = ['no', 'at, s', 'fault', 'calls', 'not on time']
        parts = [
            f'<!doctype html><html lang="en"><meta charset="utf-8">'
            f'<title>{html.escape(name)}</title><style>{STYLE}</style>',
            f'<h1>Run {html.escape(name)}</h1>',
            '<h2>Promises</h2>',
            table(['promise', 'checked', 'broken'], promises),
            '<h2>Classes</h2>',
            table([*class_head, 'failed'], classes),
            '<h2>Over time</h2>',
            '<p>Grey lines are faults, numbered as in the table below; red '
            'dotted lines are the step target and the staleness bound.</p>',
            f'<img alt="targets over time" src="data:image/png;base64,{image}'
            '">',
            '<h2>What each fault did</h2>',
            f'<p>Calls sent, and steps delivered, within {FAULT_WINDOW_S:.0f} '
            's after the fault.</p>',
            table([*fault_head, 'longest step, s'], self.fault_rows()),
        ]
        return '\n'.join(parts)


def table(head: list[str], rows: list[list[str]]) -> str:
    """Return an HTML table; rows of violated guarantees are highlighted."""
    lines = ['<table><tr>']
    lines += [f'<th>{html.escape(cell)}</th>' for cell in head]
    lines.append('</tr>')
    for row in rows:
        bad = head[-1] == 'broken' and row[-1] != '0'
        lines.append('<tr class="bad">' if bad else '<tr>')
        lines += [f'<td>{html.escape(cell)}</td>' for cell in row]
        lines.append('</tr>')
    lines.append('</table>')
    return ''.join(lines)


def write_report(folder: Path) -> Path:
    """Write report.html to the folder of a run and return its path."""
    data = (folder / 'record.json').read_bytes()
    record = msgspec.json.decode(data, type=RunRecord)
    target = folder / 'report.html'
    target.write_text(Page(record).html(folder.name))
    return target

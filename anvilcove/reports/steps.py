"""Timelines of the training steps, rebuilt from the logs of all hosts."""

from collections.abc import Callable, Iterable
from statistics import median

from msgspec import Struct, field

from anvilcove.reports.log_lines import LogRecord

# Items with fewer events spend most of their time on their prompts, so they
# do not show the pace of an engine.
MIN_EVENTS_FOR_PACE = 40


class ItemRun(Struct):
    """One run of an item on an engine, in Unix seconds."""

    endpoint: str
    started_s: float
    ended_s: float
    first_event: int
    last_event: int


class ItemTimeline(Struct):
    """Timeline of a finished item; `events` is its true length."""

    item_id: str
    group: str
    endpoint: str
    hint: int
    events: int
    attempts: int
    completed: bool
    waited_s: float
    generated_s: float
    reward_s: float
    finished_s: float
    committed_s: float = 0.0
    runs: list[ItemRun] = field(default_factory=list)

    @property
    def started_s(self) -> float:
        """Return when the item was given to its owner's queue."""
        return self.finished_s - self.reward_s - self.generated_s


class StepTimeline(Struct):
    """Timeline of one step; times are Unix seconds, 0 if not logged."""

    job_id: str
    model: str
    step: int
    min_version: int
    accepted_s: float
    items: int
    target_groups: int = 0
    owners: list[str] = field(default_factory=list)
    first_owned_s: float = 0.0
    last_commit_s: float = 0.0
    last_read_s: float = 0.0
    ended_s: float = 0.0
    # When the next version of the model was named after the end.
    named_s: float = 0.0
    item_by_id: dict[str, ItemTimeline] = field(default_factory=dict)

    def group_ends_s(self) -> dict[str, float]:
        """Return when each group's last known item was committed."""
        ends: dict[str, float] = {}
        for item in self.item_by_id.values():
            if item.committed_s:
                known = ends.get(item.group, 0.0)
                ends[item.group] = max(known, item.committed_s)
        return ends

    def decisive_item(self) -> ItemTimeline | None:
        """Return the item whose commit was the last before the end."""
        end_s = self.ended_s or self.last_commit_s
        done = [
            item
            for item in self.item_by_id.values()
            if 0 < item.committed_s <= end_s
        ]
        return max(done, key=lambda item: item.committed_s, default=None)


class LogTimelines(Struct):
    """All steps, version loads and engine paces that the logs show."""

    steps: list[StepTimeline] = field(default_factory=list)
    # (endpoint, model, version, time of the accepted order)
    loads: list[tuple[str, str, int, float]] = field(default_factory=list)
    # Seconds per event of each engine, from its long uninterrupted items.
    pace_by_endpoint: dict[str, float] = field(default_factory=dict)


def build_timelines(records: Iterable[LogRecord]) -> LogTimelines:
    """Build the timelines from log records in order of time."""
    builder = _Builder()
    for record in records:
        handler = _HANDLERS.get(record.get('message', ''))
        if handler is not None:
            handler(builder, record)
    return builder.finish()


class _Builder:
    """Collects the timelines record by record."""

    def __init__(self) -> None:
        """Start without records."""
        self.step_by_job: dict[str, StepTimeline] = {}
        self.named_s: dict[tuple[str, int], float] = {}
        self.loads: list[tuple[str, str, int, float]] = []

    def on_accepted(self, record: LogRecord) -> None:
        job_id = record['job']
        if job_id not in self.step_by_job:
            self.step_by_job[job_id] = StepTimeline(
                job_id=job_id,
                model=record['model'],
                step=record['step'],
                min_version=record['min_version'],
                accepted_s=record['at_s'],
                items=record['items'],
                target_groups=record.get('target_groups', 0),
            )
            if record['owner'] == record['host']:
                self.on_taken_over(record)

    def on_taken_over(self, record: LogRecord) -> None:
        step = self.step_by_job.get(record['job'])
        if step is not None:
            step.owners.append(record['host'])
            step.first_owned_s = step.first_owned_s or record['at_s']

    def on_finished(self, record: LogRecord) -> None:
        step = self.step_by_job.get(record['job'])
        if step is None:
            return
        at_s = record['at_s']
        runs = [
            ItemRun(endpoint, at_s - ago_ms / 1000, at_s - end_ms / 1000, *ev)
            for endpoint, ago_ms, end_ms, *ev in record.get('runs', [])
        ]
        step.item_by_id[record['request']] = ItemTimeline(
            item_id=record['request'],
            group=record['group'],
            endpoint=record['endpoint'],
            hint=record['hint'],
            events=record['events'],
            attempts=record['attempts'],
            completed=record['completed'],
            waited_s=record['waited_ms'] / 1000,
            generated_s=record['generated_ms'] / 1000,
            reward_s=record['reward_ms'] / 1000,
            finished_s=at_s,
            runs=runs,
        )

    def on_committed(self, record: LogRecord) -> None:
        step = self.step_by_job.get(record['job'])
        if step is None:
            return
        step.last_commit_s = record['at_s']
        for item_id in record['items']:
            if item_id in step.item_by_id:
                step.item_by_id[item_id].committed_s = record['at_s']

    def on_read(self, record: LogRecord) -> None:
        step = self.step_by_job.get(record['job'])
        if step is not None and record['results']:
            step.last_read_s = record['at_s']

    def on_end(self, record: LogRecord) -> None:
        step = self.step_by_job.get(record['job'])
        if step is not None and not step.ended_s:
            step.ended_s = record['at_s']

    def on_named(self, record: LogRecord) -> None:
        key = (record['model'], record['version'])
        self.named_s.setdefault(key, record['at_s'])

    def on_order(self, record: LogRecord) -> None:
        if record['outcome'] == 'carried out':
            self.loads.append(
                (
                    record['endpoint'],
                    record['model'],
                    record['version'],
                    record['at_s'],
                )
            )

    def finish(self) -> LogTimelines:
        """Return the timelines, steps in order of their acceptance."""
        steps = sorted(
            self.step_by_job.values(), key=lambda step: step.accepted_s
        )
        for step in steps:
            # The first named version is 2 and follows step 0.
            step.named_s = self.named_s.get((step.model, step.step + 2), 0.0)
        return LogTimelines(steps, self.loads, _paces(steps))


_HANDLERS: dict[str, Callable[[_Builder, LogRecord], None]] = {
    'job accepted': _Builder.on_accepted,
    'job taken over': _Builder.on_taken_over,
    'item finished': _Builder.on_finished,
    'results committed': _Builder.on_committed,
    'results read': _Builder.on_read,
    'job end stored': _Builder.on_end,
    'version named': _Builder.on_named,
    'version order': _Builder.on_order,
}


def _paces(steps: list[StepTimeline]) -> dict[str, float]:
    """Return the seconds per event of each engine, from long single runs."""
    samples: dict[str, list[float]] = {}
    for step in steps:
        for item in step.item_by_id.values():
            for run in item.runs:
                events = run.last_event - run.first_event + 1
                if len(item.runs) == 1 and events >= MIN_EVENTS_FOR_PACE:
                    seconds = (run.ended_s - run.started_s) / events
                    samples.setdefault(run.endpoint, []).append(seconds)
    return {endpoint: median(s) for endpoint, s in samples.items()}

"""Rows of the step report: how the time of each step divides."""

from msgspec import Struct

from anvilcove.reports.step_bound import step_bound_s
from anvilcove.reports.steps import ItemTimeline, LogTimelines, StepTimeline


class DecisiveItem(Struct):
    """The last item of a step that its trainer waited for."""

    item_id: str
    endpoint: str
    hint: int
    events: int
    runs: int
    waited_s: float
    # Events times the usual pace of its last engine.
    at_pace_s: float
    # Generation beyond that: moves, repeats, loads of versions, slower runs.
    beyond_pace_s: float
    reward_s: float
    # From the end of the item to its commit.
    commit_s: float


class StepRow(Struct):
    """One step; times are seconds from the first step, or durations."""

    model: str
    step: int
    job_id: str
    asked_s: float
    owners: int
    # From the ask to the start of its first run.
    start_s: float
    # From the ask to the last commit before its end.
    generated_s: float
    # From the last commit to the end by the trainer.
    read_s: float
    # From the end to the next version, 0 if none was named.
    training_s: float
    # Shortest time to generate it, with hindsight, and what it took longer.
    bound_s: float
    beyond_bound_s: float
    groups_s: list[float]
    decisive: DecisiveItem | None


def step_rows(timelines: LogTimelines) -> list[StepRow]:
    """Return the rows of all steps, by trainer and step."""
    if not timelines.steps:
        return []
    origin_s = timelines.steps[0].accepted_s
    rows = [_row(step, timelines, origin_s) for step in timelines.steps]
    return sorted(rows, key=lambda row: (row.model, row.step))


def _row(
    step: StepTimeline, timelines: LogTimelines, origin_s: float
) -> StepRow:
    item = step.decisive_item()
    generated_s = item.committed_s - step.accepted_s if item else 0.0
    bound_s = step_bound_s(step, timelines.pace_by_endpoint)
    ends = sorted(step.group_ends_s().values())
    return StepRow(
        model=step.model,
        step=step.step,
        job_id=step.job_id,
        asked_s=round(step.accepted_s - origin_s, 3),
        owners=len(step.owners),
        start_s=_duration_s(step.accepted_s, step.first_owned_s),
        generated_s=round(generated_s, 3),
        read_s=_duration_s(item.committed_s if item else 0.0, step.ended_s),
        training_s=_duration_s(step.ended_s, step.named_s),
        bound_s=round(bound_s, 3),
        beyond_bound_s=round(max(generated_s - bound_s, 0.0), 3),
        groups_s=[round(end - step.accepted_s, 3) for end in ends],
        decisive=_decisive(item, timelines) if item else None,
    )


def _duration_s(start_s: float, end_s: float) -> float:
    return round(max(end_s - start_s, 0.0), 3) if start_s and end_s else 0.0


def _decisive(item: ItemTimeline, timelines: LogTimelines) -> DecisiveItem:
    pace_s = timelines.pace_by_endpoint.get(item.endpoint, 0.0)
    at_pace_s = item.events * pace_s
    running_s = item.generated_s - item.waited_s
    return DecisiveItem(
        item_id=item.item_id,
        endpoint=item.endpoint,
        hint=item.hint,
        events=item.events,
        runs=item.attempts,
        waited_s=round(item.waited_s, 3),
        at_pace_s=round(at_pace_s, 3),
        beyond_pace_s=round(max(running_s - at_pace_s, 0.0), 3),
        reward_s=round(item.reward_s, 3),
        commit_s=round(item.committed_s - item.finished_s, 3),
    )


def beyond_bound_by_model(rows: list[StepRow]) -> dict[str, float]:
    """Return the seconds that each trainer waited beyond the bounds."""
    total: dict[str, float] = {}
    for row in rows:
        total[row.model] = total.get(row.model, 0.0) + row.beyond_bound_s
    return {model: round(seconds, 3) for model, seconds in total.items()}


def as_lines(rows: list[StepRow]) -> list[str]:
    """Format the rows as a table."""
    lines = [
        'model        step  asked owners start   made  bound beyond  read '
        'train  last item: events hint runs waited at-pace beyond'
    ]
    for row in rows:
        text = (
            f'{row.model[:12]:12} {row.step:4} {row.asked_s:6.2f} '
            f'{row.owners:6} {row.start_s:5.2f} {row.generated_s:6.2f} '
            f'{row.bound_s:6.2f} {row.beyond_bound_s:6.2f} '
            f'{row.read_s:5.2f} {row.training_s:5.2f}'
        )
        item = row.decisive
        if item is not None:
            text += (
                f'  {item.events:6} {item.hint:6} {item.runs:4} '
                f'{item.waited_s:6.2f} {item.at_pace_s:6.2f} '
                f'{item.beyond_pace_s:6.2f}'
            )
        lines.append(text)
    for model, seconds in sorted(beyond_bound_by_model(rows).items()):
        lines.append(f'{model}: {seconds:.1f} s beyond the bounds')
    return lines

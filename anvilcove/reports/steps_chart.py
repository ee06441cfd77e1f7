"""Chart of the engines and steps over time."""

from pathlib import Path

from matplotlib import use

from anvilcove.reports.steps import LogTimelines

use('Agg')

from matplotlib import pyplot  # noqa: E402

LOAD_TIME_S = 0.9
BAR_HEIGHT = 0.8


def write_chart(timelines: LogTimelines, path: Path) -> None:
    """Write a Gantt chart as PNG.

    Rows are engines, with their runs by model and the loads of versions in
    black, and trainers, with the time from the ask to the end of each step.
    """
    models = sorted({step.model for step in timelines.steps})
    colour_by_model = {model: f'C{i}' for i, model in enumerate(models)}
    origin_s = timelines.steps[0].accepted_s
    engines = sorted(
        {
            run.endpoint
            for step in timelines.steps
            for item in step.item_by_id.values()
            for run in item.runs
        }
    )
    rows = engines + [f'trainer {model}' for model in models]
    row_by_name = {name: number for number, name in enumerate(rows)}
    figure, axis = pyplot.subplots(
        figsize=(16, 1 + 0.5 * len(rows)), layout='constrained'
    )
    for step in timelines.steps:
        colour = colour_by_model[step.model]
        for item in step.item_by_id.values():
            for run in item.runs:
                axis.barh(
                    row_by_name[run.endpoint],
                    run.ended_s - run.started_s,
                    left=run.started_s - origin_s,
                    height=BAR_HEIGHT,
                    color=colour,
                    alpha=0.15,
                )
        end_s = step.ended_s or step.last_commit_s or step.accepted_s
        axis.barh(
            row_by_name[f'trainer {step.model}'],
            end_s - step.accepted_s,
            left=step.accepted_s - origin_s,
            height=BAR_HEIGHT,
            color=colour,
            alpha=0.4,
        )
    for endpoint, _, _, at_s in timelines.loads:
        if endpoint in row_by_name:
            axis.barh(
                row_by_name[endpoint],
                LOAD_TIME_S,
                left=at_s - origin_s,
                height=BAR_HEIGHT / 4,
                color='black',
            )
    axis.set_yticks(range(len(rows)), rows)
    axis.invert_yaxis()
    axis.set_xlabel('seconds from the first step')
    figure.savefig(path)
    pyplot.close(figure)

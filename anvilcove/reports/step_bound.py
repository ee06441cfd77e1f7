"""Lower bound of a step's duration, with hindsight."""

from anvilcove.reports.steps import StepTimeline

# Time from a step's acceptance to the first event of its first item: storing
# the job, starting its run, and reading one prompt.
START_OVERHEAD_S = 0.1


def step_bound_s(
    step: StepTimeline, pace_by_endpoint: dict[str, float]
) -> float:
    """Return the shortest time in which the groups could have been made.

    The true lengths are known, every item starts at once on the fastest
    engine, and the groups that take longest are left out where the trainer
    waits for fewer than all. Returns 0 without a finished item.
    """
    if not pace_by_endpoint or not step.item_by_id:
        return 0.0
    pace_s = min(pace_by_endpoint.values())
    longest: dict[str, int] = {}
    for item in step.item_by_id.values():
        longest[item.group] = max(longest.get(item.group, 0), item.events)
    needed = min(step.target_groups or len(longest), len(longest))
    return START_OVERHEAD_S + sorted(longest.values())[needed - 1] * pace_s

"""Load of each service by the rows of its batch jobs."""

from anvilcove.control.desired import DesiredState, DesiredStateView, Route
from anvilcove.decisions.service_choice import service_shares
from anvilcove.decisions.service_demand import DEMAND_MEMORY_S, JobLoad
from anvilcove.jobs.board import JobsView
from anvilcove.jobs.types import JobHead


class JobLoads:
    """Loads of the jobs that this daemon knows."""

    __slots__ = ('_jobs_view', '_desired')

    def __init__(self, jobs_view: JobsView, desired: DesiredStateView) -> None:
        """Read the view and the desired state at each call."""
        self._jobs_view = jobs_view
        self._desired = desired

    def by_service(self) -> dict[str, list[JobLoad]]:
        """Return the recent or open jobs of each service."""
        state = self._desired.current
        found: dict[str, list[JobLoad]] = {}
        if state is None:
            return found
        for job_id, job in self._jobs_view.by_id.items():
            head = job.head
            open_job = (
                not head.finished and job_id not in self._jobs_view.ended
            )
            age_s = self._jobs_view.age_s(head)
            if open_job or age_s <= DEMAND_MEMORY_S:
                _add(found, state, head, age_s, open_job)
        return found

    def models_in_use(self) -> set[str]:
        """Return the models of the open jobs."""
        return {
            job.head.model
            for job_id, job in self._jobs_view.by_id.items()
            if not job.head.finished and job_id not in self._jobs_view.ended
        }


def _add(
    found: dict[str, list[JobLoad]],
    state: DesiredState,
    head: JobHead,
    age_s: float,
    open_job: bool,
) -> None:
    """Add the load of a job to the services of its route, by weight."""
    route: Route | None = state.find_route(head.host, head.path)
    if route is None or route.job is None:
        return
    for service, share in service_shares(route.targets).items():
        found.setdefault(service, []).append(
            JobLoad(
                head.job_id,
                round(head.tokens * share),
                round(head.listed * share),
                round(head.total * share),
                age_s,
                route.job.result_objective_s,
                open_job,
            )
        )

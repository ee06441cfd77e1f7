"""Shares of workspaces among the samples that wait for engines."""

from anvilcove.commands.requests.workspace_shares import WorkspaceShares
from anvilcove.decisions.shares import SharePolicy, WeightedShares
from anvilcove.decisions.types import PRIORITY_BY_KIND, TRAINER
from anvilcove.state.steps import StepRun


class StepShares:
    """Shares of the tokens that the engines of each pool generate.

    They decide between workspaces; the policy `groups` decides between the
    steps of one workspace.
    """

    __slots__ = ('_shares', '_policy_by_pool')

    def __init__(self, shares: WorkspaceShares) -> None:
        """Start without charges."""
        self._shares = shares
        self._policy_by_pool: dict[str, SharePolicy] = {}

    def enabled(self) -> bool:
        """Tell whether the class declarations have workspaces."""
        return self._shares.enabled()

    def next_workspace(self, pool: str, runs: list[StepRun]) -> list[StepRun]:
        """Return the steps whose workspace is next, all without shares.

        `runs` are the steps with a sample that may start; there is at least
        one.
        """
        if not self.enabled():
            self._policy_by_pool.clear()
            return runs
        policy = self._policy_by_pool.setdefault(pool, WeightedShares())
        priority = policy.priority(self._priorities(runs))
        runs = [run for run in runs if self._priority(run) == priority]
        tags = [policy.start_tag(run.workspace, priority) for run in runs]
        first = min(tags)
        return [
            run for run, tag in zip(runs, tags, strict=True) if tag == first
        ]

    def started(
        self, pool: str, run: StepRun, tokens: float, waiting: list[StepRun]
    ) -> None:
        """Charge the expected tokens of a sample that has got a slot.

        `waiting` are the steps whose samples wait.
        """
        policy = self._policy_by_pool.get(pool)
        if policy is None:
            return
        priority = self._priority(run)
        policy.started(
            run.workspace,
            self._shares.weight(run.workspace),
            tokens,
            policy.start_tag(run.workspace, priority),
            priority,
            self._priorities([run, *waiting]),
        )

    def _priority(self, run: StepRun) -> int:
        of_class = PRIORITY_BY_KIND[TRAINER]
        return self._shares.priority(run.workspace, of_class)

    def _priorities(self, runs: list[StepRun]) -> tuple[int, ...]:
        return tuple({self._priority(run) for run in runs})

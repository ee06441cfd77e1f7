"""Training steps whose lease this daemon holds, with their samples."""

import asyncio
from collections import deque

from anvilcove.messages.callers import VersionRange
from anvilcove.messages.steps import StepRow
from anvilcove.messages.trainers import GroupSpec, Sample, SubmitStep

StepId = tuple[str, int]


def oldest_version(versions: list[VersionRange]) -> int | None:
    """Return the oldest weight version, None for an empty list."""
    return min((item.version for item in versions), default=None)


class Attempt:
    """One attempt to generate a sample at one endpoint.

    The first `resumed` tokens come from an earlier attempt. `versions` gives
    the weight version of each range of tokens. `ended` is set once the
    generation is complete.
    """

    __slots__ = (
        'request_id',
        'endpoint',
        'tokens',
        'versions',
        'resumed',
        'started_at_s',
        'first_token_at_s',
        'last_token_at_s',
        'ended',
        'task',
    )

    def __init__(self, request_id: str, endpoint: str, now: float) -> None:
        """Create an attempt without tokens."""
        self.request_id = request_id
        self.endpoint = endpoint
        self.tokens: list[str] = []
        self.versions: list[VersionRange] = []
        self.resumed = 0
        self.started_at_s = now
        self.first_token_at_s = now
        self.last_token_at_s = now
        self.ended = False
        self.task: asyncio.Task[None] | None = None

    def resume(self, tokens: list[str], versions: list[VersionRange]) -> None:
        """Copy the tokens of an earlier attempt, to continue after them."""
        self.tokens = list(tokens)
        self.versions = [
            VersionRange(version=v.version, start=v.start, end=v.end)
            for v in versions
        ]
        self.resumed = len(tokens)

    def add(self, text: str, version: int, now: float) -> None:
        """Append a token and the weight version that produced it."""
        position = len(self.tokens)
        if position == self.resumed:
            self.first_token_at_s = now
        self.tokens.append(text)
        self.last_token_at_s = now
        if self.versions and self.versions[-1].version == version:
            self.versions[-1].end = position + 1
        else:
            self.versions.append(
                VersionRange(version=version, start=position, end=position + 1)
            )

    def progress(self) -> tuple[int, float]:
        """Return the number of tokens after the first and their seconds.

        Tokens of earlier attempts are not counted. The time before the first
        token is left out, because it is mostly spent in the engine's queue.
        """
        produced = len(self.tokens) - self.resumed
        return max(
            0, produced - 1
        ), self.last_token_at_s - self.first_token_at_s


class SampleRun:
    """State of one sample: running attempts, tokens to resume, result.

    `attempt_count` is the number of attempts started, `failure_count` of those
    that failed and `move_count` of those moved off a slow engine; `is_moving`
    is set during a move. `queued` is set while the sample waits to start or
    for a slot. `failed_endpoints` holds the endpoint of the last failed
    attempt, and those of the ones before that brought no token either;
    `failing` tells that the last one brought none.
    """

    __slots__ = (
        'group',
        'index',
        'result',
        'attempts',
        'attempt_count',
        'failure_count',
        'move_count',
        'is_moving',
        'queued',
        'tokens',
        'versions',
        'failed_endpoints',
        'failing',
    )

    def __init__(self, group: GroupSpec, index: int) -> None:
        """Create a sample without attempts."""
        self.group = group
        self.index = index
        self.result: Sample | None = None
        self.attempts: list[Attempt] = []
        self.attempt_count = 0
        self.failure_count = 0
        self.move_count = 0
        self.is_moving = False
        self.queued = False
        self.tokens: list[str] = []
        self.versions: list[VersionRange] = []
        self.failed_endpoints: set[str] = set()
        self.failing = False

    def keep_tokens(self, attempt: Attempt) -> None:
        """Keep the tokens of a failed attempt if they are the most so far."""
        if len(attempt.tokens) > len(self.tokens):
            self.tokens = attempt.tokens
            self.versions = attempt.versions

    def discard_tokens(self) -> None:
        """Discard the kept tokens, to start again from the prompt."""
        self.tokens = []
        self.versions = []


class StepRun:
    """State of one training step that this daemon holds.

    `row` and `revision` are those of the step in the table. `pending` are the
    samples that wait to start. `complete` is set while every sample has a
    result; `stopped` is set once the daemon no longer runs the step.
    `missing_by_group` and `missing_count` count the samples without a result.
    """

    __slots__ = (
        'body',
        'row',
        'revision',
        'samples',
        'pending',
        'lock',
        'complete',
        'stopped',
        'waiting_since_s',
        'opened_at_s',
        'renewed_at_s',
        'tasks',
        'stored_batch_digest',
        'missing_by_group',
        'content_hash_by_group',
        'missing_count',
        'workspace',
    )

    def __init__(
        self,
        body: SubmitStep,
        row: StepRow,
        revision: int,
        now: float,
        workspace: str = '',
    ) -> None:
        """Create a step whose samples have no results."""
        # Workspace of its trainer, '' for none.
        self.workspace = workspace
        self.body = body
        self.row = row
        self.revision = revision
        self.samples = [
            SampleRun(group, index)
            for group in body.groups
            for index in range(group.samples)
        ]
        self.pending: deque[SampleRun] = deque()
        self.lock = asyncio.Lock()
        self.complete = asyncio.Event()
        self.stopped = False
        self.waiting_since_s: float | None = None
        self.opened_at_s = now
        self.renewed_at_s = now
        self.tasks: set[asyncio.Task[None]] = set()
        self.stored_batch_digest = ''
        self.missing_by_group = {
            group.group: group.samples for group in body.groups
        }
        self.content_hash_by_group: dict[str, str] = {}
        self.missing_count = len(self.samples)

    @property
    def step_id(self) -> StepId:
        """Return the trainer and the step number."""
        return (self.body.trainer, self.body.step)

    def sample_id(self, sample: SampleRun) -> str:
        """Return `trainer/step/epoch/group/index`, as sent to the trainer."""
        body = self.body
        return (
            f'{body.trainer}/{body.step}/{self.row.epoch}/'
            f'{sample.group.group}/{sample.index}'
        )

    def set_result(self, sample: SampleRun, result: Sample) -> None:
        """Set the result of a sample."""
        if sample.result is None:
            self.missing_by_group[sample.group.group] -= 1
            self.missing_count -= 1
        sample.result = result
        if self.missing_count == 0:
            self.complete.set()

    def apply_results(self, results: list[Sample]) -> None:
        """Set the results that an earlier holder stored.

        Identifiers contain the epoch, so results of other epochs are ignored.
        """
        by_id = {result.sample_id: result for result in results}
        for sample in self.samples:
            result = by_id.get(self.sample_id(sample))
            if result is not None:
                self.set_result(sample, result)

    def clear_result(self, sample: SampleRun) -> None:
        """Remove the result of a sample."""
        if sample.result is not None:
            self.missing_by_group[sample.group.group] += 1
            self.missing_count += 1
        sample.result = None
        self.complete.clear()

    def stale_samples(self, newest: int) -> list[SampleRun]:
        """Return the finished samples that exceed the staleness bound.

        `newest` is the newest weight version.
        """
        return [
            sample
            for sample in self.samples
            if sample.result is not None
            and is_stale(sample.result.versions, newest, self.row.bound)
        ]

    def oldest(self) -> int | None:
        """Return the oldest weight version in the finished samples."""
        return oldest_version(
            [
                item
                for sample in self.samples
                if sample.result is not None
                for item in sample.result.versions
            ]
        )


def is_stale(versions: list[VersionRange], newest: int, bound: int) -> bool:
    """Return whether a token is more than `bound` versions behind."""
    oldest = oldest_version(versions)
    return oldest is not None and newest - oldest > bound


class StepRegistry:
    """Registry of the steps that this daemon holds."""

    __slots__ = ('by_id',)

    def __init__(self) -> None:
        """Create an empty registry."""
        self.by_id: dict[StepId, StepRun] = {}

    def add(self, run: StepRun) -> None:
        """Register a step."""
        self.by_id[run.step_id] = run

    def get(self, trainer: str, step: int) -> StepRun | None:
        """Return a step, None if this daemon does not hold it."""
        return self.by_id.get((trainer, step))

    def remove(self, run: StepRun) -> None:
        """Remove a step, unless its entry was replaced."""
        if self.by_id.get(run.step_id) is run:
            del self.by_id[run.step_id]

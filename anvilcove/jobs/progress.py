"""Generation progress of one item of a batch job."""

from collections.abc import Awaitable, Callable, Collection

from msgspec import Struct

from anvilcove.jobs.types import Item, ItemFailures, ItemResult, TextPart
from anvilcove.ports.engines import TokenEvent

# Failures after which an item is given up, whichever engines report them, as a
# multiple of the attempts of its route. One less leaves room for an answer
# that was lost.
MAX_FAILURE_FACTOR = 3


class ItemRun(Struct):
    """One run of an item at an engine; events are numbered from 1."""

    endpoint: str
    started_at_s: float
    ended_at_s: float
    first_event: int
    last_event: int


class ItemProgress:
    """Generated text of an item and the outcomes of its attempts."""

    __slots__ = (
        'item',
        'content',
        'texts',
        'versions',
        'software',
        'was_reset',
        'attempts',
        'failing',
        'refusals',
        'failures',
        'reward_failed_at',
        'store_failures',
        'endpoint',
        'moves',
        'long_item',
        'expected_events',
        'runs',
        'started_at_s',
        'waited_s',
        'generated_at_s',
    )

    def __init__(self, item: Item, started_at_s: float) -> None:
        """Start without generated text."""
        self.item = item
        # Hash of the request that generates the text.
        self.content = ''
        self.started_at_s = started_at_s
        # Total time spent waiting for engine slots.
        self.waited_s = 0.0
        # When the text was complete.
        self.generated_at_s = started_at_s
        self.endpoint = ''
        self.moves = 0
        # Whether the item will probably decide when its step ends, and its
        # length by its hint, 0 if unknown.
        self.long_item = False
        self.expected_events = 0.0
        self.runs: list[ItemRun] = []
        self.texts: list[str] = []
        self.versions: list[int] = []
        # Software version of the engines that generated the text, None if it
        # is unknown or there is no text.
        self.software: str | None = None
        # Whether the text was discarded; its checkpoints then no longer match.
        self.was_reset = False
        self.attempts = 0
        # Whether the last run failed without a new event.
        self.failing = False
        # Refusals since it last brought an event.
        self.refusals = 0
        # Failures that were reported to this owner of the job or to earlier
        # ones.
        self.failures = ItemFailures(item.item_id)
        # Endpoint of each failure of the reward call that this owner saw.
        self.reward_failed_at: list[str] = []
        # Stores the failures so that they outlast this daemon.
        self.store_failures: Callable[[], Awaitable[None]] | None = None

    def append(self, event: TokenEvent) -> None:
        """Append the text of an event and record its weight version."""
        self.texts.append(event.text)
        if event.version not in self.versions:
            self.versions.append(event.version)

    def restore(self, part: TextPart) -> None:
        """Continue from a checkpoint of an earlier owner."""
        self.texts = list(part.texts)
        self.versions = list(part.versions)
        self.software = part.software

    async def record_failure(self, endpoint: str) -> None:
        """Count an answer that reported a failed item, and store the count."""
        self.failures.runs += 1
        self.failures.endpoints.add(endpoint)
        if self.store_failures is not None:
            await self.store_failures()

    async def record_reward_failures(self, endpoints: list[str]) -> None:
        """Count answers that reported a failed reward call, and store them."""
        self.failures.reward_calls += len(endpoints)
        self.reward_failed_at += endpoints
        if endpoints and self.store_failures is not None:
            await self.store_failures()

    def failures_exhausted(
        self, max_attempts: int, sound: Collection[str]
    ) -> bool:
        """Tell whether the item failed too often to be tried again.

        Failures at `max_attempts` of the `sound` engines, which complete most
        of their runs, point to the item. With fewer such engines it has to
        fail at all of them, twice as often in total. An item that only fails
        at others is given up before it is answered 500 for the third time
        `max_attempts` times.
        """
        runs = self.failures.runs
        if runs < max_attempts:
            return False
        failed = sum(e in sound for e in self.failures.endpoints)
        if failed >= max_attempts:
            return True
        if runs >= 2 * max_attempts and sound and failed == len(sound):
            return True
        return runs >= MAX_FAILURE_FACTOR * max_attempts - 1

    def reward_exhausted(
        self, max_attempts: int, is_sound: Callable[[str], bool | None]
    ) -> bool | None:
        """Tell whether the reward call failed too often to be sent again.

        Failures at sound servers point to the call. One that only fails at
        others is given up, like an item, after more failures. None if it
        depends on servers of which no run is known yet.
        """
        limit = MAX_FAILURE_FACTOR * max_attempts - 1
        if self.failures.reward_calls >= limit:
            return True
        verdicts = [is_sound(endpoint) for endpoint in self.reward_failed_at]
        if verdicts.count(True) >= max_attempts:
            return True
        possible = len(verdicts) - verdicts.count(False)
        return None if possible >= max_attempts else False

    def reset(self) -> None:
        """Discard the generated text."""
        self.texts = []
        self.versions = []
        self.software = None
        self.was_reset = True

    def generation_time_s(self) -> float:
        """Return the time from start to the complete text, less slot waits."""
        return self.generated_at_s - self.started_at_s - self.waited_s

    def runs_until(self, now: float) -> list[tuple[str, int, int, int, int]]:
        """Return the runs for the log.

        Each is the endpoint, the milliseconds from its start and from its end
        to `now`, and its first and last event.
        """
        return [
            (
                run.endpoint,
                round((now - run.started_at_s) * 1000),
                round((now - run.ended_at_s) * 1000),
                run.first_event,
                run.last_event,
            )
            for run in self.runs
        ]

    def completed_result(self, score: str) -> ItemResult:
        """Return the result of a completed item."""
        return ItemResult(
            item_id=self.item.item_id,
            completed=True,
            output='\n'.join(self.texts),
            versions=list(self.versions),
            score=score,
        )

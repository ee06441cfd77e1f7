"""Generation progress of one item of a batch job."""

from anvilcove.jobs.types import Item, ItemResult, TextPart
from anvilcove.ports.engines import TokenEvent


class ItemProgress:
    """Generated text of an item and the outcomes of its attempts."""

    __slots__ = (
        'item',
        'texts',
        'versions',
        'was_reset',
        'attempts',
        'failures',
        'failed_endpoints',
        'reward_failures',
        'endpoint',
        'moves',
        'started_at_s',
        'waited_s',
        'generated_at_s',
    )

    def __init__(self, item: Item, started_at_s: float) -> None:
        """Start without generated text."""
        self.item = item
        self.started_at_s = started_at_s
        # Total time spent waiting for engine slots.
        self.waited_s = 0.0
        # When the text was complete.
        self.generated_at_s = started_at_s
        self.endpoint = ''
        self.moves = 0
        self.texts: list[str] = []
        self.versions: list[int] = []
        # Whether the text was discarded; its checkpoints then no longer match.
        self.was_reset = False
        self.attempts = 0
        # Number of answers that reported a failed item, and their endpoints.
        self.failures = 0
        self.failed_endpoints: set[str] = set()
        self.reward_failures = 0

    def append(self, event: TokenEvent) -> None:
        """Append the text of an event and record its weight version."""
        self.texts.append(event.text)
        if event.version not in self.versions:
            self.versions.append(event.version)

    def restore(self, part: TextPart) -> None:
        """Continue from a checkpoint of an earlier owner."""
        self.texts = list(part.texts)
        self.versions = list(part.versions)

    def record_failure(self, endpoint: str) -> None:
        """Record an answer that reported a failed item."""
        self.failures += 1
        self.failed_endpoints.add(endpoint)

    def failures_exhausted(self, max_attempts: int) -> bool:
        """Tell whether the item failed too often to be tried again.

        Failures at `max_attempts` different endpoints point to the item and
        not to an engine. With fewer endpoints the limit is twice as high.
        """
        if self.failures < max_attempts:
            return False
        if len(self.failed_endpoints) >= max_attempts:
            return True
        return self.failures >= 2 * max_attempts

    def reset(self) -> None:
        """Discard the generated text."""
        self.texts = []
        self.versions = []
        self.was_reset = True

    def generation_time_s(self) -> float:
        """Return the time from start to the complete text, less slot waits."""
        return self.generated_at_s - self.started_at_s - self.waited_s

    def completed_result(self, score: str) -> ItemResult:
        """Return the result of a completed item."""
        return ItemResult(
            item_id=self.item.item_id,
            completed=True,
            output='\n'.join(self.texts),
            versions=list(self.versions),
            score=score,
        )

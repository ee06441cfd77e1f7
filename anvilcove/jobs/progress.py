"""Progress of one item."""

from anvilcove.jobs.types import Item, ItemResult, TextPart
from anvilcove.ports.engines import TokenEvent


class ItemProgress:
    """The text of an item so far and what its attempts came to."""

    __slots__ = (
        'item',
        'texts',
        'versions',
        'restarted',
        'attempts',
        'failures',
        'failed_endpoints',
        'reward_failures',
        'endpoint',
        'moves',
        'started_s',
        'waited_s',
        'generated_s',
    )

    def __init__(self, item: Item, started_s: float) -> None:
        """Start without text."""
        self.item = item
        self.started_s = started_s
        # Time spent waiting for a slot, and when the text was whole.
        self.waited_s = 0.0
        self.generated_s = started_s
        self.endpoint = ''
        self.moves = 0
        self.texts: list[str] = []
        self.versions: list[int] = []
        # Whether a text was dropped: what was kept of it is another run's.
        self.restarted = False
        self.attempts = 0
        # Answers that said that the item failed, and where they came from.
        self.failures = 0
        self.failed_endpoints: set[str] = set()
        self.reward_failures = 0

    def add(self, event: TokenEvent) -> None:
        """Append an event."""
        self.texts.append(event.text)
        if event.version not in self.versions:
            self.versions.append(event.version)

    def resume(self, part: TextPart) -> None:
        """Go on with a text that an earlier owner kept."""
        self.texts = list(part.texts)
        self.versions = list(part.versions)

    def failed_at(self, endpoint: str) -> None:
        """Note an answer that says that the item failed."""
        self.failures += 1
        self.failed_endpoints.add(endpoint)

    def failed_everywhere(self, max_attempts: int) -> bool:
        """Tell whether the item, rather than an engine, is at fault."""
        if self.failures < max_attempts:
            return False
        if len(self.failed_endpoints) >= max_attempts:
            return True
        return self.failures >= 2 * max_attempts

    def restart(self) -> None:
        """Drop the text."""
        self.texts = []
        self.versions = []
        self.restarted = True

    def run_s(self) -> float:
        """Return how long the text was being made."""
        return self.generated_s - self.started_s - self.waited_s

    def completed(self, score: str) -> ItemResult:
        """Return the result of the whole text."""
        return ItemResult(
            item_id=self.item.item_id,
            completed=True,
            output='\n'.join(self.texts),
            versions=list(self.versions),
            score=score,
        )

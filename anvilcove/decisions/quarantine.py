"""Quarantine of contents that crash the endpoints that run them."""

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import Allow, Isolate, Reject
from anvilcove.messages.peers import SuspectDigest
from anvilcove.settings.daemon import HostSettings

# Crashes after which a content is never run again.
REJECT_AFTER = 2
# Mark of a digest that carries the crashes forgiven by a completed run.
# Both kinds of count only grow, so that maxima merge in any order.
CLEARED = 'cleared:'
# Counts at most one open crash for all endpoints that could not be reached:
# a partition breaks the connections to many endpoints at once.
UNREACHABLE = 'unreachable'
REMEMBERED_CONTENTS = 4_096
GOSSIPED_DIGESTS = 64
# Crashes of a content that has not come back for this long are dropped.
FORGET_AFTER_S = 86_400.0


class ContentRecord:
    """Crashes and forgiven crashes of one content by endpoint."""

    __slots__ = ('crashes', 'cleared', 'at_s')

    def __init__(self) -> None:
        """Start without crashes."""
        self.crashes: dict[str, int] = {}
        self.cleared: dict[str, int] = {}
        self.at_s = 0.0

    def open_crashes(self) -> int:
        """Return the crashes that no completed run has forgiven."""
        return sum(
            max(count - self.cleared.get(endpoint, 0), 0)
            for endpoint, count in self.crashes.items()
        )


@policy('quarantine', 'content')
class ContentQuarantine:
    """Isolate a suspected content, reject it after its second crash."""

    __slots__ = ('_by_content',)

    def __init__(self, settings: HostSettings) -> None:
        """Start without suspects."""
        self._by_content: dict[str, ContentRecord] = {}

    def crashed(self, now: float, endpoint: str, contents: list[str]) -> None:
        """Count a crash against every content in flight there."""
        for content in contents:
            record = self._touch(now, content)
            record.crashes[endpoint] = record.crashes.get(endpoint, 0) + 1

    def finished(self, now: float, content: str) -> None:
        """Clear a content that ran to its end."""
        record = self._by_content.get(content)
        if record is not None and record.open_crashes():
            record = self._touch(now, content)
            for endpoint, count in record.crashes.items():
                known = record.cleared.get(endpoint, 0)
                record.cleared[endpoint] = max(count, known)

    def forgive(
        self, now: float, endpoint: str, contents: list[str], reachable: bool
    ) -> None:
        """Take back a crash; an unreachable endpoint leaves one suspicion."""
        for content in contents:
            record = self._by_content.get(content)
            if record is None:
                continue
            record.cleared[endpoint] = record.crashes.get(endpoint, 0)
            if not reachable:
                cleared = record.cleared.get(UNREACHABLE, 0)
                record.crashes[UNREACHABLE] = cleared + 1

    def verdict(self, now: float, content: str) -> Allow | Isolate | Reject:
        """Tell how a content may run."""
        record = self._by_content.get(content)
        if record is None or now - record.at_s > FORGET_AFTER_S:
            return Allow()
        crashes = record.open_crashes()
        if crashes == 0:
            return Allow()
        if crashes < REJECT_AFTER:
            return Isolate(crashes)
        return Reject(crashes)

    def merge(self, now: float, digests: list[SuspectDigest]) -> None:
        """Adopt the counts of a peer."""
        for digest in digests:
            cleared = digest.endpoint.startswith(CLEARED)
            endpoint = digest.endpoint.removeprefix(CLEARED)
            record = self._by_content.get(digest.content)
            counts = _counts(record, cleared)
            if counts.get(endpoint, 0) >= digest.crashes:
                continue
            record = self._touch(now, digest.content)
            _counts(record, cleared)[endpoint] = digest.crashes

    def digests(self, now: float) -> list[SuspectDigest]:
        """Return the counts to gossip, most recent first."""
        digests: list[SuspectDigest] = []
        for content, record in reversed(self._by_content.items()):
            if len(digests) >= GOSSIPED_DIGESTS:
                break
            for prefix, counts in (
                ('', record.crashes),
                (CLEARED, record.cleared),
            ):
                digests.extend(
                    SuspectDigest(
                        content=content,
                        endpoint=prefix + endpoint,
                        crashes=count,
                    )
                    for endpoint, count in counts.items()
                )
        return digests

    def _touch(self, now: float, content: str) -> ContentRecord:
        record = self._by_content.pop(content, None) or ContentRecord()
        record.at_s = now
        self._by_content[content] = record
        if len(self._by_content) > REMEMBERED_CONTENTS:
            del self._by_content[next(iter(self._by_content))]
        return record


def _counts(record: ContentRecord | None, cleared: bool) -> dict[str, int]:
    if record is None:
        return {}
    return record.cleared if cleared else record.crashes

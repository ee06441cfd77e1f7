"""Quarantine of request contents that crash endpoints."""

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import Allow, Isolate, Reject
from anvilcove.messages.peers import SuspectDigest
from anvilcove.settings.host import HostSettings

# Crashes after which a content is rejected, and after which it is rejected
# even if other contents may have caused these crashes.
REJECT_AFTER = 2
REJECT_ALWAYS_AFTER = 3
# Prefix of the endpoint in a digest that carries cleared crashes instead of
# crashes. A crash is cleared by a completed run or by `retract_crashes`. Both
# counts only grow, so peers merge them by maximum in any order.
CLEARED_PREFIX = 'cleared:'
# Key under which at most one open crash is counted for all endpoints that
# could not be reached: a partition breaks the connections to many endpoints at
# once.
UNREACHABLE_ENDPOINT = 'unreachable'
MAX_CONTENTS = 4_096
DIGEST_LIMIT = 64
# Crashes of a content are ignored when its record has not changed for this
# long.
FORGET_AFTER_S = 86_400.0
# A record without open crashes is dropped when all peers have learned of it.
DROP_CLEARED_AFTER_S = 60.0


class CrashRecord:
    """Counts of crashes and cleared crashes of one content by endpoint."""

    __slots__ = ('crashes', 'cleared', 'updated_at_s')

    def __init__(self) -> None:
        """Start without crashes."""
        self.crashes: dict[str, int] = {}
        self.cleared: dict[str, int] = {}
        self.updated_at_s = 0.0

    def open_crashes(self) -> int:
        """Return the number of crashes that were not cleared."""
        return sum(self.open_crashes_at(endpoint) for endpoint in self.crashes)

    def open_crashes_at(self, endpoint: str) -> int:
        """Return the number of crashes of an endpoint not cleared."""
        count = self.crashes.get(endpoint, 0) - self.cleared.get(endpoint, 0)
        return max(count, 0)


@policy('quarantine', 'content')
class ContentQuarantine:
    """Isolate a content after its first crash, reject it after two.

    If at each of its crashes another content with several crashes was in
    flight, it may be innocent. It then stays isolated until the other ones are
    cleared or it has a third crash.
    """

    __slots__ = ('_record_by_content',)

    def __init__(self, settings: HostSettings) -> None:
        """Start without recorded crashes."""
        self._record_by_content: dict[str, CrashRecord] = {}

    def crashed(self, now: float, endpoint: str, contents: list[str]) -> None:
        """Count a crash for each content that was in flight there."""
        for content in contents:
            record = self._touch(now, content)
            record.crashes[endpoint] = record.crashes.get(endpoint, 0) + 1

    def finished(self, now: float, content: str) -> None:
        """Clear the crashes of a content that ran to its end."""
        record = self._record_by_content.get(content)
        if record is not None and record.open_crashes():
            record = self._touch(now, content)
            for endpoint, count in record.crashes.items():
                known = record.cleared.get(endpoint, 0)
                record.cleared[endpoint] = max(count, known)

    def retract_crashes(
        self, now: float, endpoint: str, contents: list[str], reachable: bool
    ) -> None:
        """Clear crashes counted for an endpoint that may not have crashed.

        If it is unreachable, each content keeps one open crash, however many
        endpoints are unreachable.
        """
        for content in contents:
            record = self._record_by_content.get(content)
            if record is None:
                continue
            record.cleared[endpoint] = record.crashes.get(endpoint, 0)
            if not reachable:
                cleared = record.cleared.get(UNREACHABLE_ENDPOINT, 0)
                record.crashes[UNREACHABLE_ENDPOINT] = cleared + 1

    def verdict(self, now: float, content: str) -> Allow | Isolate | Reject:
        """Return whether a content runs normally, alone or not at all."""
        record = self._record_by_content.get(content)
        if record is None or now - record.updated_at_s > FORGET_AFTER_S:
            return Allow()
        crashes = record.open_crashes()
        if crashes == 0:
            return Allow()
        if crashes < REJECT_AFTER:
            return Isolate(crashes)
        if crashes < REJECT_ALWAYS_AFTER and self._is_ambiguous(record):
            return Isolate(crashes)
        return Reject(crashes)

    def open_crashes(self, content: str) -> int:
        """Return the crashes of a content that were not cleared."""
        record = self._record_by_content.get(content)
        return record.open_crashes() if record is not None else 0

    def changed_at_s(self, content: str) -> float:
        """Return when a crash of a content was last counted or cleared."""
        record = self._record_by_content.get(content)
        return record.updated_at_s if record is not None else float('-inf')

    def merge(self, now: float, digests: list[SuspectDigest]) -> None:
        """Merge the counts of a peer by maximum."""
        for digest in digests:
            cleared = digest.endpoint.startswith(CLEARED_PREFIX)
            endpoint = digest.endpoint.removeprefix(CLEARED_PREFIX)
            record = self._record_by_content.get(digest.content)
            counts = _counts(record, cleared)
            if counts.get(endpoint, 0) >= digest.crashes:
                continue
            changed_at_s = now - max(digest.age_s, 0.0)
            if now - changed_at_s > FORGET_AFTER_S:
                continue
            if record is not None:
                changed_at_s = max(changed_at_s, record.updated_at_s)
            record = self._touch(changed_at_s, digest.content)
            _counts(record, cleared)[endpoint] = digest.crashes

    def digests(self, now: float) -> list[SuspectDigest]:
        """Return the counts to share, last changed content first.

        Contents with REJECT_AFTER crashes precede the others, so that these
        don't displace them, and take up to half of the room.
        """
        self._drop_expired(now)
        digests: list[SuspectDigest] = []
        for content, record in self._records_to_share():
            if len(digests) >= DIGEST_LIMIT:
                break
            for prefix, counts in (
                ('', record.crashes),
                (CLEARED_PREFIX, record.cleared),
            ):
                digests.extend(
                    SuspectDigest(
                        content=content,
                        endpoint=prefix + endpoint,
                        crashes=count,
                        age_s=round(now - record.updated_at_s, 1),
                    )
                    for endpoint, count in counts.items()
                )
        return digests[:DIGEST_LIMIT]

    def _drop_expired(self, now: float) -> None:
        for content, record in list(self._record_by_content.items()):
            age_s = now - record.updated_at_s
            cleared = record.open_crashes() == 0
            if age_s > FORGET_AFTER_S or (
                cleared and age_s > DROP_CLEARED_AFTER_S
            ):
                del self._record_by_content[content]

    def _records_to_share(self) -> list[tuple[str, CrashRecord]]:
        newest_first = list(reversed(self._record_by_content.items()))
        rejected = [
            (content, record)
            for content, record in newest_first
            if record.open_crashes() >= REJECT_AFTER
        ][: DIGEST_LIMIT // 2 // REJECT_AFTER]
        first = {content for content, _ in rejected}
        others = [pair for pair in newest_first if pair[0] not in first]
        return rejected + others

    def _is_ambiguous(self, record: CrashRecord) -> bool:
        """Tell whether other contents may have caused all open crashes."""
        others = [
            other
            for other in self._record_by_content.values()
            if other is not record and other.open_crashes() >= REJECT_AFTER
        ]
        return all(
            any(other.open_crashes_at(endpoint) for other in others)
            for endpoint in record.crashes
            if record.open_crashes_at(endpoint)
        )

    def _touch(self, now: float, content: str) -> CrashRecord:
        record = self._record_by_content.pop(content, None) or CrashRecord()
        record.updated_at_s = now
        self._record_by_content[content] = record
        if len(self._record_by_content) > MAX_CONTENTS:
            del self._record_by_content[next(iter(self._record_by_content))]
        return record


def _counts(record: CrashRecord | None, cleared: bool) -> dict[str, int]:
    if record is None:
        return {}
    return record.cleared if cleared else record.crashes

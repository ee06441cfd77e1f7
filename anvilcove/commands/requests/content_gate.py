"""Limit how many engines a crashing prompt can reach."""

from collections import OrderedDict

from anvilcove.daemon.context import Context
from anvilcove.decisions.types import Allow, Isolate, Reject

REMEMBERED_CONTENTS = 10_000


class ContentGate:
    """Run the first sample of an unproven content before the others.

    All samples of a group run the same content on many engines at once, so a
    content that crashes engines must be detected in its first run. A content
    that has produced a token is proven: two engines that crash for other
    reasons while they run it do not get it rejected.
    """

    __slots__ = ('context', '_proven', '_active')

    def __init__(self, context: Context) -> None:
        """Start without proven contents."""
        self.context = context
        self._proven: OrderedDict[str, None] = OrderedDict()
        self._active: dict[str, int] = {}

    def may_start(self, content: str) -> bool:
        """Return whether another sample of a content may start now."""
        if not self._active.get(content):
            return True
        return content in self._proven and not isinstance(
            self._verdict(content), Reject
        )

    def is_rejected(self, content: str) -> bool:
        """Return whether a content is rejected and must not run again."""
        rejected = isinstance(self._verdict(content), Reject)
        return rejected and content not in self._proven

    def is_isolated(self, content: str) -> bool:
        """Return whether a content must run alone on its engine."""
        verdict = self._verdict(content)
        if content in self._proven:
            return isinstance(verdict, Reject)
        return isinstance(verdict, Isolate)

    def started(self, content: str) -> None:
        """Count a sample that waits for an engine or runs."""
        self._active[content] = self._active.get(content, 0) + 1

    def ended(self, content: str) -> None:
        """Stop counting a sample that waited or ran."""
        remaining = self._active.get(content, 0) - 1
        if remaining > 0:
            self._active[content] = remaining
        else:
            self._active.pop(content, None)

    def mark_proven(self, content: str) -> bool:
        """Mark a content as proven by a token; return whether this is new."""
        if content in self._proven:
            return False
        self._proven[content] = None
        if len(self._proven) > REMEMBERED_CONTENTS:
            self._proven.popitem(last=False)
        return True

    def revoke_proof(self, content: str) -> None:
        """Mark a content that crashed its engine alone as unproven."""
        self._proven.pop(content, None)

    def _verdict(self, content: str) -> Allow | Isolate | Reject:
        now = self.context.clock.now()
        verdict: Allow | Isolate | Reject = self.context.policy(
            'quarantine'
        ).verdict(now, content)
        return verdict

"""Keep one prompt from crashing many engines, without blaming good ones."""

from collections import OrderedDict

from anvilcove.daemon.context import Context
from anvilcove.decisions.types import Allow, Isolate, Reject

REMEMBERED_CONTENTS = 10_000


class ContentGate:
    """Let the first sample of an unknown prompt run before the others.

    All samples of a group run the same content, on many engines at once. A
    content that crashes engines must be found with its first run; a content
    that has produced a token is proven, and two engines that crash for other
    reasons while they run it do not condemn it.
    """

    __slots__ = ('context', '_proven', '_active')

    def __init__(self, context: Context) -> None:
        """Start without proven contents."""
        self.context = context
        self._proven: OrderedDict[str, None] = OrderedDict()
        self._active: dict[str, int] = {}

    def may_start(self, content: str) -> bool:
        """Tell whether one more sample of a content may start now."""
        if not self._active.get(content):
            return True
        return content in self._proven and not isinstance(
            self._verdict(content), Reject
        )

    def is_condemned(self, content: str) -> bool:
        """Tell whether a content must never run again."""
        rejected = isinstance(self._verdict(content), Reject)
        return rejected and content not in self._proven

    def is_isolated(self, content: str) -> bool:
        """Tell whether a content must run alone on its engine."""
        verdict = self._verdict(content)
        if content in self._proven:
            return isinstance(verdict, Reject)
        return isinstance(verdict, Isolate)

    def started(self, content: str) -> None:
        """Note that a sample waits for an engine or runs."""
        self._active[content] = self._active.get(content, 0) + 1

    def ended(self, content: str) -> None:
        """Note that a sample no longer waits or runs."""
        left = self._active.get(content, 0) - 1
        if left > 0:
            self._active[content] = left
        else:
            self._active.pop(content, None)

    def produced(self, content: str) -> bool:
        """Note a token; return whether it proves the content."""
        if content in self._proven:
            return False
        self._proven[content] = None
        if len(self._proven) > REMEMBERED_CONTENTS:
            self._proven.popitem(last=False)
        return True

    def crashed_alone(self, content: str) -> None:
        """Note that a content that ran alone crashed its engine."""
        self._proven.pop(content, None)

    def _verdict(self, content: str) -> Allow | Isolate | Reject:
        now = self.context.clock.now()
        verdict: Allow | Isolate | Reject = self.context.policy(
            'quarantine'
        ).verdict(now, content)
        return verdict

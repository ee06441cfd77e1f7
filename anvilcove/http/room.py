"""Memory that a process holds for answers which are not whole yet."""

from collections.abc import Callable
from typing import Protocol

from loguru import logger

from anvilcove.telemetry.logs import DECISION

MIB = 1 << 20
# Bound of a process that knows no limit of its memory.
DEFAULT_ROOM_BYTES = 64 * MIB


class IncomingAnswer(Protocol):
    """An answer of which parts have arrived."""

    # Bytes that are held for it.
    held_bytes: int

    def end_answer(self, reason: str) -> None:
        """Fail its call and close its connection."""


class AnswerRoom:
    """Bound of the bytes of all answers that arrive at the same time.

    Above it the largest ones are ended: sound answers are small, and what a
    faulty server sends without end is soon the largest.
    """

    __slots__ = ('_bound_bytes', '_answers', 'held_bytes', 'on_ended')

    def __init__(self, bound_bytes: Callable[[], int] | None = None) -> None:
        """Start empty; the bound is read each time that it may be reached."""
        self._bound_bytes = bound_bytes or (lambda: DEFAULT_ROOM_BYTES)
        self._answers: set[IncomingAnswer] = set()
        self.held_bytes = 0
        # Called for each answer that is ended.
        self.on_ended: Callable[[], None] = lambda: None

    def hold(self, answer: IncomingAnswer, held_bytes: int) -> None:
        """Count the bytes of an answer, and end the largest if needed."""
        self.held_bytes += held_bytes - answer.held_bytes
        answer.held_bytes = held_bytes
        if not held_bytes:
            self._answers.discard(answer)
            return
        self._answers.add(answer)
        while self.held_bytes > self._bound_bytes() and self._answers:
            self._end(max(self._answers, key=lambda held: held.held_bytes))

    def _end(self, answer: IncomingAnswer) -> None:
        logger.bind(
            held=answer.held_bytes,
            held_by_all=self.held_bytes,
            answers=len(self._answers),
            bound=self._bound_bytes(),
        ).log(DECISION, 'answer ended: too much memory held for answers')
        self.hold(answer, 0)
        answer.end_answer('too much memory held for answers')
        self.on_ended()

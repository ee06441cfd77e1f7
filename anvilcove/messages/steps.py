"""Rows of training steps and the calls between daemons about them."""

from typing import Any

from msgspec import convert, to_builtins

from anvilcove.messages.base import Message
from anvilcove.messages.table import Row

OPEN = 'open'
FIXED = 'fixed'
MISSING = 'missing'


class StepRow(Message):
    """Value of row `step/<trainer>/<n>`.

    `nonce` tells apart two processes of one host; an empty `holder` means
    that the step was handed over and is free to take; `partial` then names
    the finished samples.
    """

    state: str
    epoch: int
    fence: int
    holder: str
    nonce: str
    beat: int
    class_name: str
    model: str
    bound: int
    body: str
    partial: str = ''
    batch: str = ''
    oldest: int = 0


class WeightsRow(Message):
    """Value of row `weights/<model>`."""

    version: int


class CursorRow(Message):
    """Value of row `cursor/<trainer>`: the last acknowledged batch."""

    step: int
    epoch: int
    digest: str


class FixStep(Message):
    """Ask the holder of a step to fix it because its trainer waits."""

    fence: int
    wait_ms: int


class StepFix(Message):
    """State of the step at its holder; `missing` if it holds no such step."""

    state: str


def step_key(trainer: str, step: int) -> str:
    """Return the key of a step's row."""
    return f'step/{trainer}/{step}'


def cursor_key(trainer: str) -> str:
    """Return the key of a trainer's cursor."""
    return f'cursor/{trainer}'


def weights_key(model: str) -> str:
    """Return the key of the newest version of a model."""
    return f'weights/{model}'


def step_object(trainer: str, step: int, digest: str) -> str:
    """Return the name of the object with a step's body."""
    return f'steps/{trainer}/{step}/{digest}'


def partial_object(trainer: str, step: int, digest: str) -> str:
    """Return the name of the object with samples that were handed over."""
    return f'steps/{trainer}/{step}/partial/{digest}'


def batch_object(trainer: str, step: int, epoch: int, digest: str) -> str:
    """Return the name of the object with a fixed batch."""
    return f'batch/{trainer}/{step}/{epoch}/{digest}'


def step_row(row: Row) -> StepRow | None:
    """Return the value of a step's row."""
    return None if row.value is None else convert(row.value, StepRow)


def weights_version(row: Row | None) -> int:
    """Return the version that a weights row names, 0 if it is absent."""
    if row is None or row.value is None:
        return 0
    return convert(row.value, WeightsRow).version


def cursor_row(row: Row) -> CursorRow | None:
    """Return the value of a cursor."""
    return None if row.value is None else convert(row.value, CursorRow)


def row_value(message: Message) -> dict[str, Any]:
    """Return a message as the value of a row."""
    value: dict[str, Any] = to_builtins(message)
    return value

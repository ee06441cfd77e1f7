"""Rows of training steps, and messages of daemons about them."""

from typing import Any

from msgspec import convert, to_builtins

from anvilcove.messages.base import Message
from anvilcove.messages.table import Row

# States of a step: its samples are being generated, its batch is final, or
# (only in an answer) the daemon that was asked does not hold the step.
OPEN = 'open'
FIXED = 'fixed'
MISSING = 'missing'


class StepRow(Message):
    """Value of row `step/<trainer>/<n>`.

    `nonce` distinguishes processes of one host. An empty `holder` means that
    the step was handed over and any daemon may acquire it; then `partial` is
    the digest of the object with the finished samples. `body` and `batch` are
    digests of objects, too. `bound` is the largest allowed staleness in
    versions, `oldest` the oldest version in the batch. The holder increments
    `beat` at each renewal.
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
    """Value of row `weights/<model>`: the newest version."""

    version: int


class CursorRow(Message):
    """Value of row `cursor/<trainer>`: the last acknowledged batch."""

    step: int
    epoch: int
    digest: str


class FixStep(Message):
    """Ask the holder of a step to make its batch final: a trainer waits."""

    fence: int
    wait_ms: int


class StepFix(Message):
    """State of a step at its holder; `missing` if it does not hold it."""

    state: str


def step_key(trainer: str, step: int) -> str:
    """Return the key of the row of a step."""
    return f'step/{trainer}/{step}'


def cursor_key(trainer: str) -> str:
    """Return the key of the row of a trainer's cursor."""
    return f'cursor/{trainer}'


def weights_key(model: str) -> str:
    """Return the key of the row with the newest version of a model."""
    return f'weights/{model}'


def step_object(trainer: str, step: int, digest: str) -> str:
    """Return the name of the object with the body of a step."""
    return f'steps/{trainer}/{step}/{digest}'


def partial_object(trainer: str, step: int, digest: str) -> str:
    """Return the name of the object with a step's finished samples."""
    return f'steps/{trainer}/{step}/partial/{digest}'


def batch_object(trainer: str, step: int, epoch: int, digest: str) -> str:
    """Return the name of the object with the final batch of a step."""
    return f'batch/{trainer}/{step}/{epoch}/{digest}'


def decode_step_row(row: Row) -> StepRow | None:
    """Decode the row of a step; None if the row is absent."""
    return None if row.value is None else convert(row.value, StepRow)


def decode_weights_version(row: Row | None) -> int:
    """Decode the version in a weights row; 0 if the row is absent."""
    if row is None or row.value is None:
        return 0
    return convert(row.value, WeightsRow).version


def decode_cursor_row(row: Row) -> CursorRow | None:
    """Decode the row of a cursor; None if the row is absent."""
    return None if row.value is None else convert(row.value, CursorRow)


def encode_row_value(message: Message) -> dict[str, Any]:
    """Encode a message as the value of a row."""
    value: dict[str, Any] = to_builtins(message)
    return value

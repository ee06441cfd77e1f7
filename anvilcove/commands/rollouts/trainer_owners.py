"""Workspaces that own the names of trainers, in rows `owner/<trainer>`.

The first step that is submitted for a workspace makes its trainer one of this
workspace; the row never changes after that. It is a row of its own because
builds without it reject unknown fields in the rows of steps.
"""

from collections.abc import Mapping

from msgspec import convert

from anvilcove.messages.base import Message
from anvilcove.messages.steps import encode_row_value
from anvilcove.messages.table import Check, Put, Row, Transaction


class OwnerRow(Message):
    """Value of row `owner/<trainer>`."""

    workspace: str


def owner_key(trainer: str) -> str:
    """Return the key of the row of a trainer's owner."""
    return f'owner/{trainer}'


def owner_keys(trainer: str, workspace: str | None) -> list[str]:
    """Return the keys that a call for a workspace reads, none without one."""
    return [] if workspace is None else [owner_key(trainer)]


def owner_of(trainer: str, rows: Mapping[str, Row]) -> str:
    """Return the workspace of a trainer, '' if it belongs to none.

    Steps that were submitted for no workspace have no owner.
    """
    row = rows.get(owner_key(trainer))
    if row is None or row.value is None:
        return ''
    return convert(row.value, OwnerRow).workspace


def may_use(owner: str, workspace: str | None) -> bool:
    """Tell whether a call for a workspace may use the steps of an owner.

    Any may if there is no owner, or if the site has no workspaces (None).
    """
    return workspace is None or owner in ('', workspace)


def add_owner(
    change: Transaction,
    trainer: str,
    workspace: str | None,
    rows: Mapping[str, Row],
) -> None:
    """Make a transaction depend on the owner's row, and write it if absent."""
    if workspace is None:
        return
    key = owner_key(trainer)
    change.checks.append(Check(key=key, revision=rows[key].revision))
    if not owner_of(trainer, rows):
        value = encode_row_value(OwnerRow(workspace=workspace))
        change.puts.append(Put(key=key, value=value))

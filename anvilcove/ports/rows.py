"""Port that decodes store rows written outside the daemons."""

from typing import Protocol

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.ports.store import StoredRow


class RowReader(Protocol):
    """Decode and apply rows of the operator, trainers and endpoints."""

    @property
    def operator_table(self) -> str:
        """Return the name of the operator's table."""

    @property
    def endpoint_table(self) -> str:
        """Return the name of the table of endpoints."""

    def apply_operator_rows(
        self, rows: list[StoredRow], desired: DesiredStateView, now: float
    ) -> None:
        """Apply the desired state and the versions named by trainers."""

    def apply_endpoint_rows(
        self,
        rows: list[StoredRow],
        full_read: bool,
        registry: EndpointRegistry,
        now: float,
        keep_missing: bool,
    ) -> None:
        """Apply rows in which endpoints announce themselves.

        `full_read` tells whether `rows` is the full table or the changed rows.
        With `keep_missing`, entries that are missing are kept for a grace
        period.
        """

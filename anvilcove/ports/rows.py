"""Port of the rows that others write."""

from typing import Protocol

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.ports.store import StoredRow


class RowReader(Protocol):
    """Put rows of the operator, the trainers and the endpoints in force."""

    @property
    def operator_table(self) -> str:
        """Return the table of the operator."""

    @property
    def endpoint_table(self) -> str:
        """Return the table of the endpoints."""

    def apply_operator_rows(
        self, rows: list[StoredRow], desired: DesiredStateView, now: float
    ) -> None:
        """Put what the operator and the trainers wrote in force."""

    def apply_endpoint_rows(
        self,
        rows: list[StoredRow],
        whole: bool,
        registry: EndpointRegistry,
        now: float,
        hold: bool,
    ) -> None:
        """Adopt what endpoints say of themselves."""

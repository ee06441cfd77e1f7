"""Port for connections of clients for which memory is held."""

from typing import Protocol


class HoldingConnection(Protocol):
    """Connection to a caller for which memory is held."""

    @property
    def request_id(self) -> str:
        """Return the id of the request that is answered."""

    @property
    def workspace(self) -> str:
        """Return the workspace of the request, '' for none."""

    @property
    def answer_bytes(self) -> int:
        """Return the bytes of an answer that was not streamed, or 0."""

    def held_bytes(self) -> int:
        """Return the bytes that are held for the caller now."""

    def is_awaited(self) -> bool:
        """Tell whether the client has to send or to take bytes next."""

    def received_bytes(self) -> int:
        """Return the bytes received since the connection was opened."""

    def written_bytes(self) -> int:
        """Return the bytes written since the connection was opened."""

    def unsent_bytes(self) -> int:
        """Return the written bytes that the connection has not taken."""

    def end(self) -> None:
        """Reset the connection and drop what is held."""

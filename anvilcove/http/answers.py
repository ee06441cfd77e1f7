"""Answers that have the status of a final one.

Source: RFC 9110, section 15. The parsers of HTTP take any three digits.
"""

from traceback import clear_frames

from aiohttp import ClientError, ClientPayloadError, ClientResponse
from aiohttp.connector import Connection

# Interim statuses are below. A server may not switch protocols, as no call
# asks for it.
FINAL_STATUSES = range(200, 600)


class InvalidStatus(ClientError):
    """Raised for an answer whose status is none of a final answer."""


class FinalResponse(ClientResponse):
    """Response of a session that takes final answers only."""

    async def start(self, connection: Connection) -> 'FinalResponse':
        """Read the head of the final answer, or raise InvalidStatus."""
        await super().start(connection)
        if self.status not in FINAL_STATUSES:
            raise InvalidStatus(f'status {self.status:03d} of no final answer')
        return self

    async def read(self) -> bytes:
        """Read the body, or raise ClientPayloadError."""
        try:
            return await super().read()
        except ClientPayloadError as error:
            # The stream keeps the error, whose frames hold what was read.
            clear_frames(error.__traceback__)
            raise

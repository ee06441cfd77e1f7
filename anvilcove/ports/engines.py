"""Port of the engines: generations and orders."""

from collections.abc import AsyncIterator
from typing import Protocol

from msgspec import Struct

CARRIED_OUT = 'carried out'
HOLDS = 'holds'
BUSY = 'busy'
REFUSED = 'refused'


class VersionOrder(Struct):
    """Order to load a version of a model.

    `order_count` is the number of orders that the engine must have accepted
    before; `fence` is the generation number of the holder.
    """

    model: str
    version: int
    holder: str
    fence: int
    order_count: int
    keep_running: bool


class EngineReport(Struct):
    """What an engine says of itself, as of some hundred milliseconds ago."""

    version_by_model: dict[str, int]
    order_busy: bool
    order_count: int


class Generation(Struct):
    """A generation to run, from event `after` on."""

    item_id: str
    host: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline_s: float
    after: int = 0
    urgency: int = 5


class TokenEvent(Struct):
    """One event of a generation and the weights that made it."""

    number: int
    text: str
    version: int


class GenerationEnd(Struct):
    """The end of a generation that is whole."""

    last: int


class EngineLoad(Struct):
    """Load that an engine sent with an answer."""

    running: int
    waiting: int
    slots: int


# Version of a start after which no event follows: the text was whole.
NO_EVENT_LEFT = 0


class GenerationStart(Struct):
    """The engine has begun to answer with weights of a version."""

    version: int
    load: EngineLoad | None = None


GenerationEvent = GenerationStart | TokenEvent | GenerationEnd


class EngineClient(Protocol):
    """Talk to engines."""

    def generate(
        self, address: str, instance: str, generation: Generation
    ) -> AsyncIterator[GenerationEvent]:
        """Stream a generation, or raise an EndpointError."""

    async def order(
        self, address: str, instance: str, order: VersionOrder
    ) -> str:
        """Give an order and return how it was received."""

    async def report(self, address: str) -> EngineReport:
        """Read what the engine says of itself."""


class ItemRejected(Exception):
    """Raised when an engine says that an item can never be done."""


class ItemFailed(Exception):
    """Raised when an engine ran an item and failed."""

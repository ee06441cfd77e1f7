"""Port of the model engines: generations, orders and reports."""

from collections.abc import AsyncIterator
from typing import Protocol

from msgspec import Struct

from anvilcove.ports.reports import NO_REPORT, EndpointReport

# Answers to an order. ALREADY_LOADED: the engine already holds the version.
# BUSY: it is loading, or has not accepted the expected number of orders.
ACCEPTED = 'carried out'
ALREADY_LOADED = 'holds'
BUSY = 'busy'
REFUSED = 'refused'


class VersionOrder(Struct):
    """Order to load a version of a model.

    The engine accepts the order only if it has accepted exactly `order_count`
    orders before. `holder` and `fence` are the holder of the orders lease and
    its fencing token. `keep_running` lets running generations continue while
    the version is loaded; otherwise they finish first.
    """

    model: str
    version: int
    holder: str
    fence: int
    order_count: int
    keep_running: bool


class EngineReport(Struct):
    """Report of an engine, which may be a few hundred milliseconds old.

    `order_count` is the number of orders that the engine has accepted.
    """

    version_by_model: dict[str, int]
    order_busy: bool
    order_count: int


class Generation(Struct):
    """Request for a generation; events up to number `after` are skipped.

    With `has_workspaces`, its headers may hold a key or a name of a workspace,
    which engines must not get.
    """

    item_id: str
    host: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline_s: float
    after: int = 0
    urgency: int = 5
    workspace: str = ''
    has_workspaces: bool = False


class TokenEvent(Struct):
    """One event of a generation, with the weight version that produced it."""

    number: int
    text: str
    version: int


class GenerationEnd(Struct):
    """End of a complete generation; `last` numbers its last event."""

    last: int


class EngineLoad(Struct, frozen=True):
    """Load of an endpoint, as sent with an answer.

    The counts are unknown if `slots` is 0. `slowness` is the time that work
    takes there now relative to the usual time of that endpoint; it is 1.0 if
    the endpoint does not name it (`names_slowness`).
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0
    names_slowness: bool = False


UNKNOWN_LOAD = EngineLoad(0, 0, 0)


# Version of a GenerationStart that no event follows: the earlier attempt has
# already received the complete text.
VERSION_WITHOUT_EVENTS = 0


class GenerationStart(Struct):
    """Start of an answer; `version` is that of its first event."""

    version: int
    load: EngineLoad | None = None
    report: EndpointReport = NO_REPORT


GenerationEvent = GenerationStart | TokenEvent | GenerationEnd


class EngineClient(Protocol):
    """Client of the model engines."""

    def generate(
        self, address: str, instance: str, generation: Generation
    ) -> AsyncIterator[GenerationEvent]:
        """Stream a generation, or raise an EndpointError."""

    async def order(
        self, address: str, instance: str, order: VersionOrder
    ) -> str:
        """Send an order; return ACCEPTED, ALREADY_LOADED, BUSY or REFUSED.

        REFUSED may be followed by a reason.
        """

    async def report(self, address: str) -> EngineReport:
        """Read the report of an engine."""


class ItemRejected(Exception):
    """Raised when an engine reports that an item can never succeed."""

    report: EndpointReport | None = None


class ItemFailed(Exception):
    """Raised when an engine ran an item and reports that it failed."""

    report: EndpointReport | None = None

"""Messages between daemons and plain services."""

from typing import Any

from anvilcove.messages.base import Message


class ServiceCall(Message):
    """Call of a plain service."""

    request_id: str
    body: dict[str, Any]


class ServiceAnswer(Message):
    """Answer of a plain service to the call with the same `request_id`."""

    request_id: str
    complete: bool
    answer: Any = None


class EndpointRefusal(Message):
    """Rejection of a call; `run` is false if the endpoint ran nothing."""

    run: bool
    reason: str = ''

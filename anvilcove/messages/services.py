"""Messages between daemons and plain services."""

from typing import Any

from msgspec import Raw

from anvilcove.messages.base import Message


class ServiceCall(Message, omit_defaults=True):
    """Call of a plain service, for a workspace if there are any."""

    request_id: str
    body: dict[str, Any] | Raw
    workspace: str = ''


class ServiceAnswer(Message):
    """Answer of a plain service to the call with the same `request_id`."""

    request_id: str
    complete: bool
    answer: Any = None


class EndpointRefusal(Message):
    """Rejection of a call; `run` is false if the endpoint ran nothing."""

    run: bool
    reason: str = ''

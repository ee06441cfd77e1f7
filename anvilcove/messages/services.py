"""Messages of the plain services."""

from typing import Any

from anvilcove.messages.base import Message


class ServiceCall(Message):
    """One call of a plain service."""

    request_id: str
    body: dict[str, Any]


class ServiceAnswer(Message):
    """Answer of a plain service to the call of the same identifier."""

    request_id: str
    complete: bool
    answer: Any = None


class EndpointRefusal(Message):
    """Refusal of an endpoint; `run` false says that nothing was run."""

    run: bool
    reason: str = ''

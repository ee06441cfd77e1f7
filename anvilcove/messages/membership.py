"""Messages of the platform's membership list."""

from msgspec import field

from anvilcove.messages.base import Message

LIVE = 'live'
LEAVING = 'leaving'
ENGINE = 'engine'
SERVICE = 'service'


class HostMember(Message):
    """An entry host; `state` is live or leaving."""

    host: str
    address: str
    data_centre: str
    state: str = LIVE


class EndpointMember(Message):
    """An endpoint; `kind` is engine or service, `state` live or leaving.

    `software` is the version of its software, '' if unknown.
    """

    endpoint: str
    address: str
    data_centre: str
    pool: str
    kind: str
    state: str = LIVE
    software: str = ''


class Members(Message):
    """The membership list: all entry hosts and endpoints."""

    hosts: list[HostMember] = field(default_factory=list)
    endpoints: list[EndpointMember] = field(default_factory=list)

"""Messages of the platform's membership list."""

from msgspec import field

from anvilcove.messages.base import Message

LIVE = 'live'
LEAVING = 'leaving'
ENGINE = 'engine'
SERVICE = 'service'


class HostMember(Message):
    """One entry host of the service."""

    host: str
    address: str
    data_centre: str
    state: str = LIVE


class EndpointMember(Message):
    """One endpoint; `kind` is engine or service."""

    endpoint: str
    address: str
    data_centre: str
    pool: str
    kind: str
    state: str = LIVE


class Members(Message):
    """The membership list."""

    hosts: list[HostMember] = field(default_factory=list)
    endpoints: list[EndpointMember] = field(default_factory=list)

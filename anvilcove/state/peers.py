"""What one daemon knows of the other entry hosts."""

from anvilcove.messages.membership import HostMember


class PeerState:
    """Knowledge of one host from membership and gossip."""

    __slots__ = (
        'host',
        'address',
        'data_centre',
        'state',
        'beat',
        'beat_at_s',
        'revision',
        'load',
        'draining',
    )

    def __init__(self, member: HostMember) -> None:
        """Start with the facts of the membership list."""
        self.host = member.host
        self.address = member.address
        self.data_centre = member.data_centre
        self.state = member.state
        self.beat = 0
        self.beat_at_s = float('-inf')
        self.revision = 0
        self.load = 0
        self.draining = False


class PeerTable:
    """All entry hosts of the last membership list by host name."""

    __slots__ = ('own_host', 'by_host')

    def __init__(self, own_host: str) -> None:
        """Start without peers."""
        self.own_host = own_host
        self.by_host: dict[str, PeerState] = {}

    def update(self, members: list[HostMember]) -> None:
        """Adopt a membership list."""
        listed = {member.host for member in members}
        for gone in [h for h in self.by_host if h not in listed]:
            del self.by_host[gone]
        for member in members:
            known = self.by_host.get(member.host)
            if known is None or known.address != member.address:
                self.by_host[member.host] = PeerState(member)
            else:
                known.state = member.state

    def others(self) -> list[PeerState]:
        """Return every host but this one."""
        return [p for p in self.by_host.values() if p.host != self.own_host]

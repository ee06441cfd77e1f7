"""What one daemon knows of the other entry hosts."""

from collections import OrderedDict

from anvilcove.messages.membership import LIVE, HostMember
from anvilcove.messages.peers import DRAINING, JOINED, HostDigest

# Own digests whose time is remembered; more than are sent in a window of 3 s.
REMEMBERED_BEATS = 128
NEVER = float('-inf')
LONGEST_AGE_DS = 36_000


class PeerState:
    """Knowledge of one host from membership and gossip.

    `beat_at_s` is a time at or before which the host produced its last known
    digest; it is never later than the true time.
    """

    __slots__ = (
        'host',
        'address',
        'data_centre',
        'state',
        'beat',
        'listed_at_s',
        'beat_at_s',
        'revision',
        'load',
        'draining',
        'joined',
    )

    def __init__(self, member: HostMember, now: float = NEVER) -> None:
        """Start with the facts of the membership list."""
        self.host = member.host
        self.address = member.address
        self.data_centre = member.data_centre
        self.state = member.state
        self.beat = 0
        self.listed_at_s = now
        self.beat_at_s = NEVER
        self.revision = 0
        self.load = 0
        self.draining = False
        self.joined = False

    def digest(self, now: float) -> HostDigest:
        """Return what is gossiped about this host."""
        age_ds = min((now - self.beat_at_s) * 10, LONGEST_AGE_DS)
        return HostDigest(
            beat=self.beat,
            revision=self.revision,
            load=self.load,
            flags=DRAINING * self.draining + JOINED * self.joined,
            age_ds=int(age_ds) + 1,
        )

    def merge(self, digest: HostDigest, basis_s: float) -> None:
        """Adopt a digest that was sent after `basis_s`."""
        if digest.beat < self.beat:
            return
        self.beat_at_s = max(self.beat_at_s, basis_s - digest.age_ds / 10)
        if digest.beat > self.beat:
            self.beat = digest.beat
            self.revision = digest.revision
            self.load = digest.load
            self.draining = digest.draining
            self.joined = digest.joined

    def member(self) -> HostMember:
        """Return the host as the membership list names it."""
        return HostMember(
            host=self.host,
            address=self.address,
            data_centre=self.data_centre,
            state=self.state,
        )


class PeerTable:
    """All entry hosts of the last membership list by host name."""

    __slots__ = ('own_host', 'by_host', 'own_beat', '_sent_at_by_beat')

    def __init__(self, own_host: str) -> None:
        """Start without peers."""
        self.own_host = own_host
        self.by_host: dict[str, PeerState] = {}
        self.own_beat = 0
        self._sent_at_by_beat: OrderedDict[int, float] = OrderedDict()

    def update(self, members: list[HostMember], now: float = NEVER) -> None:
        """Adopt a membership list."""
        listed = {member.host for member in members}
        for gone in [h for h in self.by_host if h not in listed]:
            del self.by_host[gone]
        for member in members:
            known = self.by_host.get(member.host)
            if known is None or known.address != member.address:
                self.by_host[member.host] = PeerState(member, now)
            else:
                known.state = member.state

    def others(self) -> list[PeerState]:
        """Return every host but this one."""
        return [p for p in self.by_host.values() if p.host != self.own_host]

    def next_beat(self, now: float) -> int:
        """Number a digest of this host and remember its time."""
        self.own_beat += 1
        self._sent_at_by_beat[self.own_beat] = now
        while len(self._sent_at_by_beat) > REMEMBERED_BEATS:
            self._sent_at_by_beat.popitem(last=False)
        return self.own_beat

    def digests(
        self, now: float, known: dict[str, HostDigest] | None = None
    ) -> dict[str, HostDigest]:
        """Return the digests of the other hosts that were ever heard.

        Those that tell the receiver nothing new are left out; `known` is
        what it sent.
        """
        known = known or {}
        return {
            p.host: p.digest(now)
            for p in self.others()
            if p.beat and (p.host not in known or p.beat > known[p.host].beat)
        }

    def merge(
        self, hosts: dict[str, HostDigest], asked_at_s: float = NEVER
    ) -> None:
        """Adopt digests of a peer.

        `asked_at_s` is when the answered call was started. A received call
        has no such time: it may have waited in a socket while this process
        was paused. Its digests are dated by the own beat that they contain.
        """
        own = hosts.get(self.own_host)
        basis_s = asked_at_s
        if own is not None:
            echoed_at_s = self._sent_at_by_beat.get(own.beat, NEVER)
            basis_s = max(basis_s, echoed_at_s)
            # A restarted daemon numbers on from what its peers remember.
            self.own_beat = max(self.own_beat, own.beat)
        for host, digest in hosts.items():
            peer = self.by_host.get(host)
            if peer is not None and host != self.own_host:
                peer.merge(digest, basis_s)

    def heard_majority(
        self, since_s: float, revision: int, count_self: bool
    ) -> bool:
        """Tell whether a majority was alive since then with this revision.

        Hosts that have a newer revision, or that never learned one from the
        table or a majority, are not counted.
        """
        heard = sum(
            1
            for peer in self.others()
            if peer.beat_at_s >= since_s
            and peer.joined
            and peer.revision <= revision
        )
        if count_self and self.own_host in self.by_host:
            heard += 1
        return heard * 2 > len(self.by_host)

    def entry_hosts(self, heard_since_s: float) -> list[HostMember]:
        """Return the hosts that callers may be told.

        A host that was silent since it was listed, or since then, is left
        out, unless all are silent.
        """
        open_hosts = [
            peer
            for peer in self.by_host.values()
            if peer.state == LIVE and not peer.draining
        ]
        heard = [
            peer.member()
            for peer in open_hosts
            if peer.host == self.own_host
            or max(peer.beat_at_s, peer.listed_at_s) >= heard_since_s
        ]
        return heard or [peer.member() for peer in open_hosts]

"""Table of the entry hosts, from the membership list and gossip.

Each host numbers its own digests; the number (`beat`) serves as heartbeat.
Clocks of hosts are not compared: a digest carries its age, and a host dates
the digests that it receives on its own clock.
"""

from collections import OrderedDict

from anvilcove.messages.membership import LIVE, HostMember
from anvilcove.messages.peers import DRAINING, JOINED, HostDigest

# Own digests whose sending time is kept; more than are sent within the
# confirmation window of 3 s.
MAX_SENT_BEATS = 128
NEVER = float('-inf')
# Digests carry their age in deciseconds.
MAX_AGE_DS = 36_000


class PeerState:
    """State of one host from the membership list and gossip.

    `beat` is the number of the host's newest known digest. `beat_at_s` is a
    lower bound of the time at which the host produced it. `joined` tells
    whether the host has learned a revision from the table or a majority.
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
        """Create a state from an entry of the membership list."""
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
        """Return the digest of this host for gossip, with its age."""
        age_ds = min((now - self.beat_at_s) * 10, MAX_AGE_DS)
        return HostDigest(
            beat=self.beat,
            revision=self.revision,
            load=self.load,
            flags=DRAINING * self.draining + JOINED * self.joined,
            age_ds=int(age_ds) + 1,
        )

    def merge(self, digest: HostDigest, sent_after_s: float) -> None:
        """Merge a digest that was sent at or after `sent_after_s`."""
        if digest.beat < self.beat:
            return
        self.beat_at_s = max(self.beat_at_s, sent_after_s - digest.age_ds / 10)
        if digest.beat > self.beat:
            self.beat = digest.beat
            self.revision = digest.revision
            self.load = digest.load
            self.draining = digest.draining
            self.joined = digest.joined

    def member(self) -> HostMember:
        """Return the host as an entry of the membership list."""
        return HostMember(
            host=self.host,
            address=self.address,
            data_centre=self.data_centre,
            state=self.state,
        )


class PeerTable:
    """Entry hosts of the last membership list, by host name."""

    __slots__ = ('own_host', 'by_host', 'own_beat', '_sent_at_by_beat')

    def __init__(self, own_host: str) -> None:
        """Create an empty table."""
        self.own_host = own_host
        self.by_host: dict[str, PeerState] = {}
        self.own_beat = 0
        self._sent_at_by_beat: OrderedDict[int, float] = OrderedDict()

    def update(self, members: list[HostMember], now: float = NEVER) -> None:
        """Apply a membership list.

        `now` is the start of the call that read it.
        """
        listed = {member.host for member in members}
        for unlisted in [h for h in self.by_host if h not in listed]:
            del self.by_host[unlisted]
        for member in members:
            known = self.by_host.get(member.host)
            if known is None or known.address != member.address:
                self.by_host[member.host] = PeerState(member, now)
            else:
                known.state = member.state

    def others(self) -> list[PeerState]:
        """Return all listed hosts except this one."""
        return [p for p in self.by_host.values() if p.host != self.own_host]

    def next_beat(self, now: float) -> int:
        """Return the number of the next own digest and keep its time."""
        self.own_beat += 1
        self._sent_at_by_beat[self.own_beat] = now
        while len(self._sent_at_by_beat) > MAX_SENT_BEATS:
            self._sent_at_by_beat.popitem(last=False)
        return self.own_beat

    def digests(
        self, now: float, known: dict[str, HostDigest] | None = None
    ) -> dict[str, HostDigest]:
        """Return the digests of all other hosts that are known.

        `known` holds the digests that the receiver sent; digests that are not
        newer than these are left out.
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
        """Merge the digests that a peer sent.

        `asked_at_s` is the start of the call whose answer carries the
        digests. Digests in an incoming call have no such time, because the
        call may have waited in a socket while this process was paused. They
        are dated by the own digest that they contain: the peer sent them
        after this host had sent that digest.
        """
        own = hosts.get(self.own_host)
        sent_after_s = asked_at_s
        if own is not None:
            echoed_at_s = self._sent_at_by_beat.get(own.beat, NEVER)
            sent_after_s = max(sent_after_s, echoed_at_s)
            # After a restart, continue the numbers that the peers know.
            self.own_beat = max(self.own_beat, own.beat)
        for host, digest in hosts.items():
            peer = self.by_host.get(host)
            if peer is not None and host != self.own_host:
                peer.merge(digest, sent_after_s)

    def majority_confirms(
        self, since_s: float, revision: int, count_self: bool
    ) -> bool:
        """Return whether a majority of the listed hosts confirms a revision.

        A host confirms it by a digest produced at or after `since_s`. Hosts
        with a newer revision are not counted, nor are hosts that have not
        joined: they never learned a revision from the table or a majority.
        """
        confirming = sum(
            1
            for peer in self.others()
            if peer.beat_at_s >= since_s
            and peer.joined
            and peer.revision <= revision
        )
        if count_self and self.own_host in self.by_host:
            confirming += 1
        return confirming * 2 > len(self.by_host)

    def entry_hosts(self, heard_since_s: float) -> list[HostMember]:
        """Return the live hosts that callers may connect to.

        Draining hosts are left out. So are hosts that neither sent a digest
        nor were listed since `heard_since_s`, unless that leaves none.
        """
        accepting = [
            peer
            for peer in self.by_host.values()
            if peer.state == LIVE and not peer.draining
        ]
        recent = [
            peer.member()
            for peer in accepting
            if peer.host == self.own_host
            or max(peer.beat_at_s, peer.listed_at_s) >= heard_since_s
        ]
        return recent or [peer.member() for peer in accepting]

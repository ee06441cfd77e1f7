"""Choice of the daemons that may hold a duty."""

from collections.abc import Collection, Iterable
from typing import Self

from anvilcove.decisions.rendezvous import rendezvous_order

# Only these poll the row of the lease. The second number applies while none
# of the first can perform the duty, as of a data centre that is cut off.
CANDIDATES = 3
CANDIDATES_IF_UNABLE = 6


class DutyCandidates:
    """Hosts that may hold a duty, the first one preferred."""

    __slots__ = ('hosts', 'unable')

    def __init__(self, hosts: list[str], unable: Collection[str]) -> None:
        """Store the hosts and which of them say that they are unable."""
        self.hosts = hosts
        self.unable = unable

    @classmethod
    def choose(
        cls, duty: str, alive: Iterable[str], unable: Collection[str]
    ) -> Self:
        """Choose the first hosts in the duty's own order."""
        order = rendezvous_order(duty, alive)
        hosts = order[:CANDIDATES]
        if all(host in unable for host in hosts):
            hosts = order[:CANDIDATES_IF_UNABLE]
        return cls(hosts, unable)

    def rank(self, host: str) -> int:
        """Return the rank of a host, the number of candidates for others."""
        if host in self.hosts:
            return self.hosts.index(host)
        return CANDIDATES_IF_UNABLE

    def includes(self, host: str) -> bool:
        """Tell whether a host is a candidate."""
        return host in self.hosts

    def has_able_other(self, host: str) -> bool:
        """Tell whether a candidate besides this host may be able."""
        return any(
            other != host and other not in self.unable for other in self.hosts
        )

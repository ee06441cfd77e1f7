"""Choice of the peers that relay calls to endpoints."""

from collections.abc import Callable

from anvilcove.control.endpoint_ways import EndpointWays
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.control.nodes import NodeDirectory
from anvilcove.decisions.rendezvous import rendezvous_order
from anvilcove.state.clock import Clock

# A peer that could not relay a call is not asked again for this time.
AVOIDED_S = 2.0
# After a connection failed, a call goes through a peer if another endpoint
# failed within this time: the host may be cut off.
SUSPICION_S = 2.0


class RelayPeers:
    """Decide when calls go through peers, and through which."""

    __slots__ = (
        '_host',
        '_ways',
        '_nodes',
        '_registry',
        '_clock',
        '_avoided_until_s',
        'count_call',
    )

    def __init__(
        self,
        host: str,
        ways: EndpointWays,
        nodes: NodeDirectory,
        registry: EndpointRegistry,
        clock: Clock,
    ) -> None:
        """Start without a peer to avoid."""
        self._host = host
        self._ways = ways
        self._nodes = nodes
        self._registry = registry
        self._clock = clock
        self._avoided_until_s: dict[str, float] = {}
        # Adds a relayed call to the metrics, by outcome.
        self.count_call: Callable[[str], None] = lambda outcome: None

    def needed(self) -> bool:
        """Tell whether calls go through peers at once."""
        return self._ways.is_cut

    def needed_after_failure(self, address: str) -> bool:
        """Tell whether a call that found no way goes through a peer."""
        return self._ways.is_cut or self._ways.others_doubtful(
            address, SUSPICION_S
        )

    def addresses(self) -> list[str]:
        """Return the peers to ask, ip:port each, the first one first."""
        now = self._clock.now()
        peers_by_host = {
            node.host: node.peers
            for node in self._nodes.alive()
            if not node.cut
            and self._avoided_until_s.get(node.peers, now) <= now
        }
        # Each host prefers others, so that their load is even.
        order = rendezvous_order(self._host, peers_by_host)
        return [peers_by_host[host] for host in order]

    def avoid(self, peer: str) -> None:
        """Ask a peer no more for a while."""
        self._avoided_until_s[peer] = self._clock.now() + AVOIDED_S

    def may_relay(self, address: str) -> bool:
        """Tell whether this host sends calls of peers to an endpoint."""
        if self._ways.may_be_cut:
            return False
        return any(
            entry.address == address and not entry.draining
            for entry in self._registry.entry_by_endpoint.values()
        )

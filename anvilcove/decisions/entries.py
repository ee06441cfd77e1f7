"""Entry hosts by rendezvous hashing of caller and time slot."""

from math import log

from xxhash import xxh3_64_intdigest

from anvilcove.decisions.registry import policy
from anvilcove.messages.membership import LIVE, HostMember
from anvilcove.settings.daemon import DaemonSettings

NAMED_HOSTS = 3
# Own hosts named first; the last one is elsewhere, so that a caller survives
# the loss of its data centre with the answer that it has.
NAMED_OWN = 2
# Own hosts are not preferred while their mean load is this much above that
# of all hosts: many callers of one data centre would overload them.
OWN_LOAD_RATIO = 1.25


@policy('entries', 'rendezvous')
class RendezvousEntries:
    """Spread callers over hosts and move them slot by slot."""

    __slots__ = ('_slot_s',)

    def __init__(self, settings: DaemonSettings) -> None:
        """Use the time to live of an answer as the slot."""
        self._slot_s = max(settings.timing.entry_ttl_ms / 1000, 1.0)

    def choose(
        self,
        now: float,
        caller: str,
        data_centre: str,
        hosts: list[HostMember],
        load_by_host: dict[str, int],
    ) -> list[HostMember]:
        """Return up to three hosts, best first."""
        usable = [host for host in hosts if host.state == LIVE] or hosts
        if not usable:
            return []
        mean = _mean_load(usable, load_by_host)
        key = f'{caller}/{int(now / self._slot_s)}'
        ranked = sorted(
            usable,
            key=lambda host: _rank(key, host, load_by_host, mean),
        )
        own = [host for host in ranked if host.data_centre == data_centre]
        if not own or _mean_load(own, load_by_host) > OWN_LOAD_RATIO * mean:
            return ranked[:NAMED_HOSTS]
        other = [host for host in ranked if host.data_centre != data_centre]
        first = own[:NAMED_OWN]
        last = other[: NAMED_HOSTS - len(first)]
        rest = own[NAMED_OWN : NAMED_HOSTS - len(last)]
        return first + rest + last


def _mean_load(hosts: list[HostMember], load_by_host: dict[str, int]) -> float:
    # One request is added so that an idle system has no infinite ratios.
    total = sum(load_by_host.get(host.host, 0) for host in hosts)
    return total / len(hosts) + 1.0


def _rank(
    key: str,
    host: HostMember,
    load_by_host: dict[str, int],
    mean: float,
) -> float:
    digest = xxh3_64_intdigest(f'{key}/{host.host}'.encode())
    uniform = (digest + 1) / 2.0**64
    load = load_by_host.get(host.host, 0) + 1.0
    weight = min(mean / load, 1.0) ** 2
    return -log(min(uniform, 1 - 1e-16)) / weight

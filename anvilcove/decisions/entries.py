"""Choice of entry hosts by rendezvous hashing of caller and time slot."""

from math import log

from xxhash import xxh3_64_intdigest

from anvilcove.decisions.registry import policy
from anvilcove.messages.membership import LIVE, HostMember
from anvilcove.settings.daemon import DaemonSettings

ENTRY_HOST_COUNT = 3
# Hosts of the caller's own data centre that are listed first. The last host is
# in another data centre, so that a caller can go on with its list when its own
# data centre fails.
LOCAL_ENTRY_HOST_COUNT = 2
# Hosts of the caller's data centre are not preferred while their mean load
# exceeds that of all hosts by this factor: many callers of one data centre
# would overload them.
MAX_LOCAL_LOAD_RATIO = 1.25


@policy('entries', 'rendezvous')
class RendezvousEntries:
    """Spread callers over hosts; the choice changes with each time slot."""

    __slots__ = ('_slot_s',)

    def __init__(self, settings: DaemonSettings) -> None:
        """Use the time to live of a list of entry hosts as the time slot."""
        self._slot_s = max(settings.timing.entry_ttl_ms / 1000, 1.0)

    def choose(
        self,
        now: float,
        caller: str,
        data_centre: str,
        hosts: list[HostMember],
        load_by_host: dict[str, int],
    ) -> list[HostMember]:
        """Return up to three live hosts, the preferred one first."""
        live = [host for host in hosts if host.state == LIVE] or hosts
        if not live:
            return []
        mean_load = _mean_load(live, load_by_host)
        key = f'{caller}/{int(now / self._slot_s)}'
        ranked = sorted(
            live,
            key=lambda host: _rendezvous_score(
                key, host, load_by_host, mean_load
            ),
        )
        local = [host for host in ranked if host.data_centre == data_centre]
        if (
            not local
            or _mean_load(local, load_by_host)
            > MAX_LOCAL_LOAD_RATIO * mean_load
        ):
            return ranked[:ENTRY_HOST_COUNT]
        remote = [host for host in ranked if host.data_centre != data_centre]
        first = local[:LOCAL_ENTRY_HOST_COUNT]
        last = remote[: ENTRY_HOST_COUNT - len(first)]
        rest = local[LOCAL_ENTRY_HOST_COUNT : ENTRY_HOST_COUNT - len(last)]
        return first + rest + last


def _mean_load(hosts: list[HostMember], load_by_host: dict[str, int]) -> float:
    # One request is added to avoid ratios of zero loads in an idle system.
    total = sum(load_by_host.get(host.host, 0) for host in hosts)
    return total / len(hosts) + 1.0


def _rendezvous_score(
    key: str,
    host: HostMember,
    load_by_host: dict[str, int],
    mean_load: float,
) -> float:
    digest = xxh3_64_intdigest(f'{key}/{host.host}'.encode())
    uniform = (digest + 1) / 2.0**64
    load = load_by_host.get(host.host, 0) + 1.0
    weight = min(mean_load / load, 1.0) ** 2
    return -log(min(uniform, 1 - 1e-16)) / weight

"""Choice of the daemon that runs the batch jobs of a service."""

from xxhash import xxh3_64_intdigest


def home_of(service: str, hosts: list[str]) -> str | None:
    """Return the host with the highest rendezvous hash for a service.

    All daemons that know the same hosts choose the same one. The jobs of a
    service then share one view of its engines and their open connections,
    and the loss of another host moves nothing.
    """
    return max(
        hosts, key=lambda host: (_weight(service, host), host), default=None
    )


def _weight(service: str, host: str) -> int:
    return xxh3_64_intdigest(f'{service}/{host}'.encode())

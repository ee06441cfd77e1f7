"""Rendezvous hashing of keys to hosts."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def rendezvous_order(key: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in their order for a key, the best one first.

    All daemons that know the same hosts return the same order.
    """

    def weight(host: str) -> int:
        digest: int = xxh3_64_intdigest(f'{key} {host}'.encode())
        return digest

    return sorted(hosts, key=weight, reverse=True)

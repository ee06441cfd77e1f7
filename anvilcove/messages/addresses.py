"""Addresses in what other writers list."""

from anvilcove.messages.numbers import parse_decimal

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def parse_address(address: str) -> tuple[str, int] | None:
    """Return host and port of host:port, None if no call can be sent there."""
    host, _, port_text = address.rpartition(':')
    port = parse_decimal(port_text, MAX_PORT_DIGITS)
    if port is None or not 0 < port <= MAX_PORT:
        return None
    sound = host.isascii() and host.isprintable() and host != ''
    if not sound or any(character in ' /?#@\\' for character in host):
        return None
    return host, port

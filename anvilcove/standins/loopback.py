"""Reservation of loopback addresses for the processes of one run."""

import os
import socket
from collections.abc import Iterable

SUBNET_COUNT = 250
# The ports lie below the range from which the system takes the ports of
# outgoing connections, so that none of these can occupy them.
LISTEN_PORT, RELAY_PORT, SECOND_LISTEN_PORT = 9101, 9102, 9103
MARKER_HOST, MARKER_PORT = 254, 9100


class LoopbackSubnet:
    """Addresses 127.N.<number>.x for all N, used by one run at a time.

    A bound socket marks them as taken. Processes that inherit its descriptor
    extend the reservation until the last of them has ended.
    """

    __slots__ = ('number', '_marker')

    def __init__(self, numbers: Iterable[int] = ()) -> None:
        """Reserve the first free subnet, or raise OSError if none is left.

        `numbers` are the candidates, by default all, starting at one that
        depends on the process.
        """
        for number in numbers or _all_numbers():
            self.number = number
            self._marker = socket.socket()
            try:
                self._marker.bind((self.ip(MARKER_HOST), MARKER_PORT))
            except OSError:
                self._marker.close()
            else:
                return
        raise OSError('all loopback subnets are in use')

    def ip(self, host: int, data_centre: int = 0) -> str:
        """Return an address; data centre 0 stands for none."""
        return f'127.{data_centre}.{self.number}.{host}'

    def descriptors(self) -> tuple[int, ...]:
        """Return the descriptors to pass to the processes of the run."""
        marker = self._marker.fileno()
        return () if marker < 0 else (marker,)

    def release(self) -> None:
        """End the reservation of this process."""
        self._marker.close()


def _all_numbers() -> Iterable[int]:
    first = os.getpid()
    return (1 + (first + n) % SUBNET_COUNT for n in range(SUBNET_COUNT))

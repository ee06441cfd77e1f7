"""Memory and descriptors of a process, sampled while it runs."""

import socket
import struct
import threading
from pathlib import Path

import psutil
from msgspec import Struct

SAMPLE_PERIOD_S = 0.02
MIB = 1 << 20
LISTENING = '0A'


class ProcessUsage(Struct):
    """Largest memory in bytes, and descriptors, of the samples.

    `memory_bytes` is resident memory with what the system has received for
    the process and the process has not read.
    """

    memory_bytes: int = 0
    unread_bytes: int = 0
    descriptors: int = 0


class UsageSampler:
    """Thread that samples a process whose sockets have an address."""

    __slots__ = ('usage', '_process', '_ip', '_stop', '_thread')

    def __init__(self, pid: int, ip: str) -> None:
        """Sample a process in the context of this object."""
        self.usage = ProcessUsage()
        self._process = psutil.Process(pid)
        self._ip = ip
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> 'UsageSampler':
        """Start to sample."""
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        """Stop to sample."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(SAMPLE_PERIOD_S):
            try:
                self._sample()
            except (psutil.Error, OSError):
                return

    def _sample(self) -> None:
        found, usage = measure(self._process, self._ip), self.usage
        usage.unread_bytes = max(usage.unread_bytes, found.unread_bytes)
        usage.memory_bytes = max(usage.memory_bytes, found.memory_bytes)
        usage.descriptors = max(usage.descriptors, found.descriptors)


def measure(process: psutil.Process, ip: str) -> ProcessUsage:
    """Return what a process uses now, whose sockets have an address.

    Raises psutil.Error if it has ended.
    """
    unread_bytes = _unread_bytes(ip)
    return ProcessUsage(
        process.memory_info().rss + unread_bytes,
        unread_bytes,
        process.num_fds(),
    )


def _unread_bytes(ip: str) -> int:
    """Return the bytes received at an address that nobody has read."""
    # Addresses in /proc/net/tcp are in the byte order of the machine.
    address = f'{struct.unpack("=I", socket.inet_aton(ip))[0]:08X}'
    unread = 0
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split(maxsplit=6)
        if local.startswith(address) and state != LISTENING:
            unread += int(queues.partition(':')[2], 16)
    return unread

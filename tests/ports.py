"""Ports of the loopback interface that no other test process of this machine gets."""

import contextlib
import itertools
import socket

BLOCK_PORTS = 100
# Below the ephemeral ports of Linux, which start at 32768.
BLOCKS = range(20_000, 32_000, BLOCK_PORTS)


class PortAllocator:
    """Allocates ports from blocks that stay reserved until this process ends.

    A block is reserved by an abstract Unix socket: the kernel lets one process bind its
    name, frees it when the process ends, and keeps one namespace for these names and
    for the ports. Ports of a host that is down are therefore not given to others.
    """

    def __init__(self, namespace="thornlatch-test-ports"):
        self.namespace = namespace
        self.reservations = []
        self.free_ports = iter(())

    def allocate(self, count=1):
        """Return the first of `count` consecutive free ports."""
        while True:
            ports = list(itertools.islice(self.free_ports, count))
            if len(ports) < count:
                self.free_ports = iter(self._reserve_block())
            elif all(map(_is_free, ports)):
                return ports[0]

    def _reserve_block(self):
        for first in BLOCKS:
            reservation = socket.socket(socket.AF_UNIX)
            try:
                reservation.bind(f"\0{self.namespace}-{first}")
            except OSError:
                reservation.close()
                continue
            self.reservations.append(reservation)
            return range(first, first + BLOCK_PORTS)
        raise AssertionError(
            f"all {len(BLOCKS)} blocks of ports from {BLOCKS.start} to {BLOCKS.stop}"
            " are reserved by running tests"
        )

    def release(self):
        """Release all blocks before the process ends."""
        for reservation in self.reservations:
            reservation.close()
        self.reservations.clear()
        self.free_ports = iter(())


ports = PortAllocator()


def _is_free(port):
    with contextlib.closing(socket.socket()) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True

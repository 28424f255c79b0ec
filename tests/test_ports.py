"""Processes of several suites and soaks run at once on one machine."""

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import hosts
import tests.fleet
from tests.fleet import ROOT
from tests.ports import BLOCK_PORTS, PortAllocator, ports

PRINT_PORTS = (
    "from tests.ports import ports\n"
    "print(*(ports.allocate(4) for _ in range(10)), flush=True)\n"
    "input()\n"
)


def read_ports_of_process(_):
    process = subprocess.Popen(
        [sys.executable, "-c", PRINT_PORTS],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    return process, process.stdout.readline().split()


def test_processes_at_once_get_different_ports():
    with ThreadPoolExecutor(4) as executor:
        results = list(executor.map(read_ports_of_process, range(4)))
    allocated = [port for _, printed in results for port in printed]
    for process, _ in results:
        process.communicate("\n")
    assert len(allocated) == len(set(allocated)) == 40


def test_daemons_and_gateway_hosts_of_a_process_share_an_allocator():
    assert tests.fleet.ports is ports
    assert hosts.ports is ports


def test_released_block_is_available_again():
    namespace = f"thornlatch-test-{os.getpid()}"
    allocator = PortAllocator(namespace)
    first = allocator.allocate()
    other = PortAllocator(namespace)
    assert other.allocate() >= first + BLOCK_PORTS - first % BLOCK_PORTS
    other.release()
    allocator.release()
    assert PortAllocator(namespace).allocate() == first


def test_consecutive_ports_are_of_one_block():
    allocator = PortAllocator(f"thornlatch-test-blocks-{os.getpid()}")
    firsts = [allocator.allocate(7) for _ in range(BLOCK_PORTS // 7 + 1)]
    assert all(first % BLOCK_PORTS <= BLOCK_PORTS - 7 for first in firsts)
    assert len(set(firsts)) == len(firsts)
    allocator.release()

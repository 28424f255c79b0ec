"""Gateway processes as the deploy file starts them, on free loopback ports."""

import http.client
import os
import resource
import signal
import socket
import subprocess
import time
from pathlib import Path

ROOT = Path.cwd()  # the scripts start in the root of the checkout
PROGRAM = "target/app/platform/main.py"
PORTS = 6  # callers, readiness, and four for traffic between hosts
READY_TIMEOUT_S = 20.0
MAX_FILES = 3930  # maxFds less the 200 for files, of which some 30 are in use


class CannotRun(Exception):
    """Raised when a case can't be run, so that it shows nothing."""


class Gateway:
    """A gateway process.

    Parameters
    ----------
    name : str
    store_address : str
    folder : Path
        Folder for its settings and its log.
    """

    reservations = []

    def __init__(self, name, store_address, folder):
        self.name = name
        first = _find_ports()
        self.callers, self.readiness = first, first + 1
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(_build_settings(name, first, store_address))
        self.log = (folder / f"{name}.log").open("ab")
        self.started_at = 0.0
        self.start()

    def start(self):
        """Start the process."""
        self.started_at = time.monotonic()
        self.process = subprocess.Popen(
            ["python3", PROGRAM],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": "target/deps",
                "THORNLATCH_NODE_FILE": str(self.settings),
            },
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        # The platform limits the descriptors of each process.
        limits = (MAX_FILES, MAX_FILES)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)

    def ask_ready(self, timeout_s=1.0):
        """Return the status of the readiness question; None without an answer."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.readiness, timeout=timeout_s
        )
        try:
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status
        except OSError:
            return None
        finally:
            connection.close()

    def wait_ready(self):
        """Wait until the host says that it is ready."""
        until = time.monotonic() + READY_TIMEOUT_S
        while self.ask_ready() != 200:
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRun(f"{self.name} didn't become ready")
            time.sleep(0.05)

    def stop(self):
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def kill(self):
        """Send SIGKILL and wait for the end."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def count_files(self):
        """Return the number of open descriptors."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    def read_memory_mb(self):
        """Return the resident memory; 0 after the end of the process."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


def _find_ports():
    for first in range(21_000, 31_000, PORTS):
        # Keeps the ports from other cases that run on this machine.
        reservation = socket.socket(socket.AF_UNIX)
        try:
            reservation.bind(f"\0thornlatch-review-{first}")
        except OSError:
            reservation.close()
            continue
        Gateway.reservations.append(reservation)
        if all(_is_free(port) for port in range(first, first + PORTS)):
            return first
    raise CannotRun("no free ports")


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _build_settings(name, first, store_address):
    return f"""
nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
internalPortRange = [{first + 2}, {first + 5}]
seedNodes = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatIntervalMs = 1200
[zones]
z1 = "r1"
[listenersConfig]
frontend = "127.0.0.1:{first}"
readiness = "127.0.0.1:{first + 1}"
[limits]
cpuQuota = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
contactTimeoutMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevocation = true
revokeTimeoutMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 56
quotaWindowS = 8
quotaOverage = 0.1
quotaTolerance = 17000
recoveryS = 12
iterationMs = 120
retryAfterS = 0
fencingEnabled = true
leaseMs = 3000
thawSlackMs = 300
rateWindowS = 5
loadRateFactor = 1.1
version_ms = 5000
[platform]
address = "{store_address}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
maxRecordBytes = 262144
maxRequestBytes = 2097152
keep_s = 300
partitionMb = 200
minTtlMs = 1000
"""

"""A fleet of real processes on the loopback interface, for failure tests."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.ports import ports

ROOT = Path(__file__).parent.parent
READY_TIMEOUT_S = 30.0


def wait_until(
    check: Callable[[], Any], *, timeout_s: float = READY_TIMEOUT_S, what: str = ""
) -> Any:
    """Poll until a check returns a true value, and return it.

    An exception of the check counts as a false value. The wait fails after `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    last_error: BaseException | None = None
    while time.monotonic() < deadline:
        try:
            value = check()
            if value:
                return value
        except Exception as error:
            last_error = error
        time.sleep(0.02)
    raise AssertionError(
        f"timed out after {timeout_s} s waiting for {what or check}: {last_error!r}"
    )


@dataclass(frozen=True)
class HttpResult:
    """Status, headers and body of an HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)


def send_http(
    address: str,
    method: str,
    path: str,
    value: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 20.0,
) -> HttpResult:
    """Send one request and read the complete response."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        body = None if value is None else json.dumps(value).encode()
        request_headers = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, body, request_headers)
        response = connection.getresponse()
        response_body = response.read()
        response_headers = {name.lower(): text for name, text in response.getheaders()}
        return HttpResult(response.status, response_headers, response_body)
    finally:
        connection.close()


@dataclass
class Fleet:
    """Processes by name, their addresses and their event files."""

    directory: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    spawn_count: int = 0

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(timeout=10)

    def start_standin(self, module: str, name: str, *options: str) -> str:
        """Start a stand-in, wait until it accepts connections, return its address."""
        address = self.addresses.get(name) or f"127.0.0.1:{ports.allocate()}"
        self.addresses[name] = address
        command = [sys.executable, "-m", f"standins.{module}", "--name", name]
        self._spawn(name, [*command, "--address", address, *options])
        wait_until(lambda: _accepts_connections(address), what=f"{name} to listen")
        return address

    def start_daemon(
        self, name: str, failure_domain: str, tables: dict[str, dict[str, Any]]
    ) -> str:
        """Start a daemon without waiting until it is ready; return its HTTP address."""
        http_address = self.addresses.get(name) or f"127.0.0.1:{ports.allocate()}"
        self.addresses[name] = http_address
        host = {
            "name": name,
            "failure_domain": failure_domain,
            "peer_address": f"127.0.0.1:{ports.allocate()}",
            "http_address": http_address,
        }
        path = self.directory / f"{name}.toml"
        path.write_text(build_toml({"host": host, **tables}))
        self._spawn(name, [sys.executable, "-m", "thornlatch", "serve", str(path)])
        return http_address

    def wait_ready(self, name: str, *, timeout_s: float = READY_TIMEOUT_S) -> None:
        address = self.addresses[name]
        process = self.processes[name]

        def is_ready() -> bool:
            if process.poll() is not None:
                return True
            return send_http(address, "GET", "/readyz", timeout_s=2).status == 200

        wait_until(is_ready, timeout_s=timeout_s, what=f"{name} to be ready")
        assert process.poll() is None, f"{name} exited with status {process.poll()}"

    def kill(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait(timeout=10)

    def pause(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGTERM)

    def wait_exit(self, name: str, *, timeout_s: float = 30.0) -> int:
        return self.processes[name].wait(timeout=timeout_s)

    def set_faults(self, name: str, **faults: Any) -> None:
        result = send_http(self.addresses[name], "POST", "/faults", faults)
        assert result.status == 200, result

    def read_events(self) -> list[dict[str, Any]]:
        """Return the events that all processes have written so far.

        A line that a process has not finished yet is skipped.
        """
        events = []
        for path in self.list_event_files():
            for line in path.read_text().splitlines():
                if line.startswith("{") and line.endswith("}"):
                    events.append(json.loads(line))
        return events

    def list_event_files(self) -> list[Path]:
        return sorted(self.directory.glob("*.jsonl"))

    def _spawn(self, name: str, command: list[str]) -> None:
        self.spawn_count += 1
        path = self.directory / f"{name}.{self.spawn_count}.jsonl"
        environment = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
        with path.open("wb") as event_file:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stderr=event_file
            )


def build_toml(tables: dict[str, dict[str, Any]]) -> str:
    """Render tables with scalar values as TOML."""
    lines = []
    for table, values in tables.items():
        lines.append(f"[{table}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"


def _accepts_connections(address: str) -> bool:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=1):
        return True

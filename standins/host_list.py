"""Stand-in for the platform's list of live and leaving hosts, which lags."""

import threading
import time
from typing import Any

from standins._http import Environ, Response, build_app, build_parser, run_main, serve


class HostList:
    """Serves the list of hosts as it was `lag_s` ago.

    Parameters
    ----------
    lag_s : float
        Seconds by which the list lags.
    """

    def __init__(self, lag_s: float = 2.0) -> None:
        self.lag_s = lag_s
        self.lock = threading.Lock()
        self.history: list[tuple[float, dict[str, list[str]]]] = [
            (float("-inf"), {"live": [], "leaving": []})
        ]
        self.is_down = False
        self.app = build_app(
            {
                ("GET", "/hosts"): self.get_hosts,
                ("POST", "/hosts"): self.set_hosts,
                ("POST", "/faults"): self.set_faults,
            }
        )

    def get_hosts(self, environ: Environ, _value: Any) -> Response:
        """Return the list, or 304 if the client already has this version of it."""
        visible_until = time.monotonic() - self.lag_s
        with self.lock:
            visible = [hosts for at, hosts in self.history if at <= visible_until]
            is_down = self.is_down
        if is_down:
            return Response({"error": "down"}, 503)
        etag = f'"{len(visible)}"'
        if environ.get("HTTP_IF_NONE_MATCH") == etag:
            return Response(None, 304, headers={"ETag": etag})
        return Response(visible[-1], headers={"ETag": etag})

    def set_faults(self, _environ: Environ, value: Any) -> Response:
        """Start or end an outage: ``{"is_down": true}``."""
        with self.lock:
            self.is_down = bool(value.get("is_down", False))
        return Response({})

    def set_hosts(self, _environ: Environ, value: Any) -> Response:
        """Replace the list; clients see it after `lag_s`."""
        hosts = {
            "live": list(value.get("live", [])),
            "leaving": list(value.get("leaving", [])),
        }
        with self.lock:
            self.history.append((time.monotonic(), hosts))
        return Response(hosts)


def main(arguments: list[str]) -> int:
    """Run the stand-in until SIGTERM.

    Parameters
    ----------
    arguments : list of str
        Command-line arguments.

    Returns
    -------
    int
        Exit status.
    """
    parser = build_parser(__doc__)
    parser.add_argument("--lag-s", type=float, default=2.0)
    options = parser.parse_args(arguments)
    hosts = HostList(options.lag_s)
    return serve(hosts.app, options.address, name=options.name or "hosts", threads=4)


if __name__ == "__main__":
    run_main(main)

"""Stand-in of the platform's lagging list of live and leaving hosts."""

import threading
import time
from typing import Any

from standins._http import Environ, Response, build_app, build_parser, run_main, serve


class HostList:
    """Answers with what was true some seconds ago.

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
        """Return the lagging list, or 304 if the reader has it."""
        horizon = time.monotonic() - self.lag_s
        with self.lock:
            known = [hosts for at, hosts in self.history if at <= horizon]
            is_down = self.is_down
        if is_down:
            return Response({"error": "down"}, 503)
        tag = f'"{len(known)}"'
        if environ.get("HTTP_IF_NONE_MATCH") == tag:
            return Response(None, 304, headers={"ETag": tag})
        return Response(known[-1], headers={"ETag": tag})

    def set_faults(self, _environ: Environ, value: Any) -> Response:
        """Let the service fail, or not: ``{"is_down": true}``."""
        with self.lock:
            self.is_down = bool(value.get("is_down", False))
        return Response({})

    def set_hosts(self, _environ: Environ, value: Any) -> Response:
        """Replace the list; readers see it after the lag."""
        hosts = {
            "live": list(value.get("live", [])),
            "leaving": list(value.get("leaving", [])),
        }
        with self.lock:
            self.history.append((time.monotonic(), hosts))
        return Response(hosts)


def main(arguments: list[str]) -> int:
    """Run the stand-in.

    Parameters
    ----------
    arguments : list of str

    Returns
    -------
    int
    """
    parser = build_parser(__doc__)
    parser.add_argument("--lag-s", type=float, default=2.0)
    options = parser.parse_args(arguments)
    hosts = HostList(options.lag_s)
    return serve(hosts.app, options.address, name=options.name or "hosts", threads=4)


if __name__ == "__main__":
    run_main(main)
